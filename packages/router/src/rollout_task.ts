/**
 * Drives roll-outs: computes the next step of each order, writes it to the
 * control plane if the record is unchanged since it was read, and evaluates the
 * new version by its responses to this process and to its peers.
 */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import type * as peers from "@jackdawbank/peers";
import type * as control from "./control_task.ts";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import * as rewrites from "./record_rewrites.ts";

const CHECK_INTERVAL_MS = 200;
/** Random delay of scheduled steps, so that usually only one process writes each. */
const MAX_STEP_JITTER_MS = 800;
/** Share of a roll-out's duration that this delay may take. */
const STEP_JITTER_SHARE = 0.03;
const RETRY_MS = 400;
/** Time after which a record of an earlier era is taken for that of another order with the same content. */
const RECORD_HOLD_MS = 3_000;
/** Part of a roll-out for which a process must have followed it to judge that there are no requests. */
const MIN_FOLLOWED_SHARE = 0.5;

/** Outcome of an attempt as evidence for the version that ran it. */
export interface ServiceVersionOutcome extends decisions.VersionOutcome {
  readonly service: string;
  readonly version: string;
}

/** Pace of a stream as evidence for the version that runs it. */
export interface ServiceStreamEvidence extends decisions.StreamEvidence {
  readonly service: string;
  readonly version: string;
  /** The stream goes on; its median gap is at least this, and may become longer. */
  readonly isMinimum: boolean;
  /** Monotonic time. */
  readonly sentAtMs: number;
}

/** Evaluation of an order's target version by this process. */
interface Trial {
  /** Follows an order that comes again under another revision. */
  orderRevision: number;
  /** Monotonic time at which this process first saw the order. */
  readonly observedAtMs: number;
  /** Age of the order at that time; unknown until its record is read. */
  elapsedBeforeMs: number | undefined;
  readonly evaluator: decisions.VersionTrial;
  /** Requests of this process that preferred the target, and did not get a whole answer of it. */
  preferredElsewhere: number;
}

/** Dependencies of the task. */
export interface RolloutTaskOptions {
  readonly clock: kernel.Clock;
  readonly controlPlane: ports.ControlPlane;
  readonly control: control.ControlTask;
  readonly log: logs.DecisionLog;
  readonly random: () => number;
  readonly exposureShare: number;
  /** Number of a service's replicas that run a version. */
  readonly countReplicas: (service: string, version: string) => number;
  /** Number of the installation's processes. */
  readonly countProcesses: () => number;
  /** Called once for each order. */
  readonly onOrder: (service: string) => void;
}

/** Advances roll-outs and collects evidence on their target versions. */
export class RolloutTask {
  readonly #options: RolloutTaskOptions;
  readonly #trials = new Map<string, Trial>();
  readonly #dueAtMsByService = new Map<string, number>();
  readonly #rewrites: rewrites.RecordRewrites;
  readonly #servicesBeingWritten = new Set<string>();
  readonly #timer: NodeJS.Timeout;
  /** Whether the first full read has been checked; orders seen later are new. */
  #hasSeenView = false;

