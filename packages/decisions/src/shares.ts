/**
 * Which client accounts are over their share of what is short. Only those are
 * refused early; others reach the gate, whose fair queue makes room for them.
 */

/** Work of one account in flight. */
export interface AccountLoad {
  readonly inFlight: number;
  readonly weight: number;
}

/** Whether one more request takes an account over its weighted share of all in flight. */
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

/** Work in flight by what it runs on and by account. */
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
