/** Gauges of a router process, read when its metrics are asked for. */
import * as v8 from "node:v8";
import type * as callerServers from "./caller_server.ts";
import type * as parts from "./dispatcher_dependencies.ts";
import type * as relayedControl from "./relayed_control.ts";

/** The view age is infinite before the first read; the gauge is capped. */
const MAX_VIEW_AGE_GAUGE_MS = 3_600_000;

/** Parts of the router whose state the gauges show. */
export interface GaugeSources extends
  Pick<
    parts.DispatcherDependencies,
    | "clock"
    | "control"
    | "fleet"
    | "log"
    | "places"
    | "quarantine"
    | "table"
    | "telemetry"
  > {
  readonly callerServer: Pick<
    callerServers.CallerServer,
    "inFlight" | "readGauges"
  >;
  readonly controlPlane: Pick<
    relayedControl.RelayedControlPlane,
    "relayState"
  >;
}

/** Sets all gauges to their current values. */
export function updateGauges(
  { clock, control, fleet, log, places, quarantine, table, ...rest }:
    GaugeSources,
): void {
  const { callerServer, controlPlane, telemetry } = rest;
  const relay = controlPlane.relayState;
  const heap = v8.getHeapStatistics();
  const gauges = {
    ...callerServer.readGauges(),
    ...table.speeds.readGauges(
      control.routeIndex?.serviceByName.keys() ?? [],
      clock.monotonicMs(),
    ),
    requests_in_flight: callerServer.inFlight,
    replicas: table.size,
    cold_replicas: fleet.countCold(),
    quarantined_parts: quarantine.countParts(),
    quarantined_requests: quarantine.countRequests(),
    evacuated_data_centres: places.evacuatedCount,
    view_age_ms: Math.min(MAX_VIEW_AGE_GAUGE_MS, control.viewAgeMs),
    table_revision: control.routeIndex?.table.revision ?? 0,
    table_chars: control.routeIndex?.table.storedChars ?? 0,
    relay_kept_changes: relay.keptChanges,
    relay_kept_chars: relay.keptChars,
    relay_polls: relay.polls,
    heap_used_bytes: heap.used_heap_size,
    heap_limit_bytes: heap.heap_size_limit,
    log_dropped_lines: log.droppedLines,
  };
  for (const [name, value] of Object.entries(gauges)) {
    telemetry.setGauge(name, value);
  }
}
