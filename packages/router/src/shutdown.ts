/** What a stop of this process means for its requests, by the time that is left until SIGKILL. */
import * as kernel from "@jackdawbank/kernel";

/**
 * Time after SIGTERM in which new requests are still accepted. The platform needs
 * two failed readiness probes, one second apart, to stop sending. Requests that it
 * sends from 3 s on must not be accepted, or the exit could cut them off.
 */
const ACCEPT_MS = 2_700;
/** Largest share of the grace period in which requests are accepted. */
const MAX_ACCEPT_SHARE = 0.5;
/** Time before SIGKILL at which running requests are ended. */
const END_MARGIN_MS = 500;
/** Largest share of the grace period for that; a replica may work until the last sixth. */
const MAX_END_MARGIN_SHARE = 1 / 12;
/** Share of the margin in which the last responses are written. */
const WRITE_SHARE = 0.5;
/** Share of the margin after which nothing is waited for; the rest is for the exit itself. */
const CLOSE_SHARE = 0.75;

const POLL_MS = 50;
/** Longest time for which connections that wait already are accepted at the end of accepting. */
const MAX_ACCEPT_PENDING_MS = 200;
/** Turns of the event loop in which a connection is accepted, and its request read. */
const READ_TURNS = 3;

/** Schedule of the stop of one process; before `start`, nothing is limited. */
export class ShutdownSchedule {
  readonly #graceMs: number;
  #startedAtMs = Infinity;

  constructor(graceMs: number) {
    this.#graceMs = graceMs;
  }

  /** Begins a stop whose signal may have waited for some time; the grace period counts from it. */
  start(nowMs: number, signalAgeMs = 0): void {
    // A process that still lives has at least the time to end what runs.
    const maxAgeMs = this.#graceMs - this.#endMarginMs;
    this.#startedAtMs = nowMs - Math.min(signalAgeMs, maxAgeMs);
  }

  /** Whether the stop has begun. */
  get hasStarted(): boolean {
    return this.#startedAtMs < Infinity;
  }

  /** Monotonic time until which new requests are accepted. */
  get acceptUntilMs(): number {
    return this.#startedAtMs +
      Math.min(ACCEPT_MS, MAX_ACCEPT_SHARE * this.#graceMs);
  }

  /** Monotonic time at which running requests are ended and answered. */
  get endAtMs(): number {
    return this.#startedAtMs + this.#graceMs - this.#endMarginMs;
  }

  /** Monotonic time at which all connections are closed. */
  get closeAtMs(): number {
    return this.endAtMs + WRITE_SHARE * this.#endMarginMs;
  }

  /** Monotonic time at which the process exits, whatever still answers or not. */
  get exitAtMs(): number {
    return this.endAtMs + CLOSE_SHARE * this.#endMarginMs;
  }

  /** Whether running requests are ended. */
  hasEnded(nowMs: number): boolean {
    return nowMs >= this.endAtMs;
  }

  /**
   * Whether a request may be sent. Late in the grace period, one that no replica has run
   * is only sent if it ends by its own deadline before this process does.
   */
  canSend(nowMs: number, deadlineAtMs: number, hasRun = false): boolean {
    if (hasRun) return !this.hasEnded(nowMs);
    return nowMs < this.acceptUntilMs || deadlineAtMs <= this.endAtMs;
  }

  get #endMarginMs(): number {
    return Math.min(END_MARGIN_MS, MAX_END_MARGIN_SHARE * this.#graceMs);
  }
}

/** Resolves once the condition is met, at the latest at a monotonic time. */
export async function waitFor(
  isMet: () => boolean,
  untilMs: number,
  clock: kernel.Clock,
): Promise<void> {
  while (!isMet()) {
    const leftMs = untilMs - clock.monotonicMs();
    if (leftMs <= 0) return;
    await kernel.sleep(Math.min(POLL_MS, leftMs));
  }
}

/** Resolves with the work, at the latest at a monotonic time. */
export async function waitAtMost(
  work: Promise<void>,
  untilMs: number,
  clock: kernel.Clock,
): Promise<void> {
  const timeout = new AbortController();
  const leftMs = untilMs - clock.monotonicMs();
  await Promise.race([work, kernel.sleep(leftMs, timeout.signal)]);
  timeout.abort();
}

/** Resolves when what has arrived so far has been read. */
export async function readPending(): Promise<void> {
  for (let turn = 0; turn < READ_TURNS; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/**
 * Resolves when no connection waits to be accepted, at the latest after some time. The
 * runtime accepts one in each turn of its event loop.
 */
export async function acceptPending(
  countAccepted: () => number,
  clock: kernel.Clock,
): Promise<void> {
  const untilMs = clock.monotonicMs() + MAX_ACCEPT_PENDING_MS;
  let accepted: number;
  do {
    accepted = countAccepted();
    await readPending();
  } while (countAccepted() > accepted && clock.monotonicMs() < untilMs);
}
