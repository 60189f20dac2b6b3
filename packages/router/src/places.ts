/**
 * Where requests may be sent: evacuated data centres, as the control plane orders
 * them, and the homes of routes and accounts in the newest configuration. Orders
 * are kept in memory; only the control plane's word ends one, so that an outage
 * of the store changes nothing.
 */
import * as bundle from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import type * as admissions from "./admission.ts";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import type * as requests from "./request.ts";

/** Home regions change rarely, so a refused request is repeated late. */
const NO_HOME_RETRY_AFTER_MS = 1_000;
/** Routes and accounts of one configuration whose unknown home regions are logged. */
const MAX_HOME_LINES = 20;

/** Time in which an evacuation is ordered again that a restored control plane has lost. */
const REORDER_PERIOD_MS = 3_000;

/** Refusal of a request that its home regions permit in no data centre. */
export const NO_HOME_REFUSAL: admissions.Refusal = {
  error: kernel.makeError(
    "no-upstream",
    "no data centre is in the home regions of the route and the account",
  ),
  retryAfterMs: NO_HOME_RETRY_AFTER_MS,
};

/** Dependencies of the places. */
export interface PlacesOptions {
  readonly clock: kernel.Clock;
  readonly log: logs.DecisionLog;
  readonly regionByDataCentre: ReadonlyMap<string, string>;
}

/** What the choice of a replica must know of the places. */
export interface PlaceLimits {
  readonly homeDataCentres: ReadonlySet<string> | undefined;
  readonly heldBackDataCentres: ReadonlySet<string> | undefined;
}

/** The part of a request that decides where it may run. */
export type PlacedRequest = Pick<
  requests.AdmittedRequest,
  "requestId" | "hostName" | "target" | "fields" | "route" | "account"
>;

/** Orders and homes that this process knows. */
export class Places {
  readonly #options: PlacesOptions;
  readonly #orders = new decisions.EvacuationOrders();
  /** Evacuations that end unless they are ordered again. */
  readonly #pendingEnds = new Map<string, NodeJS.Timeout>();
  #routeIndex: bundle.RouteIndex | undefined;
  /** Whether any route or account of the newest configuration has homes. */
  #hasHomes = false;

  constructor(options: PlacesOptions) {
    this.#options = options;
  }

  /** Number of evacuated data centres. */
  get evacuatedCount(): number {
    return this.#orders.list().length;
  }

  listEvacuated(): readonly string[] {
    return this.#orders.list();
  }

  isEvacuated(dataCentre: string): boolean {
    return this.#orders.has(dataCentre);
  }

