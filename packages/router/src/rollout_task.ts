/**
 * The duty of roll-outs: works out the next step of each order, writes it to
 * the control plane on condition of what was read, and judges the new version
 * by its answers here.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import type * as control from "./control_task.ts";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";

const CHECK_INTERVAL_MS = 200;
/** Steps that are due by time are written by whoever draws the shortest delay. */
const MAX_STEP_JITTER_MS = 800;
/** Share of a roll-out's duration that the delay may take. */
const STEP_JITTER_SHARE = 0.03;
const RETRY_MS = 400;
/** Answers of the new version before its failures may stop it. */
const MIN_SAMPLES = 6;
/** Increase of the failure rate that stops a version. */
const MAX_ERROR_INCREASE = 0.15;
/** An answer so many times slower than the stable version's mean counts as a failure. */
const SLOW_FACTOR = 4;
/** Differences below this are no sign of a slow version. */
const SLOW_FLOOR_MS = 40;
const MIN_PACE_SAMPLES = 8;
const PACE_WEIGHT = 0.05;

/** An answer as evidence. */
export interface VersionOutcome {
  readonly service: string;
  readonly route: string;
  readonly version: string;
  readonly model: string | undefined;
  readonly isFailure: boolean;
  /** Time to the first byte, or between events; absent for failures. */
  readonly paceMs: number | undefined;
}

interface Pace {
  samples: number;
  meanMs: number;
}

/** Judges one order: each route on its own, and all together. */
class Trial {
  readonly orderRevision: number;
  /** Time of day at which this process learnt of the order. */
  readonly orderedAtMs: number;
  readonly #guards = new Map<string, decisions.RolloutGuard>();
  readonly #paces = new Map<string, Pace>();
  #verdict: string | undefined;
  #failures = 0;
  #samples = 0;

  constructor(orderRevision: number, orderedAtMs: number) {
    this.orderRevision = orderRevision;
    this.orderedAtMs = orderedAtMs;
  }

  get verdict(): string | undefined {
    return this.#verdict;
  }

  get evidence(): { readonly failures: number; readonly samples: number } {
    return { failures: this.#failures, samples: this.#samples };
  }

  take(outcome: VersionOutcome, isTarget: boolean): void {
    const isSlow = this.#isSlow(outcome, isTarget);
    const isBad = outcome.isFailure || isSlow;
    if (isTarget) {
      this.#samples += 1;
      if (isBad) this.#failures += 1;
    }
    for (const name of [outcome.route, ""]) {
      const guard = this.#guard(name);
      if (!isTarget) {
        guard.recordStable(isBad);
        continue;
      }
      const verdict = guard.recordRolling(isBad);
      if (verdict === undefined || this.#verdict !== undefined) continue;
      this.#verdict = `${this.#failures} of ${this.#samples} answers were bad` +
        (name === "" ? "" : `, on route ${name}`);
    }
  }

  #isSlow(outcome: VersionOutcome, isTarget: boolean): boolean {
    const { paceMs } = outcome;
    if (paceMs === undefined) return false;
    const key = `${outcome.route}/${outcome.model ?? ""}`;
    const pace = this.#paces.get(key) ?? { samples: 0, meanMs: paceMs };
    this.#paces.set(key, pace);
    const isSlow = pace.samples >= MIN_PACE_SAMPLES &&
      paceMs > SLOW_FACTOR * pace.meanMs + SLOW_FLOOR_MS;
    if (!isTarget) {
      pace.samples += 1;
      pace.meanMs += Math.max(PACE_WEIGHT, 1 / pace.samples) *
        (Math.min(paceMs, SLOW_FACTOR * pace.meanMs + SLOW_FLOOR_MS) -
          pace.meanMs);
    }
    return isSlow;
  }

  #guard(name: string): decisions.RolloutGuard {
    const held = this.#guards.get(name);
    if (held !== undefined) return held;
    const guard = new decisions.RolloutGuard({
      minSamples: MIN_SAMPLES,
      maxErrorIncrease: MAX_ERROR_INCREASE,
      maxRatingDecrease: 1,
    });
    this.#guards.set(name, guard);
    return guard;
  }
}

/** What the task needs. */
export interface RolloutTaskOptions {
  readonly clock: kernel.Clock;
  readonly plane: ports.ControlPlane;
  readonly control: control.ControlTask;
  readonly log: logs.DecisionLog;
  readonly random: () => number;
  readonly exposureShare: number;
}

