/**
 * Load and evidence of the replicas that one process keeps the account of, from
 * the states that all processes send it. A state replaces the previous one of its
 * sender, so a lost message is made good by the next, and it expires, so a sender
 * that has crashed does not make a replica look busy.
 */
import * as evidence from "./replica_evidence.ts";

/** What one process, or several together, have at a replica. */
export interface ReplicaLoadState {
  /** Requests in flight. */
  readonly running: number;
  /** Predicted time until the prompts in flight are prefilled. */
  readonly pendingMs: number;
  /** Predicted tokens of the requests in flight in the engine's memory: prompts and output. */
  readonly heldTokens: number;
  /** Bytes of the bodies of the requests in flight. */
  readonly heldBytes: number;
  /** Time since any of them received a byte from the replica. */
  readonly silentMs: number;
  readonly evidence: evidence.EvidenceSums;
}

export const NO_LOAD_STATE: ReplicaLoadState = {
  running: 0,
  pendingMs: 0,
  heldTokens: 0,
  heldBytes: 0,
  silentMs: Infinity,
  evidence: evidence.NO_EVIDENCE,
};

/** The load in a state expires unless its sender repeats it within this time. */
const LOAD_TTL_MS = 3_000;
/** Its evidence is kept until it has decayed to a small part. */
const EVIDENCE_TTL_MS = 12_000;
/** Bounds the memory for keys of replicas that no longer exist. */
const MAX_REPLICAS = 4_096;

/** A state with its place in the sequence of its sender, and the time of its arrival. */
export interface SentState {
  readonly state: ReplicaLoadState;
  readonly sequence: number;
  readonly atMs: number;
}

/** Whether a sender has nothing at a replica, and nothing to say about it. */
function isEmptyLoad(
  { running, heldBytes, evidence }: ReplicaLoadState,
): boolean {
  return running === 0 && heldBytes === 0 && evidence.attempts === 0;
}

/** Adds the loads of two sets of processes. */
export function addLoads(
  a: ReplicaLoadState,
  b: ReplicaLoadState,
): ReplicaLoadState {
  return {
    running: a.running + b.running,
    pendingMs: a.pendingMs + b.pendingMs,
    heldTokens: a.heldTokens + b.heldTokens,
    heldBytes: a.heldBytes + b.heldBytes,
    silentMs: Math.min(a.silentMs, b.silentMs),
    evidence: evidence.addEvidence(a.evidence, b.evidence),
  };
}

/** Newest state of each sender at each replica. */
export class LoadLedger {
  /** States by replica key and sender. */
  readonly #statesByReplica = new Map<number, Map<string, SentState>>();

  /** Records a sender's state unless a newer one is known; returns whether it was recorded. */
  record(
    replicaKey: number,
    sender: string,
    sent: SentState,
  ): boolean {
    const states = this.#statesByReplica.get(replicaKey) ??
      new Map<string, SentState>();
    const previous = states.get(sender);
    const isLive = previous !== undefined &&
      sent.atMs - previous.atMs <= LOAD_TTL_MS;
    // After its silence a sender may have restarted with its clock set back.
    if (isLive && sent.sequence <= previous.sequence) return false;
    if (isEmptyLoad(sent.state)) states.delete(sender);
    else states.set(sender, sent);
    if (states.size === 0) this.#statesByReplica.delete(replicaKey);
    else if (
      this.#statesByReplica.has(replicaKey) ||
      this.#statesByReplica.size < MAX_REPLICAS
    ) this.#statesByReplica.set(replicaKey, states);
    return true;
  }

  /** Sums the states of all senders at a replica but one. */
  read(
    replicaKey: number,
    nowMs: number,
    exceptSender?: string,
  ): ReplicaLoadState {
    const states = this.#statesByReplica.get(replicaKey);
    let total = NO_LOAD_STATE;
    for (const [sender, { state, atMs }] of states ?? []) {
      const ageMs = nowMs - atMs;
      if (ageMs > EVIDENCE_TTL_MS) states?.delete(sender);
      else if (sender !== exceptSender) {
        const isLoadValid = ageMs <= LOAD_TTL_MS;
        total = addLoads(total, {
          running: isLoadValid ? state.running : 0,
          pendingMs: isLoadValid ? state.pendingMs : 0,
          heldTokens: isLoadValid ? state.heldTokens : 0,
          heldBytes: isLoadValid ? state.heldBytes : 0,
          silentMs: state.silentMs + ageMs,
          evidence: evidence.decayEvidence(state.evidence, ageMs),
        });
      }
    }
    if (states?.size === 0) this.#statesByReplica.delete(replicaKey);
    return total;
  }

  /** Keys of the replicas at which a sender has something. */
  listReplicaKeys(): readonly number[] {
    return [...this.#statesByReplica.keys()];
  }
}