  /** Begins an evacuation; a name that no replica can have is ignored. */
  beginEvacuation(dataCentre: string): void {
    const { clock, log, regionByDataCentre } = this.#options;
    if (!decisions.isDataCentreName(dataCentre)) {
      const reason = "the name of the data centre is empty or malformed";
      log.addNotable("evacuation.ignored", { reason });
      return;
    }
    this.#cancelEnd(dataCentre);
    if (this.#orders.has(dataCentre)) return;
    if (!this.#orders.begin(dataCentre, clock.monotonicMs())) {
      const reason = "too many data centres are evacuated";
      log.addNotable("evacuation.ignored", { dataCentre, reason });
      return;
    }
    log.addNotable("evacuation.begun", {
      dataCentre,
      // An unknown name is obeyed if replicas turn up there, and has no effect otherwise.
      isKnown: regionByDataCentre.has(dataCentre),
    });
  }

  endEvacuation(dataCentre: string): void {
    this.#cancelEnd(dataCentre);
    const { clock, log } = this.#options;
    const heldMs = this.#orders.end(dataCentre, clock.monotonicMs());
    if (heldMs === undefined) return;
    log.addNotable("evacuation.ended", {
      dataCentre,
      heldMs: Math.round(heldMs),
    });
  }

  /**
   * Ends the evacuations that are missing from a full read of the control plane; with a
   * delay if it was restored from an older copy, which may lack the order.
   */
  applyFullRead(
    items: readonly ports.ControlItem[],
    isRestored = false,
  ): void {
    const ordered = new Set(
      items.flatMap((item) =>
        item.type === "evacuation" ? [item.dataCentre] : []
      ),
    );
    for (const dataCentre of this.#orders.list()) {
      if (ordered.has(dataCentre)) continue;
      if (isRestored) this.#endUnlessOrdered(dataCentre);
      else if (!this.#pendingEnds.has(dataCentre)) {
        this.endEvacuation(dataCentre);
      }
    }
  }

  close(): void {
    for (const timer of this.#pendingEnds.values()) clearTimeout(timer);
    this.#pendingEnds.clear();
  }

  #endUnlessOrdered(dataCentre: string): void {
    this.#cancelEnd(dataCentre);
    this.#options.log.addNotable("evacuation.kept", {
      dataCentre,
      reason: "the restored control plane has no order",
    });
    const timer = setTimeout(
      () => this.endEvacuation(dataCentre),
      REORDER_PERIOD_MS,
    );
    this.#pendingEnds.set(dataCentre, timer);
  }

  #cancelEnd(dataCentre: string): void {
    clearTimeout(this.#pendingEnds.get(dataCentre));
    this.#pendingEnds.delete(dataCentre);
  }

  /** Takes the homes of a new configuration and logs those that nothing can satisfy. */
  setRoutes(index: bundle.RouteIndex): void {
    this.#routeIndex = index;
    const { routes, accounts, revision } = index.table;
    const { log, regionByDataCentre } = this.#options;
    const owners = [
      ...routes.map(({ name, homeRegions }) => ({ route: name, homeRegions })),
      ...accounts.map(({ name, homeRegions }) => ({
        account: name,
        homeRegions,
      })),
    ].filter(({ homeRegions }) => homeRegions.length > 0);
    this.#hasHomes = owners.length > 0;
    const unknown = owners.flatMap(({ homeRegions, ...owner }) => {
      const regions = decisions.findUnknownRegions(
        homeRegions,
        regionByDataCentre,
      );
      return regions.length === 0 ? [] : [{ ...owner, regions }];
    });
    for (const owner of unknown.slice(0, MAX_HOME_LINES)) {
      log.addNotable("homes.unknown-region", {
        tableRevision: revision,
        owners: unknown.length,
        ...owner,
      });
    }
  }

  /** Where a request may be sent now, by the newest configuration. */
  findLimits(request: PlacedRequest, nowMs: number): PlaceLimits {
    return {
      homeDataCentres: this.#findHomes(request),
      heldBackDataCentres: this.#orders.isReturning
        ? this.#orders.findHeldBack(
          decisions.hashFraction(`return/${request.requestId}`),
          nowMs,
        )
        : undefined,
    };
  }

  /** Why a request may be sent nowhere; absent if its homes permit a data centre. */
  findRefusal(request: PlacedRequest): admissions.Refusal | undefined {
    return this.#findHomes(request)?.size === 0 ? NO_HOME_REFUSAL : undefined;
  }

  /** Why a request must not reach a data centre that was chosen for it. */
  findObstacle(request: PlacedRequest, dataCentre: string): string | undefined {
    if (this.isEvacuated(dataCentre)) return "the data centre is evacuated";
    const isHome = this.#findHomes(request)?.has(dataCentre) ?? true;
    return isHome ? undefined : "the data centre is no home of the request";
  }

  #findHomes(request: PlacedRequest): ReadonlySet<string> | undefined {
    const hadHomes = request.route.homeRegions.length > 0 ||
      (request.account?.homeRegions.length ?? 0) > 0;
    if (!hadHomes && !this.#hasHomes) return undefined;
    const { route, account } = this.#findNewest(request);
    return decisions.findHomeDataCentres(
      [route.homeRegions, account?.homeRegions ?? []],
      this.#options.regionByDataCentre,
    );
  }

  /** The request's route and account, which may have changed since its admission. */
  #findNewest(
    request: PlacedRequest,
  ): Pick<PlacedRequest, "route" | "account"> {
    const { route, account, hostName, target, fields } = request;
    if (this.#routeIndex === undefined) return { route, account };
    const path = target.split("?", 1)[0] as string;
    const newest = this.#routeIndex.accountByKeySha256.get(
      fields.keySha256 ?? "",
    );
    return {
      route: bundle.findRoute(this.#routeIndex, hostName, path) ?? route,
      account: account && (newest ?? account),
    };
  }
}
