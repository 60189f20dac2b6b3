/**
 * The route table: what reaches callers by host and path. It is the part of a
 * bundle that a router needs, in one immutable shape, wherever it came from.
 */

/** How often a request of a route may run. */
export type RouteKind = "idempotent" | "non-idempotent" | "stream";

/** A share of a route's traffic for one service. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** One route: the requests of a host whose path begins with a prefix. */
export interface Route {
  readonly name: string;
  readonly hostName: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** A broken stream may go on at another replica. */
  readonly isResumable: boolean;
  /** Longest time that a caller is kept waiting. */
  readonly timeoutMs: number;
  readonly targetLatencyMs: number;
  /** Longest pause between two events of a stream. */
  readonly maxGapMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Replicas that one request may be sent to. */
  readonly maxAttempts: number;
  readonly isPublic: boolean;
  /** Models to choose from, smallest first; empty where the caller names one. */
  readonly candidateModels: readonly string[];
  readonly targets: readonly RouteTarget[];
}

/** A model that a service's engines hold. */
export interface EngineModel {
  readonly name: string;
  /** Price of 1,000 generated tokens; tokens read count a quarter. */
  readonly costPer1000Tokens: number;
}

/** A service whose replicas are model engines. */
export interface Engine {
  readonly slots: number;
  readonly kvCacheTokens: number;
  readonly models: readonly EngineModel[];
}

/** A service that routes lead to. */
export interface RouteTableService {
  readonly name: string;
  /** Connections that one replica accepts from all its callers. */
  readonly maxConnections: number;
  readonly engine: Engine | undefined;
}

/** A client account with the digests of its keys. */
export interface RouteTableAccount {
  readonly name: string;
  readonly keysSha256: readonly string[];
  /** Goes before the route's priority where it is set. */
  readonly priority: number | undefined;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the whole table. */
export interface RouteTable {
  readonly revision: number;
  readonly routes: readonly Route[];
  readonly services: readonly RouteTableService[];
  /** Without accounts every caller is let in. */
  readonly accounts: readonly RouteTableAccount[];
  readonly limits: CallerLimits;
}

/** Look-ups over one table. */
export interface RouteIndex {
  readonly table: RouteTable;
  /** Routes of a host, longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly serviceByName: ReadonlyMap<string, RouteTableService>;
  readonly accountByKeySha256: ReadonlyMap<string, RouteTableAccount>;
}

/** Builds the look-ups of a table. */
export function indexRoutes(table: RouteTable): RouteIndex {
  const routesByHost = new Map<string, Route[]>();
  for (const route of table.routes) {
    const routes = routesByHost.get(route.hostName) ?? [];
    routes.push(route);
    routesByHost.set(route.hostName, routes);
  }
  for (const routes of routesByHost.values()) {
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return {
    table,
    routesByHost,
    serviceByName: new Map(table.services.map((service) => [
      service.name,
      service,
    ])),
    accountByKeySha256: new Map(
      table.accounts.flatMap((account) =>
        account.keysSha256.map((digest) => [digest, account] as const)
      ),
    ),
  };
}

/** The route of a request: the longest prefix among those of its host. */
export function findRoute(
  index: RouteIndex,
  hostName: string,
  path: string,
): Route | undefined {
  return index.routesByHost.get(hostName)?.find((route) =>
    path.startsWith(route.pathPrefix)
  );
}
