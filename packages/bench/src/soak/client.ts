/** Callers of the soak, each with its own habits, and what they saw. */
import * as fakes from "@jackdawbank/fakes";
import * as kernel from "@jackdawbank/kernel";
import * as random from "../measure/random.ts";
import * as contents from "./content.ts";
import type * as facts from "./facts.ts";
import * as machines from "./entry_machine.ts";
import type * as plans from "./plan.ts";

const CONNECT_TIMEOUT_MS = 1_000;
/** A caller waits no longer for an answer that is due. */
const PATIENCE_MS = 3_000;
const MAX_RETRY_AFTER_MS = 1_000;
const MAX_THINK_MS = 250;
const RECONNECT_MS = 100;
/** Requests that a pipelining caller keeps without answer. */
const MAX_PIPELINED = 3;
const MAX_BODY_PARTS = 5;
const MAX_PART_BYTES = 4_000;
const SLOW_ANSWER_BYTES = 2_500_000;
const DEADLINE_MS = { plain: 6_000, stream: 12_000 } as const;
const ID_LENGTH = 16;

const GIVE_UP_REASON = "the caller waits no longer";

/** What callers share. */
export interface ClientScene {
  readonly seed: number;
  readonly machines: readonly machines.EntryMachine[];
  readonly nextConnection: () => number;
  readonly onRequest: (request: facts.RequestFact) => void;
  readonly onStray: (description: string) => void;
}

interface OpenConnection {
  readonly connection: fakes.PlatformConnection;
  readonly serial: number;
  readonly number: number;
}

export class SoakClient {
  readonly #plan: plans.ClientPlan;
  readonly #scene: ClientScene;
  readonly #random: random.RandomSource;
  readonly #pending = new Set<Promise<unknown>>();
  #open: OpenConnection | undefined;
  #count = 0;
  #isStopping = false;

  constructor(plan: plans.ClientPlan, scene: ClientScene) {
    this.#plan = plan;
    this.#scene = scene;
    this.#random = random.createRandom(scene.seed * 10_007 + plan.index);
  }