  constructor(options: RolloutTaskOptions) {
    this.#options = options;
    this.#rewrites = new rewrites.RecordRewrites(options);
    this.#timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  /** Chooses which versions a request may run on, and which it prefers. */
  chooseVersionPreference(
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
    const trial = order && this.#getTrial(order);
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
      isStoppedLocally: trial?.evaluator.verdict !== undefined,
    });
  }

  /** Whether peers should be told that a session runs on the old version. */
  shouldShare(
    service: string,
    version: string,
    fraction: number,
  ): boolean {
    const order = this.#options.control.orders.get(service);
    return order !== undefined && version !== order.targetVersion &&
      !this.#isOver(order) &&
      decisions.isTrialSession(fraction, this.#options.exposureShare);
  }

  /** Local outcomes of the versions in active roll-outs, for peer reports. */
  listVersionOutcomes(): readonly peers.VersionOutcomes[] {
    return [...this.#options.control.orders.values()].flatMap((order) => {
      if (this.#isOver(order)) return [];
      const { service, revision } = order;
      return this.#getTrial(order).evaluator.listLocalOutcomes().map((
        outcomes,
      ) => ({
        service,
        orderRevision: revision,
        ...outcomes,
      }));
    });
  }

  /** Whether two revisions are known to be those of a service's newest order. */
  isSameOrder(service: string, first: number, second: number): boolean {
    const order = this.#options.control.orders.get(service);
    return order !== undefined && decisions.isRevisionOf(order, first) &&
      decisions.isRevisionOf(order, second);
  }

  /** Records outcomes of a target version that a peer reported. */
  recordPeerOutcomes(counts: peers.VersionOutcomes): void {
    const { control, countReplicas } = this.#options;
    const order = control.orders.get(counts.service);
    if (order === undefined || this.#isOver(order)) return;
    if (!decisions.isRevisionOf(order, counts.orderRevision)) return;
    const { evaluator } = this.#getTrial(order);
    const previous = evaluator.verdict;
    evaluator.recordPeerOutcomes(
      counts,
      countReplicas(counts.service, order.targetVersion),
    );
    if (previous !== undefined || evaluator.verdict === undefined) return;
    this.#logEvidence(order, evaluator);
    this.check();
  }

  /**
   * Records the pace of a stream as evidence while a roll-out is active, a minimum only if
   * it shows that the stream is slow. Returns whether it did: then the end of a whole answer
   * is no further evidence.
   */
  recordStream(evidence: ServiceStreamEvidence): boolean {
    const { service, version } = evidence;
    const order = this.#options.control.orders.get(service);
    if (order === undefined || this.#isOver(order)) return false;
    const { targetVersion } = order;
    const isTarget = version === targetVersion;
    const trial = this.#getTrial(order);
    const { evaluator } = trial;
    if (!isTarget) this.#countElsewhere(order, trial, evidence.sentAtMs);
    if (evidence.isMinimum && !evaluator.isSlowStream(evidence)) return false;
    const previous = evaluator.verdict;
    const isSlow = evaluator.recordStream(evidence, {
      isTarget,
      replicas: this.#options.countReplicas(service, targetVersion),
    });
    if (isTarget && (isSlow || previous !== evaluator.verdict)) {
      const { route, replicaKey, pace } = evidence;
      this.#logEvidence(order, evaluator, {
        route,
        replicaKey,
        result: isSlow ? "slow" : "raised",
        paceMs: pace.medianGapMs,
        load: pace.load,
      });
    }
    if (previous === undefined && evaluator.verdict !== undefined) this.check();
    return true;
  }

  /** Records an outcome as evidence while a roll-out is active. */
  record(outcome: ServiceVersionOutcome): void {
    const order = this.#options.control.orders.get(outcome.service);
    if (order === undefined || this.#isOver(order)) return;
    const { service, targetVersion } = order;
    const isTarget = outcome.version === targetVersion;
    const trial = this.#getTrial(order);
    const { evaluator } = trial;
    const isBad = outcome.result !== "whole";
    if (!isTarget || isBad) {
      this.#countElsewhere(order, trial, outcome.sentAtMs);
    }
    const previous = evaluator.verdict;
    evaluator.recordOutcome(outcome, {
      isTarget,
      replicas: this.#options.countReplicas(service, targetVersion),
    });
    if (isTarget && (isBad || previous !== evaluator.verdict)) {
      this.#logEvidence(order, evaluator, outcome);
    }
    if (previous === undefined && evaluator.verdict !== undefined) this.check();
  }

  /** Advances each order by the step that is due. */
  check(): void {
    const { control } = this.#options;
    for (const order of control.orders.values()) this.#advanceOrder(order);
    for (const record of this.#rewrites.listDue(control.unwrittenRecords)) {
      if (!this.#servicesBeingWritten.has(record.service)) {
        void this.#write(record);
      }
    }
    this.#hasSeenView ||= control.hasView;
  }

  close(): void {
    clearInterval(this.#timer);
  }

  /** Whether the record shows that the order, or a newer one, has ended. */
  #isOver(order: ports.RolloutOrder): boolean {
    const record = this.#options.control.records.get(order.service);
    return record !== undefined && record.state !== "in-progress" &&
      record.orderRevision >= order.revision;
  }

  #logEvidence(
    order: ports.RolloutOrder,
    evaluator: decisions.VersionTrial,
    outcome?:
      & Pick<ServiceVersionOutcome, "route" | "replicaKey" | "paceMs">
      & {
        readonly result: ServiceVersionOutcome["result"] | "slow" | "raised";
        readonly load?: number;
      },
  ): void {
    this.#options.log.addNotable("rollout.evidence", {
      service: order.service,
      version: order.targetVersion,
      route: outcome?.route,
      replicaKey: outcome?.replicaKey,
      result: outcome?.result,
      paceMs: outcome?.paceMs,
      load: outcome?.load,
      ...evaluator.evidence,
      verdict: evaluator.verdict,
    });
  }

  /**
   * Monotonic time since the order. The wall clock may jump; it is only used for
   * orders that were already recorded when this process started.
   */
  #measureElapsedMs(
    trial: Trial,
    record: ports.RolloutRecord | undefined,
  ): number {
    const { clock } = this.#options;
    const sinceObservedMs = clock.monotonicMs() - trial.observedAtMs;
    if (
      trial.elapsedBeforeMs === undefined &&
      record?.orderRevision === trial.orderRevision
    ) {
      const elapsedMs = decisions.estimateElapsedMs(record, clock.wallMs());
      trial.elapsedBeforeMs = Math.max(0, elapsedMs - sinceObservedMs);
    }
    return sinceObservedMs + (trial.elapsedBeforeMs ?? 0);
  }

  #getTrial(order: ports.RolloutOrder): Trial {
    const existing = this.#trials.get(order.service);
    if (
      existing !== undefined &&
      decisions.isRevisionOf(order, existing.orderRevision)
    ) {
      existing.orderRevision = order.revision;
      return existing;
    }
    const trial: Trial = {
      orderRevision: order.revision,
      observedAtMs: this.#options.clock.monotonicMs(),
      elapsedBeforeMs: this.#hasSeenView ? 0 : undefined,
      evaluator: new decisions.VersionTrial(),
      preferredElsewhere: 0,
    };
    this.#trials.set(order.service, trial);
    this.#options.onOrder(order.service);
    return trial;
  }

  #countElsewhere(
    order: ports.RolloutOrder,
    trial: Trial,
    sentAtMs: number,
  ): void {
    const record = this.#options.control.records.get(order.service);
    const elapsedMs = this.#measureElapsedMs(trial, record) -
      (this.#options.clock.monotonicMs() - sentAtMs);
    const isPreferred = decisions.isShifted(elapsedMs, order.durationMs);
    if (isPreferred) trial.preferredElsewhere += 1;
  }

  /**
   * Whether the target version has replicas and has answered. One that no request preferred
   * while this process followed the shift has nothing to answer.
   */
  #isProven(order: ports.RolloutOrder, trial: Trial): boolean {
    const { clock, countReplicas } = this.#options;
    if (countReplicas(order.service, order.targetVersion) === 0) return false;
    if (trial.evaluator.evidence.samples > 0) return true;
    const followedMs = clock.monotonicMs() - trial.observedAtMs;
    return trial.preferredElsewhere === 0 &&
      followedMs >= MIN_FOLLOWED_SHARE * order.durationMs;
  }

  #advanceOrder(order: ports.RolloutOrder): void {
    const { service } = order;
    if (this.#servicesBeingWritten.has(service)) return;
    const { control, clock, random } = this.#options;
    const trial = this.#getTrial(order);
    const { verdict } = trial.evaluator;
    const record = control.records.get(service);
    const next = decisions.advanceRollout(order, record, {
      verdict,
      isProven: this.#isProven(order, trial),
      elapsedMs: this.#measureElapsedMs(trial, record),
      wallMs: clock.wallMs(),
    });
    if (next === undefined) {
      this.#dueAtMsByService.delete(service);
      return;
    }
    const nowMs = clock.monotonicMs();
    const jitterMs = verdict === undefined
      ? Math.min(MAX_STEP_JITTER_MS, STEP_JITTER_SHARE * order.durationMs)
      : 0;
    // Processes that knew the record say so, if it is the record of this order.
    const isDoubtful = record !== undefined &&
      record.orderRevision < order.revision &&
      decisions.mayBeRecordOf(order, record);
    const dueAtMs = this.#dueAtMsByService.get(service) ??
      nowMs + random() * jitterMs + (isDoubtful ? RECORD_HOLD_MS : 0);
    this.#dueAtMsByService.set(service, dueAtMs);
    const isDue = nowMs >= dueAtMs || next.state === "rolled-back";
    if (isDue) void this.#write(next);
  }

  async #write(record: ports.RolloutRecord): Promise<void> {
    const { service } = record;
    this.#servicesBeingWritten.add(service);
    const written = await this.#options.controlPlane.writeRollout(record);
    this.#servicesBeingWritten.delete(service);
    const { state, targetVersion, reason } = record;
    const outcome = written.isErr() ? "failed" : written.value.type;
    this.#options.log.addNotable("rollout.written", {
      service,
      state,
      targetVersion,
      reason,
      expectedRevision: kernel.describePosition(record.revision),
      outcome,
      error: written.isErr() ? written.error.message : undefined,
    });
    if (written.isOk() && written.value.type === "written") {
      const { revision, writeId } = written.value;
      this.#options.control.applyRecord({ ...record, revision, writeId });
      return;
    }
    // The next watch shows whether the write was applied or another process wrote first.
    this.#dueAtMsByService.set(
      service,
      this.#options.clock.monotonicMs() + RETRY_MS,
    );
  }
}
