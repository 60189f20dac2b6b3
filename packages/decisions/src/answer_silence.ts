/**
 * How long peers have left heartbeats unanswered. The silence of a peer that has
 * never answered starts with its first heartbeat.
 */

/** Heartbeats and answers of the peers, by any object that identifies a peer. */
export class AnswerSilence<Peer extends object> {
  #silentSinceMs = new WeakMap<Peer, number>();

  /** Records a heartbeat that was sent to a peer. */
  recordHeartbeat(peer: Peer, nowMs: number): void {
    if (!this.#silentSinceMs.has(peer)) this.#silentSinceMs.set(peer, nowMs);
  }

  recordAnswer(peer: Peer, nowMs: number): void {
    this.#silentSinceMs.set(peer, nowMs);
  }

  /** Time since a peer's last answer, or since its first heartbeat; 0 without a heartbeat. */
  measureMs(peer: Peer, nowMs: number): number {
    return nowMs - (this.#silentSinceMs.get(peer) ?? nowMs);
  }

  /** Starts all measurements anew: this process could not receive answers while it was paused. */
  reset(): void {
    this.#silentSinceMs = new WeakMap();
  }
}
