/**
 * What the pooled evidence says about each replica compared with the others of
 * its service: its speed factor, and the failures for which its requests are not
 * the reason. What is usual in a service is computed at intervals.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as groups from "./replica_group.ts";

/** Replicas that tell what is usual; of more, as many are looked at. */
const MAX_COMPARED = 64;
/** Interval at which the usual values of a service are computed again. */
const USUAL_INTERVAL_MS = 500;
/** Factor from which a replica counts as slow in the metrics. */
const SLOW_FACTOR = 1.5;

/** Replicas that are compared. */
export interface ReplicaLists {
  listActive(service: string): readonly groups.ReplicaState[];
}

interface UsualValues {
  readonly atMs: number;
  readonly speedRatio: number;
  readonly failureRate: number;
}

/** Compares the replicas that this process knows. */
export class ReplicaSpeeds {
  readonly #lists: ReplicaLists;
  readonly #sources: Pick<groups.LoadSources, "readPeerLoad">;
  readonly #usualByService = new Map<string, UsualValues>();

  constructor(
    lists: ReplicaLists,
    sources: Pick<groups.LoadSources, "readPeerLoad">,
  ) {
    this.#lists = lists;
    this.#sources = sources;
  }

  /** Factor by which a replica takes longer than a usual one of its service. */
  readFactor(state: groups.ReplicaState, nowMs: number): number {
    return this.compare(state, this.#readEvidence(state, nowMs), nowMs)
      .speedFactor;
  }

  /** Compares a replica by all processes' evidence about it. */
  compare(
    { entry, health }: groups.ReplicaState,
    evidence: decisions.EvidenceSums,
    nowMs: number,
  ): { readonly speedFactor: number; readonly failureRate: number } {
    const usual = this.#findUsual(entry.service, nowMs);
    return {
      speedFactor: decisions.estimateSpeedFactor(evidence, usual.speedRatio),
      failureRate: Math.max(
        health.readNoAnswerRate(nowMs),
        decisions.estimateExcessFailureRate(evidence, usual.failureRate),
      ),
    };
  }

  readGauges(
    services: Iterable<string>,
    nowMs: number,
  ): Readonly<Record<string, number>> {
    const factors = [...services].flatMap((service) =>
      this.#lists.listActive(service).map((state) =>
        this.readFactor(state, nowMs)
      )
    );
    return {
      slow_replicas: factors.filter((each) => each >= SLOW_FACTOR).length,
      slowest_replica_factor: Math.max(
        decisions.USUAL_SPEED_FACTOR,
        ...factors,
      ),
    };
  }

  #readEvidence(
    state: groups.ReplicaState,
    nowMs: number,
  ): decisions.EvidenceSums {
    return decisions.addEvidence(
      state.evidence.read(nowMs),
      this.#sources.readPeerLoad(state.key).evidence,
    );
  }

  #findUsual(service: string, nowMs: number): UsualValues {
    const known = this.#usualByService.get(service);
    if (known !== undefined && nowMs - known.atMs < USUAL_INTERVAL_MS) {
      return known;
    }
    const states = this.#lists.listActive(service);
    const stride = Math.ceil(states.length / MAX_COMPARED);
    const evidence = states.filter((_, index) => index % stride === 0)
      .map((state) => this.#readEvidence(state, nowMs));
    const usual = {
      atMs: nowMs,
      speedRatio: decisions.findUsualRatio(evidence),
      failureRate: decisions.findUsualFailureRate(evidence),
    };
    this.#usualByService.set(service, usual);
    return usual;
  }
}
