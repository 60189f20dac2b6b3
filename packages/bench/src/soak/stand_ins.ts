/** The store and the replicas of a play, their faults, and what the replicas received. */
import * as fakes from "@jackdawbank/fakes";
import * as kernel from "@jackdawbank/kernel";
import * as contents from "./content.ts";
import type * as facts from "./facts.ts";
import type * as plans from "./plan.ts";

const SLOTS = 64;
/** Model that larger ones are asked after. */
const SMALL_MODEL = "small";
/** Share of streams that end with their connection. */
const CLOSE_SHARE = 0.2;
/** Share of prompts that are too hard for the small model. */
const HARD_SHARE = 0.2;
const LOW_CONFIDENCE = 10;
const HIGH_CONFIDENCE = 95;
const STREAM_PAUSE_MS = 1_500;

interface Replica {
  readonly standIn: fakes.FakeReplica;
  readonly service: "desk" | "llm";
  readonly dataCentre: string;
  readonly behaviours: fakes.ReplicaBehaviour[];
  fault:
    | {
      readonly type: plans.ReplicaFault;
      readonly share: number;
      readonly untilMs: number;
    }
    | undefined;
}

export class StandIns {
  readonly store = new fakes.FakePlatformStore();
  readonly #seed: number;
  readonly #dataCentres: readonly string[];
  /** Replicas in their places; the last one of a place is in use. */
  readonly #places: Replica[][] = [];
  readonly #disturbances: facts.DisturbanceFact[] = [];
  readonly #timeoutFactors = [1];
  #configurationVersion = 0;
  #addedRoutes = 0;
  #replicaCount = 0;

  constructor(plan: plans.SoakPlan) {
    this.#seed = plan.seed;
    this.#dataCentres = plan.dataCentres;
  }

  get disturbances(): readonly facts.DisturbanceFact[] {
    return this.#disturbances;
  }

  get timeoutFactors(): readonly [number, number] {
    return [
      Math.min(...this.#timeoutFactors),
      Math.max(...this.#timeoutFactors),
    ];
  }

  async start(services: readonly ("desk" | "llm")[]): Promise<void> {
    await this.store.listen();
    this.#putConfiguration(1);
    for (const service of services) {
      this.#places.push([await this.#addReplica(service)]);
    }
  }

  addRoute(): void {
    this.#addedRoutes += 1;
    this.#putConfiguration(this.#timeoutFactors.at(-1) ?? 1);
  }

  changeTimeouts(factor: number): void {
    this.#timeoutFactors.push(factor);
    this.#putConfiguration(factor);
  }

  setFault(
    place: number,
    type: plans.ReplicaFault,
    share: number,
    durationMs: number,
  ): void {
    const replica = this.#places[place]?.at(-1);
    if (replica === undefined) return;
    replica.fault = {
      type,
      share,
      untilMs: performance.now() + durationMs,
    };
  }

  /** Puts another replica in a place, and lets the one there drain and then leave. */
  async replace(place: number, leaveAfterMs: number): Promise<void> {
    const replicas = this.#places[place];
    const old = replicas?.at(-1);
    if (replicas === undefined || old === undefined) return;
    replicas.push(await this.#addReplica(old.service));
    this.#publish(old, "draining");
    await kernel.sleep(leaveAfterMs);
    this.store.removeReplica(old.standIn.id);
    await kernel.sleep(leaveAfterMs);
    await old.standIn.close();
  }

  async disturbStore(
    mode: fakes.PlatformStoreMode,
    durationMs: number,
  ): Promise<void> {
    const fromMs = performance.now();
    const untilMs = fromMs + durationMs;
    this.#disturbances.push({
      fromMs,
      untilMs,
      serial: undefined,
      reason: `store ${mode}`,
    });
    this.store.mode = mode;
    await kernel.sleep(durationMs);
    const isLast = this.#disturbances.every((one) => one.untilMs <= untilMs);
    if (isLast) this.store.mode = "up";
  }

  readRuns(): readonly facts.RunFact[] {
    return this.#places.flat().flatMap(({ standIn, behaviours }) =>
      standIn.received.map((request, index) => {
        const chosen = behaviours[index] as fakes.ReplicaBehaviour;
        const behaviour = chosen.type;
        return {
          requestId: fakes.readAttemptId(request),
          replica: standIn.id,
          model: readModel(request),
          behaviour,
          hasRun: behaviour !== "not-run" && behaviour !== "misdirected",
          startedAtMs: request.atMs,
          endedAtMs: request.endedAtMs,
          dueAtMs: request.atMs + computeDurationMs(chosen),
          end: request.wasBrokenOff
            ? "broken-off" as const
            : request.wasCancelled
            ? "cancelled" as const
            : "whole" as const,
          endsByClose: chosen.type === "stream" && chosen.endsByClose === true,
        };
      })
    ).filter(({ requestId }) => requestId !== "");
  }

