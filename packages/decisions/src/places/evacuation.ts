/**
 * Which data centres are evacuated, and how load returns to one after its order
 * has ended. The load that is named here is what all processes would move at
 * once: they learn of the end within a second of each other, and the replicas
 * that come back are idle, so that each process by itself would choose them for
 * every request. Each process instead admits a share of its requests that grows.
 */

/** Time over which the requests of a data centre return to it. */
const RETURN_MS = 3_000;
/** More orders than an installation has data centres; further ones are refused. */
const MAX_ORDERS = 256;
const MAX_NAME_CHARS = 256;
/** Printable ASCII, as in the entries of replicas. */
const NAME_PATTERN = /^[\u0021-\u007e]+$/;

interface Return {
  readonly startedAtMs: number;
  readonly durationMs: number;
}

/** Whether a text can be the name of a data centre. */
export function isDataCentreName(text: string): boolean {
  return text.length <= MAX_NAME_CHARS && NAME_PATTERN.test(text);
}

/** Orders in force by data centre, and the returns after them. */
export class EvacuationOrders {
  readonly #beganAtMs = new Map<string, number>();
  readonly #returns = new Map<string, Return>();

  /** Data centres to which nothing may be sent. */
  list(): readonly string[] {
    return [...this.#beganAtMs.keys()];
  }

  has(dataCentre: string): boolean {
    return this.#beganAtMs.has(dataCentre);
  }

  /** Returns whether the order is new; a repeated one changes nothing. */
  begin(dataCentre: string, nowMs: number): boolean {
    const { size } = this.#beganAtMs;
    if (this.has(dataCentre) || size >= MAX_ORDERS) return false;
    this.#beganAtMs.set(dataCentre, nowMs);
    this.#returns.delete(dataCentre);
    return true;
  }

  /** Returns for how long the order was in force; undefined if there was none. */
  end(dataCentre: string, nowMs: number): number | undefined {
    const beganAtMs = this.#beganAtMs.get(dataCentre);
    if (beganAtMs === undefined) return undefined;
    this.#beganAtMs.delete(dataCentre);
    const heldMs = nowMs - beganAtMs;
    // After a short order, most of the load is still there.
    const durationMs = Math.min(RETURN_MS, heldMs);
    this.#returns.set(dataCentre, { startedAtMs: nowMs, durationMs });
    return heldMs;
  }

  /**
   * Data centres to which a request does not return yet; undefined if there are
   * none. `fraction` is in [0, 1) and drawn once for each request.
   */
  findHeldBack(
    fraction: number,
    nowMs: number,
  ): ReadonlySet<string> | undefined {
    const heldBack = new Set<string>();
    for (const [dataCentre, { startedAtMs, durationMs }] of this.#returns) {
      const elapsedMs = nowMs - startedAtMs;
      if (elapsedMs >= durationMs) this.#returns.delete(dataCentre);
      else if (fraction >= elapsedMs / durationMs) heldBack.add(dataCentre);
    }
    return heldBack.size === 0 ? undefined : heldBack;
  }

  /** Whether load is returning to a data centre, so that `findHeldBack` needs to be asked. */
  get isReturning(): boolean {
    return this.#returns.size > 0;
  }
}
