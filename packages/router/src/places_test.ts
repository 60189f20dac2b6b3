/** Tests that homes are those of the newest configuration when a request is sent. */
import * as ava from "ava";
import type * as bundle from "@jackdawbank/bundle";
import * as kernel from "@jackdawbank/kernel";
import type * as logs from "./decision_log.ts";
import * as places from "./places.ts";

const REGION_BY_DATA_CENTRE = new Map([["a", "north"], ["b", "south"]]);

function buildIndex(homeRegions: readonly string[], accountHomes: string[]) {
  const route = { name: "r", pathPrefix: "/", homeRegions } as const;
  const account = { name: "lodge", homeRegions: accountHomes } as const;
  return {
    table: { revision: 1, routes: [route], accounts: [account] },
    routesByHost: new Map([["host", [route]]]),
    accountByKeySha256: new Map([["digest", account]]),
  } as unknown as bundle.RouteIndex;
}

// Guards against HOME: homes changed between the admission of a request and its send, or its retry.
ava.default("homes that changed since the admission bind the send", (t) => {
  const held = new places.Places({
    clock: new kernel.ManualClock(0),
    log: { addNotable: () => {} } as unknown as logs.DecisionLog,
    regionByDataCentre: REGION_BY_DATA_CENTRE,
  });
  const first = buildIndex([], []);
  const request = {
    requestId: "1",
    hostName: "host",
    target: "/x?y=1",
    fields: { keySha256: "digest" },
    route: first.table.routes[0],
    account: first.table.accounts[0],
  } as unknown as places.PlacedRequest;
  held.setRoutes(first);
  t.is(held.findLimits(request, 0).homeDataCentres, undefined);
  held.setRoutes(buildIndex(["north"], []));
  t.deepEqual([...held.findLimits(request, 0).homeDataCentres ?? []], ["a"]);
  t.truthy(held.findObstacle(request, "b"));
  t.is(held.findObstacle(request, "a"), undefined);
  held.setRoutes(buildIndex(["north"], ["south"]));
  t.is(held.findRefusal(request), places.NO_HOME_REFUSAL);
  held.setRoutes(first);
  t.is(held.findObstacle(request, "b"), undefined);
});
