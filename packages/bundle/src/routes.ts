/**
 * The route table, which maps host and path prefix to services: the part of the
 * configuration that a router needs, independent of the source's format.
 */

/** Whether a request of a route may run more than once, and whether its response is a stream. */
export type RouteKind = "idempotent" | "non-idempotent" | "stream";

/** A service that receives a share of a route's traffic, in proportion to its weight. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** A route: the requests to a host whose path starts with a prefix. */
export interface Route {
  readonly name: string;
  readonly hostName: string;
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Whether an interrupted stream may be resumed at another replica. */
  readonly isResumable: boolean;
  /** Time limit of a request. */
  readonly timeoutMs: number;
  readonly targetLatencyMs: number;
  /** Longest pause between two events of a stream. */
  readonly maxGapMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Maximum number of replicas that one request is sent to. */
  readonly maxAttempts: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  /** Models to choose from, smallest first; empty if callers name the model. */
  readonly candidateModels: readonly string[];
  readonly targets: readonly RouteTarget[];
  /** Regions that its requests must stay in; empty if they may go anywhere. */
  readonly homeRegions: readonly string[];
}

/** A model that a service's engines serve. */
export interface EngineModel {
  readonly name: string;
  /** Price of 1,000 output tokens; a prompt token costs a quarter of an output token. */
  readonly costPer1000Tokens: number;
}

/** Capacity of the model engine in each replica of a service. */
export interface Engine {
  readonly slots: number;
  readonly kvCacheTokens: number;
  readonly models: readonly EngineModel[];
}

/** What a replica bears while it is cold: shortly after its start, or at any other time. */
export interface ColdStart {
  /** Time for which a replica is cold after it has started. */
  readonly durationMs: number;
  /** Requests per second that a cold replica takes from all processes together. */
  readonly requestsPerS: number;
}

/** A service to which routes send requests. */
export interface RouteTableService {
  readonly name: string;
  /** Connections that one replica accepts in total. */
  readonly maxConnections: number;
  /** Undefined if the service's replicas are not model engines. */
  readonly engine: Engine | undefined;
  /** Undefined if the service's replicas take their full load at once. */
  readonly coldStart: ColdStart | undefined;
}

/** A client account, with the digests of its API keys. */
export interface RouteTableAccount {
  readonly name: string;
  readonly keysSha256: readonly string[];
  /** Takes precedence over the route's priority if it is set. */
  readonly priority: number | undefined;
  /** Regions that its requests must stay in; empty if they may go anywhere. */
  readonly homeRegions: readonly string[];
}

/** Size limits and time limits of callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One revision of the route table. */
export interface RouteTable {
  readonly revision: number;
  readonly routes: readonly Route[];
  readonly services: readonly RouteTableService[];
  /** If there are no accounts, requests need no API key. */
  readonly accounts: readonly RouteTableAccount[];
  readonly limits: CallerLimits;
  /** Length of the text from which the table was read, in characters; absent if unknown. */
  readonly storedChars?: number;
}

/** Lookup indexes of a route table. */
export interface RouteIndex {
  readonly table: RouteTable;
  /** Routes of each host, longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly serviceByName: ReadonlyMap<string, RouteTableService>;
  readonly accountByKeySha256: ReadonlyMap<string, RouteTableAccount>;
}

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

/** Finds the route of the host with the longest matching path prefix. */
export function findRoute(
  index: RouteIndex,
  hostName: string,
  path: string,
): Route | undefined {
  return index.routesByHost.get(hostName)?.find((route) =>
    path.startsWith(route.pathPrefix)
  );
}
