/** The entry role: serves the callers' HTTP API and dispatches requests to upstream processes. */
import * as crypto from "node:crypto";
import * as admin from "@jackdawbank/admin";
import * as billing from "@jackdawbank/billing";
import type * as config from "@jackdawbank/config";
import * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";
import * as neverthrow from "neverthrow";
import type * as stores from "@jackdawbank/store";
import * as callerRequests from "./caller_request.ts";
import * as relays from "./response_relay.ts";
import * as dispatchers from "./dispatch.ts";
import * as fleets from "./fleet.ts";
import * as httpApps from "./http_app.ts";
import * as learnedPolicies from "./learned_policy.ts";
import * as sessionResolvers from "./sessions.ts";
import * as tokens from "./tokens.ts";
import * as trackers from "./drain_tracker.ts";

export * from "./attempt.ts";
export * from "./dispatch.ts";
export * from "./fleet.ts";
export * from "./idempotency.ts";
export * from "./requests.ts";
export * from "./tokens.ts";

const FLUSH_TIMEOUT_MS = 5_000;

/** Dependencies and settings of the entry role. */
export interface EntryOptions {
  readonly holder: config.BundleHolder;
  readonly store: stores.Store;
  readonly vmList: stores.VmListClient;
  /** Absent where responses are not rated: cascades then use the bundle's static rule. */
  readonly ratings: stores.RatingsClient | undefined;
  readonly identity: mesh.MeshIdentity;
  readonly listen: admin.ListenAddress;
  readonly guard: admin.RequestGuard;
  readonly drainTimeoutMs: number;
  readonly random: () => number;
}

/** The running entry role. */
export interface EntryRole {
  readonly port: number;
  readonly fleet: fleets.Fleet;
  readonly ledger: billing.BillLedger;
}

/** Starts the entry role and registers its tear-down with the kernel. */
export async function registerEntry(
  host: kernel.Kernel,
  options: EntryOptions,
): Promise<kernel.Outcome<EntryRole>> {
  const { services } = host;
  const { holder } = options;
  const learnedPolicy = new learnedPolicies.LearnedPolicy(services, options);
  const fleet = new fleets.Fleet(services, {
    ...options,
    listStops: () => learnedPolicy.listStops(),
    onStopsReceived: (stops) => learnedPolicy.addStops(stops),
  });
  const ledger = new billing.BillLedger(services, {
    store: options.store,
    onStored: (frame) => fleet.broadcast(frame),
  });
  const dispatcher = new dispatchers.Dispatcher(services, {
    holder,
    fleet,
    policy: learnedPolicy,
  });
  const relay = new relays.ResponseRelay(services, {
    holder,
    ledger,
    dispatcher,
    learnedPolicy,
  });
  const sessionTokens = new tokens.SessionTokens(options.identity.secret);
  const sessions = new sessionResolvers.SessionResolver({
    holder,
    fleet,
    tokens: sessionTokens,
    listStoppedVersions: () => learnedPolicy.listStoppedVersions(),
  });
  const tracker = new trackers.DrainTracker(services.clock);
  const app = new httpApps.CallerApp({
    services,
    holder,
    relay,
    dispatcher,
    sessions,
    tokens: sessionTokens,
    tracker,
  });
  const listener = await admin.listenHttp(app.build(), options.listen, {
    guard: options.guard,
    renderRefusal: (error) =>
      callerRequests.createErrorResponse(error, crypto.randomUUID()),
  });
  if (listener.isErr()) {
    await fleet.close();
    await learnedPolicy.close();
    return neverthrow.err(listener.error);
  }
  const drain = async () => {
    await tracker.drain(options.drainTimeoutMs);
    await listener.value.close();
    await ledger.close(FLUSH_TIMEOUT_MS);
  };
  host.addTeardown(kernel.composeTeardowns(
    () => fleet.close(),
    () => learnedPolicy.close(),
    registerCommands(host, { fleet, ledger, tracker, learnedPolicy, drain }),
  ));
  return neverthrow.ok({ port: listener.value.port, fleet, ledger });
}

function registerCommands(
  host: kernel.Kernel,
  parts: {
    readonly fleet: fleets.Fleet;
    readonly ledger: billing.BillLedger;
    readonly tracker: trackers.DrainTracker;
    readonly learnedPolicy: learnedPolicies.LearnedPolicy;
    readonly drain: () => Promise<void>;
  },
): kernel.Teardown {
  const { fleet, ledger, tracker } = parts;
  return kernel.composeTeardowns(
    host.registerCommand(admin.DRAIN, (command) => {
      if (!tracker.isDraining) command.wait(parts.drain());
      return false;
    }),
    host.registerCommand(admin.COLLECT_STATUS, (command) => {
      command.add("entry", {
        upstreams: fleet.memberCount,
        served: fleet.countUsableByName(),
        requestsInFlight: tracker.inFlightCount,
        attemptsInFlight: fleet.attemptsInFlight,
        billed: ledger.billedCount,
        unstoredBills: ledger.unstoredCount,
        ...fleet.countBytes(),
        stoppedRollouts: parts.learnedPolicy.listStops(),
      });
      return false;
    }),
    host.registerCommand(admin.COLLECT_READINESS, (command) => {
      if (tracker.isDraining) command.block("draining");
      if (fleet.memberCount === 0) {
        command.block("no upstream process is connected");
      }
      return false;
    }),
  );
}
