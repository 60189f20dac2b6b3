/**
 * Figures over all replicas of a service. Where these are many, a figure is used
 * for a short time rather than computed at each request.
 */
import * as decisions from "@jackdawbank/decisions";

/** Replicas over which a figure is computed at each request. */
const MAX_EXACT_REPLICAS = 64;
/** Time for which a figure over more replicas is used; loads change little meanwhile. */
const REUSE_MS = 250;
const MAX_SERVICES = 1_024;

/** Whether a figure over so many replicas is computed at each request, for this request alone. */
export function isExact(replicas: number): boolean {
  return replicas <= MAX_EXACT_REPLICAS;
}

/** One figure, by service. */
export class ServiceScan {
  readonly #known = new Map<
    string,
    { readonly value: number; readonly atMs: number }
  >();

  read(
    service: string,
    context: { readonly replicas: number; readonly nowMs: number },
    compute: () => number,
  ): number {
    const { replicas, nowMs } = context;
    if (isExact(replicas)) return compute();
    const known = this.#known.get(service);
    if (known !== undefined && nowMs - known.atMs < REUSE_MS) {
      return known.value;
    }
    const value = compute();
    this.#known.delete(service);
    this.#known.set(service, { value, atMs: nowMs });
    decisions.trimOldest(this.#known, MAX_SERVICES);
    return value;
  }
}
