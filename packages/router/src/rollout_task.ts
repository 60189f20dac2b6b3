/**
 * The duty of roll-outs: works out the next step of each order, writes it to
 * the control plane on condition of what was read, and judges the new version
 * by its answers here.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import type * as peers from "@jackdawbank/peers";
import type * as control from "./control_task.ts";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";

const CHECK_INTERVAL_MS = 200;
/** Steps that are due by time are written by whoever draws the shortest delay. */
const MAX_STEP_JITTER_MS = 800;
/** Share of a roll-out's duration that the delay may take. */
const STEP_JITTER_SHARE = 0.03;
const RETRY_MS = 400;

/** An answer of a service as evidence on its version. */
export interface VersionEvidence extends decisions.VersionOutcome {
  readonly service: string;
  readonly version: string;
}

/** The trial of an order, since this process learnt of it. */
interface Trial {
  readonly orderRevision: number;
  readonly targetVersion: string;
  /** Steady time at which this process learnt of the order. */
  readonly learntAtMs: number;
  /** How long the order had stood by then; unknown until its record is. */
  earlierMs: number | undefined;
  readonly judge: decisions.VersionTrial;
}

/** What the task needs. */
export interface RolloutTaskOptions {
  readonly clock: kernel.Clock;
  readonly plane: ports.ControlPlane;
  readonly control: control.ControlTask;
  readonly log: logs.DecisionLog;
  readonly random: () => number;
  readonly exposureShare: number;
  /** Replicas of a version of a service. */
  readonly countReplicas: (service: string, version: string) => number;
  /** Called once with each order. */
  readonly onOrder: (service: string) => void;
}

/** Owner of the roll-outs' steps. */
export class RolloutTask {
  readonly #options: RolloutTaskOptions;
  readonly #trials = new Map<string, Trial>();
  readonly #due = new Map<string, number>();
  readonly #writing = new Set<string>();
  readonly #timer: NodeJS.Timeout;
  /** Orders that come after the first full read are new ones. */
  #hasSeenView = false;

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
  ): decisions.VersionPreference {
    const { control, exposureShare } = this.#options;
    const order = control.orders.get(service);
    const target = order?.targetVersion;
    const record = control.records.get(service);
    const trial = order && this.#trial(order);
    return decisions.chooseVersionPreference({
      order,
      record,
      session: session.version === undefined
        ? undefined
        : session.version === target
        ? "new"
        : "old",
      fraction: session.fraction,
      elapsedMs: trial === undefined ? 0 : this.#measureElapsedMs(
        trial,
        record,
      ),
      exposureShare,
      isStoppedLocally: trial?.judge.verdict !== undefined,
    });
  }

  /** Whether other processes must know that a session runs on the old version. */
  mustShare(service: string, version: string, fraction: number): boolean {
    const order = this.#options.control.orders.get(service);
    return order !== undefined && version !== order.targetVersion &&
      !this.#isOver(order) &&
      decisions.isTrialSession(fraction, this.#options.exposureShare);
  }

  /** What this process saw of versions under trial. */
  listCounts(): readonly peers.VersionOutcomes[] {
    return [...this.#options.control.orders.values()].flatMap((order) => {
      if (this.#isOver(order)) return [];
      const { service, revision } = order;
      return this.#trial(order).judge.listLocalEvidence().map((evidence) => ({
        service,
        orderRevision: revision,
        ...evidence,
      }));
    });
  }

  /** Takes what another process saw of a version under trial. */
  takeCount(count: peers.VersionOutcomes): void {
    const { control, countReplicas } = this.#options;
    const order = control.orders.get(count.service);
    if (order?.revision !== count.orderRevision || this.#isOver(order)) return;
    const { judge, targetVersion } = this.#trial(order);
    const before = judge.verdict;
    judge.recordPeerEvidence(
      count,
      countReplicas(count.service, targetVersion),
    );
    if (before !== undefined || judge.verdict === undefined) return;
    this.#logEvidence(order, judge);
    this.check();
  }

  /** Takes an answer as evidence while a roll-out is under way. */
  record(outcome: VersionEvidence): void {
    const order = this.#options.control.orders.get(outcome.service);
    if (order === undefined || this.#isOver(order)) return;
    const { service, targetVersion } = order;
    const isTarget = outcome.version === targetVersion;
    const { judge } = this.#trial(order);
    const before = judge.verdict;
    judge.recordOutcome(outcome, {
      isTarget,
      replicas: this.#options.countReplicas(service, targetVersion),
    });
    const isBad = outcome.result !== "whole";
    if (isTarget && (isBad || before !== judge.verdict)) {
      this.#logEvidence(order, judge, outcome);
    }
    if (before === undefined && judge.verdict !== undefined) this.check();
  }

  /** Writes the steps that are due. */
  check(): void {
    const { control } = this.#options;
    for (const order of control.orders.values()) this.#checkOrder(order);
    this.#hasSeenView ||= control.hasRead;
  }

  close(): void {
    clearInterval(this.#timer);
  }

  /** The record says how the order ended. */
  #isOver(order: ports.RolloutOrder): boolean {
    const held = this.#options.control.records.get(order.service);
    return held !== undefined && held.state !== "in-progress" &&
      held.orderRevision >= order.revision;
  }

  #logEvidence(
    order: ports.RolloutOrder,
    judge: decisions.VersionTrial,
    outcome?: VersionEvidence,
  ): void {
    this.#options.log.addNotable("rollout.evidence", {
      service: order.service,
      version: order.targetVersion,
      route: outcome?.route,
      replicaKey: outcome?.replicaKey,
      result: outcome?.result,
      paceMs: outcome?.paceMs,
      ...judge.evidence,
      verdict: judge.verdict,
    });
  }

  /**
   * Steady time since the order. The time of day may jump; it only serves where
   * a process finds the order on record when it starts.
   */
  #measureElapsedMs(
    trial: Trial,
    record: ports.RolloutRecord | undefined,
  ): number {
    const { clock } = this.#options;
    const knownMs = clock.monotonicMs() - trial.learntAtMs;
    if (
      trial.earlierMs === undefined &&
      record?.orderRevision === trial.orderRevision
    ) {
      const elapsedMs = decisions.estimateElapsedMs(record, clock.wallMs());
      trial.earlierMs = Math.max(0, elapsedMs - knownMs);
    }
    return knownMs + (trial.earlierMs ?? 0);
  }

  #trial(order: ports.RolloutOrder): Trial {
    const held = this.#trials.get(order.service);
    if (held !== undefined && held.orderRevision === order.revision) {
      return held;
    }
    const trial: Trial = {
      orderRevision: order.revision,
      targetVersion: order.targetVersion,
      learntAtMs: this.#options.clock.monotonicMs(),
      earlierMs: this.#hasSeenView ? 0 : undefined,
      judge: new decisions.VersionTrial(),
    };
    this.#trials.set(order.service, trial);
    this.#options.onOrder(order.service);
    return trial;
  }

  #checkOrder(order: ports.RolloutOrder): void {
    const { service } = order;
    if (this.#writing.has(service)) return;
    const { control, clock, random } = this.#options;
    const trial = this.#trial(order);
    const { verdict } = trial.judge;
    const record = control.records.get(service);
    const next = decisions.advanceRollout(order, record, {
      verdict,
      elapsedMs: this.#measureElapsedMs(trial, record),
      wallMs: clock.wallMs(),
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
    this.#options.log.addNotable("rollout.written", {
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