  async close(): Promise<void> {
    for (const { standIn } of this.#places.flat()) await standIn.close();
    await this.store.close();
  }

  #putConfiguration(timeoutFactor: number): void {
    this.#configurationVersion += 1;
    const routes = contents.REQUEST_KINDS.map((name) => ({
      ...contents.ROUTES[name],
      name,
      pathPrefix: `/${name}/`,
      timeoutMs: Math.round(contents.ROUTES[name].timeoutMs * timeoutFactor),
    }));
    const added = Array.from({ length: this.#addedRoutes }, (_, index) => ({
      ...contents.ROUTES.check,
      name: `added-${index}`,
      pathPrefix: `/added-${index}/`,
    }));
    this.store.putConfiguration(
      fakes.samples.buildRoutedConfiguration(
        this.#configurationVersion,
        [...routes, ...added],
      ),
    );
  }

  async #addReplica(service: "desk" | "llm"): Promise<Replica> {
    const index = this.#replicaCount;
    this.#replicaCount += 1;
    const behaviours: fakes.ReplicaBehaviour[] = [];
    const standIn = new fakes.FakeReplica(`i-${index}`, (request) => {
      const behaviour = this.#choose(replica, request);
      behaviours.push(behaviour);
      return behaviour;
    });
    const replica: Replica = {
      standIn,
      service,
      dataCentre: this.#dataCentres[index % this.#dataCentres.length] as string,
      behaviours,
      fault: undefined,
    };
    await standIn.listen();
    this.#publish(replica, "ready");
    return replica;
  }

  #publish(
    { standIn, service, dataCentre }: Replica,
    state: "ready" | "draining",
  ): void {
    this.store.putReplica(
      standIn.id,
      standIn.buildEntry(service, { slots: SLOTS, zone: dataCentre, state }),
    );
  }

  #choose(
    replica: Replica,
    request: fakes.ReceivedRequest,
  ): fakes.ReplicaBehaviour {
    const content = contents.decodePath(request.path);
    if (content === undefined) return { type: "ok" };
    const attemptId = fakes.readAttemptId(request);
    const label = contents.renderLabel(attemptId, readModel(request));
    const { fault } = replica;
    const isFaulty = fault !== undefined &&
      performance.now() < fault.untilMs &&
      contents.drawFromText(
          `${this.#seed} ${attemptId} ${replica.standIn.id}`,
        ) < fault.share;
    const type = isFaulty ? fault.type : undefined;
    if (type === "failure") return { type: "failure", status: 500 };
    if (type === "reset") return { type: "reset" };
    if (type === "refusal") return { type: "not-run", status: 503 };
    if (!contents.isStream(content.kind)) {
      if (type === "break-off") return { type: "truncated" };
      if (type === "stall") return { type: "hang" };
      return {
        type: "ok",
        body: contents.renderBody(content, label),
        delayMs: content.delayMs,
      };
    }
    const isHard = type === "doubt" ||
      contents.drawFromText(`hard ${attemptId}`) < HARD_SHARE;
    const middle = Math.floor(content.events / 2);
    return {
      type: "stream",
      events: content.events,
      eventBytes: content.bytes,
      label,
      eventIntervalMs: content.eventIntervalMs,
      delayMs: content.delayMs,
      endsByClose: contents.drawFromText(`close ${attemptId}`) < CLOSE_SHARE,
      confidence: isHard && readModel(request) === SMALL_MODEL
        ? LOW_CONFIDENCE
        : HIGH_CONFIDENCE,
      ...(type === "break-off" ? { disconnectAfterEvents: middle } : {}),
      ...(type === "stall" ? { stallAfterEvents: middle } : {}),
      ...(type === "pause"
        ? { pauseAfter: { events: middle, durationMs: STREAM_PAUSE_MS } }
        : {}),
    };
  }
}

function readModel(request: fakes.ReceivedRequest): string {
  return fakes.readModel(request) ?? "none";
}

/** Time in which a replica answers, infinite if it never does. */
function computeDurationMs(behaviour: fakes.ReplicaBehaviour): number {
  switch (behaviour.type) {
    case "hang":
      return Infinity;
    case "ok":
      return behaviour.delayMs ?? 0;
    case "stream":
      return behaviour.stallAfterEvents === undefined
        ? (behaviour.delayMs ?? 0) +
          behaviour.events * (behaviour.eventIntervalMs ?? 0) +
          (behaviour.pauseAfter?.durationMs ?? 0)
        : Infinity;
    default:
      return 0;
  }
}