/** Owner of the roll-outs' steps. */
export class RolloutTask {
  readonly #options: RolloutTaskOptions;
  readonly #trials = new Map<string, Trial>();
  readonly #due = new Map<string, number>();
  readonly #writing = new Set<string>();
  readonly #timer: NodeJS.Timeout;

  constructor(options: RolloutTaskOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  /** Chooses the side of a roll-out for one request. */
  chooseSide(
    service: string,
    session: {
      readonly version: string | undefined;
      readonly fraction: number;
    },
  ): decisions.RolloutSide {
    const { control, clock, exposureShare } = this.#options;
    const order = control.orders.get(service);
    const target = order?.targetVersion;
    return decisions.chooseRolloutSide({
      order,
      record: control.records.get(service),
      session: session.version === undefined
        ? undefined
        : session.version === target
        ? "new"
        : "old",
      fraction: session.fraction,
      wallMs: clock.wallMs(),
      exposureShare,
      isStoppedHere: order !== undefined &&
        this.#trials.get(service)?.verdict !==
          undefined &&
        this.#trials.get(service)?.orderRevision === order.revision,
    });
  }

  /** Takes an answer as evidence while a roll-out is under way. */
  record(outcome: VersionOutcome): void {
    const { control } = this.#options;
    const order = control.orders.get(outcome.service);
    if (order === undefined) return;
    const held = control.records.get(outcome.service);
    const isOver = held !== undefined && held.state !== "in-progress" &&
      held.orderRevision >= order.revision;
    if (isOver) return;
    const trial = this.#trial(order);
    const isTarget = outcome.version === order.targetVersion;
    const before = trial.verdict;
    trial.take(outcome, isTarget);
    if (isTarget && (outcome.isFailure || before !== trial.verdict)) {
      this.#options.log.notable("rollout.evidence", {
        service: outcome.service,
        route: outcome.route,
        version: outcome.version,
        ...trial.evidence,
        verdict: trial.verdict,
      });
    }
    if (before === undefined && trial.verdict !== undefined) this.check();
  }

  /** Writes the steps that are due. */
  check(): void {
    for (const order of this.#options.control.orders.values()) {
      this.#checkOrder(order);
    }
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #trial(order: ports.RolloutOrder): Trial {
    const held = this.#trials.get(order.service);
    if (held !== undefined && held.orderRevision === order.revision) {
      return held;
    }
    const trial = new Trial(
      order.revision,
      this.#options.clock.wallMs(),
    );
    this.#trials.set(order.service, trial);
    return trial;
  }

  #checkOrder(order: ports.RolloutOrder): void {
    const { service } = order;
    if (this.#writing.has(service)) return;
    const { control, clock, random } = this.#options;
    const { verdict, orderedAtMs } = this.#trial(order);
    const next = decisions.advanceRollout(order, control.records.get(service), {
      verdict,
      wallMs: clock.wallMs(),
      orderedAtMs,
    });
    if (next === undefined) {
      this.#due.delete(service);
      return;
    }
    const nowMs = clock.monotonicMs();
    const jitterMs = verdict === undefined
      ? Math.min(MAX_STEP_JITTER_MS, STEP_JITTER_SHARE * order.durationMs)
      : 0;
    const dueAtMs = this.#due.get(service) ?? nowMs + random() * jitterMs;
    this.#due.set(service, dueAtMs);
    const isDue = nowMs >= dueAtMs || next.state === "rolled-back";
    if (isDue) void this.#write(next);
  }

  async #write(record: ports.RolloutRecord): Promise<void> {
    const { service } = record;
    this.#writing.add(service);
    const written = await this.#options.plane.writeRollout(record);
    this.#writing.delete(service);
    const { state, targetVersion, reason } = record;
    const outcome = written.isErr() ? "failed" : written.value.type;
    this.#options.log.notable("rollout.written", {
      service,
      state,
      targetVersion,
      reason,
      expectedRevision: record.revision,
      outcome,
      error: written.isErr() ? written.error.message : undefined,
    });
    if (written.isOk() && written.value.type === "written") {
      const { revision } = written.value;
      this.#options.control.takeRecord({ ...record, revision });
      return;
    }
    // Lost answers and lost races show in the next watch.
    this.#due.set(service, this.#options.clock.monotonicMs() + RETRY_MS);
  }
}