  /** Sends requests until `stop` is called; resolves when all are over. */
  async run(): Promise<void> {
    while (!this.#isStopping) {
      const open = await this.#connect();
      if (open === undefined) {
        await kernel.sleep(RECONNECT_MS);
        continue;
      }
      const ended = this.#send(open);
      if (this.#plan.isPipelining) {
        await Promise.race([ended, kernel.sleep(this.#between(0, 600))]);
        while (open.connection.pendingCount >= MAX_PIPELINED) {
          await kernel.sleep(20);
        }
      } else await kernel.sleep(await ended);
      if (!this.#plan.keepsConnection) open.connection.close("used once");
      await kernel.sleep(this.#between(0, MAX_THINK_MS));
    }
    await Promise.all(this.#pending);
    this.#open?.connection.close("the play is over");
  }

  stop(): void {
    this.#isStopping = true;
  }

  /** Sends one request; resolves with the pause before the next one. */
  async #send(open: OpenConnection): Promise<number> {
    const request = this.#drawRequest();
    const requestsBefore = open.connection.pendingCount;
    const content = contents.decodePath(request.path) as contents.Content;
    // A body that is being sent delays those of the requests behind it.
    const behindMs = requestsBefore *
      (this.#plan.maxBodyMs + request.deadlineMs);
    let hasGivenUp = false;
    const timer = setTimeout(
      () => {
        hasGivenUp = true;
        open.connection.close(GIVE_UP_REASON);
      },
      behindMs + this.#plan.maxBodyMs + request.deadlineMs + PATIENCE_MS,
    );
    const sending = open.connection.send(request);
    this.#pending.add(sending);
    const exchange = await sending;
    clearTimeout(timer);
    this.#pending.delete(sending);
    this.#scene.onRequest({
      ...exchange,
      hasGivenUp,
      wasClosedByCaller: exchange.closeReason === GIVE_UP_REASON,
      requestId: request.attemptId,
      client: this.#plan.index,
      serial: open.serial,
      connection: open.number,
      requestsBefore,
      content,
      deadlineMs: request.deadlineMs,
    });
    if (open.connection.strayBytes > 0) {
      this.#scene.onStray(`connection ${open.number} of ${request.attemptId}`);
    }
    return Math.min(exchange.retryAfterMs ?? 0, MAX_RETRY_AFTER_MS);
  }

  async #connect(): Promise<OpenConnection | undefined> {
    if (this.#open?.connection.isUsable === true) return this.#open;
    const machine = this.#chooseMachine();
    if (machine === undefined) return undefined;
    try {
      const connection = await fakes.PlatformConnection.open(
        { host: machine.ip, port: machines.CALLERS_PORT },
        {
          timeoutMs: CONNECT_TIMEOUT_MS,
          readPauseMs: this.#plan.readPauseMs,
        },
      );
      this.#open = {
        connection,
        serial: machine.currentSerial,
        number: this.#scene.nextConnection(),
      };
      return this.#open;
    } catch {
      return undefined;
    }
  }

  #chooseMachine(): machines.EntryMachine | undefined {
    const { machines: all } = this.#scene;
    if (this.#plan.entry !== undefined) return all[this.#plan.entry];
    const ready = all.filter((machine) => machine.isInRotation);
    return ready[Math.floor(this.#random() * ready.length)];
  }

  #drawRequest(): fakes.CallerRequest {
    this.#count += 1;
    const kind = contents.REQUEST_KINDS[
      Math.floor(this.#random() * contents.REQUEST_KINDS.length)
    ] as contents.RequestKind;
    const isStream = contents.isStream(kind);
    const attemptId = this.#drawId();
    return {
      attemptId,
      path: contents.encodePath(this.#drawContent(kind)),
      deadlineMs: isStream ? DEADLINE_MS.stream : DEADLINE_MS.plain,
      isKeyed: !contents.ROUTES[kind].isPublic,
      isPrompt: isStream,
      expectsContinue: this.#plan.expectsContinue,
      isChunked: this.#random() < 0.5,
      body: this.#drawBody(attemptId),
    };
  }

  #drawId(): string {
    const { seed } = this.#scene;
    const number = contents.drawFromText(
      `${seed} ${this.#plan.index} ${this.#count}`,
    );
    // The count keeps ids apart whatever is drawn.
    const digits = Math.floor(number * 2 ** 32).toString(16).padStart(8, "0");
    const client = this.#plan.index.toString(16).padStart(3, "0");
    const count = this.#count.toString(16).padStart(5, "0");
    return `${digits}${client}${count}`.slice(0, ID_LENGTH);
  }

  #drawContent(kind: contents.RequestKind): contents.Content {
    if (!contents.isStream(kind)) {
      const isSlow = this.#random() < 0.15;
      return {
        kind,
        delayMs: isSlow ? this.#between(600, 2_500) : this.#between(5, 300),
        events: 0,
        eventIntervalMs: 0,
        bytes: this.#plan.readPauseMs > 0 && this.#random() < 0.5
          ? SLOW_ANSWER_BYTES
          : this.#between(0, 3_000),
      };
    }
    const durationMs = 100 * 60 ** this.#random();
    const events = this.#between(2, 40);
    return {
      kind,
      delayMs: this.#between(5, 400),
      events,
      eventIntervalMs: Math.round(durationMs / events),
      bytes: this.#between(0, this.#plan.readPauseMs > 0 ? 30_000 : 200),
    };
  }

  #drawBody(attemptId: string): readonly fakes.BodyPart[] {
    const count = 1 + Math.floor(this.#random() * MAX_BODY_PARTS);
    const totalMs = this.#random() * this.#plan.maxBodyMs;
    // The last part is late in half of the requests.
    const isLastSlow = this.#random() < 0.5;
    return Array.from({ length: count }, (_, index) => ({
      afterMs: isLastSlow
        ? index === count - 1 ? Math.round(totalMs) : 0
        : Math.round(totalMs / count),
      text: `${attemptId} ${"p".repeat(this.#between(0, MAX_PART_BYTES))}`,
    }));
  }

  #between(low: number, high: number): number {
    return Math.round(low + this.#random() * (high - low));
  }
}
