/**
 * Tells whether a client account is over its weighted share of a model or service.
 * Under overload only requests of such accounts are refused early; those of other
 * accounts are sent to the upstream, whose fair queue makes room for them.
 */

/** Requests of one account in flight. */
export interface AccountLoad {
  readonly inFlight: number;
  readonly weight: number;
}

/** Whether one more request would take an account over its weighted share of all requests in flight. */
export function isOverShare(
  loads: ReadonlyMap<string, AccountLoad>,
  account: string,
): boolean {
  const own = loads.get(account);
  if (own === undefined || own.inFlight === 0) return false;
  let inFlight = 0;
  let weight = 0;
  for (const load of loads.values()) {
    if (load.inFlight === 0) continue;
    inFlight += load.inFlight;
    weight += load.weight;
  }
  return own.inFlight >= inFlight * own.weight / weight;
}

/** Requests in flight, by the name of the model version or service and by account. */
export class InFlightShares {
  readonly #loads = new Map<string, Map<string, AccountLoad>>();

  recordStart(name: string, account: string, weight: number): void {
    const loads = this.#loads.get(name) ?? new Map<string, AccountLoad>();
    const inFlight = (loads.get(account)?.inFlight ?? 0) + 1;
    loads.set(account, { inFlight, weight });
    this.#loads.set(name, loads);
  }

  recordEnd(name: string, account: string): void {
    const loads = this.#loads.get(name);
    const load = loads?.get(account);
    if (loads === undefined || load === undefined) return;
    if (load.inFlight <= 1) loads.delete(account);
    else loads.set(account, { ...load, inFlight: load.inFlight - 1 });
  }

  isOverShare(name: string, account: string): boolean {
    const loads = this.#loads.get(name);
    return loads !== undefined && isOverShare(loads, account);
  }
}
