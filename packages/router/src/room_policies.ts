/** What competes for the engines of each service, by the newest route table. */
import type * as bundle from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";

/** The policies of one process, built once for each route table. */
export class RoomPolicies {
  readonly #getRouteIndex: () => bundle.RouteIndex | undefined;
  #policies = new Map<string, decisions.RoomPolicy | undefined>();
  #policiesOf: bundle.RouteIndex | undefined;

  constructor(getRouteIndex: () => bundle.RouteIndex | undefined) {
    this.#getRouteIndex = getRouteIndex;
  }

  /** What competes for a service's engines; `undefined` if nothing does. */
  find(service: string): decisions.RoomPolicy | undefined {
    const index = this.#getRouteIndex();
    if (index === undefined) return undefined;
    if (this.#policiesOf !== index) {
      this.#policiesOf = index;
      this.#policies = new Map();
    }
    if (!this.#policies.has(service)) {
      this.#policies.set(service, buildPolicy(index, service));
    }
    return this.#policies.get(service);
  }
}

function buildPolicy(
  { table, serviceByName }: bundle.RouteIndex,
  service: string,
): decisions.RoomPolicy | undefined {
  if (serviceByName.get(service)?.engine === undefined) return undefined;
  const routes = table.routes.filter(({ targets }) =>
    targets.some((target) => target.service === service)
  );
  return decisions.buildRoomPolicy(routes, table.accounts);
}
