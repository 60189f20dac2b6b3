/** The entry role: speaks to callers and sends their requests to upstream processes. */
import * as admin from "@jackdawbank/admin";
import * as billing from "@jackdawbank/billing";
import type * as config from "@jackdawbank/config";
import * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";
import * as neverthrow from "neverthrow";
import type * as stores from "@jackdawbank/store";
import * as carriers from "./response_relay.ts";
import * as dispatchers from "./dispatch.ts";
import * as fleets from "./fleet.ts";
import * as httpApps from "./http_app.ts";
import * as learnings from "./learned_policy.ts";
import * as sessionTables from "./session_resolver.ts";
import * as tokens from "./tokens.ts";
import * as trackers from "./drain_tracker.ts";

export * from "./attempt.ts";
export * from "./dispatch.ts";
export * from "./fleet.ts";
export * from "./idempotency.ts";
export * from "./requests.ts";
export * from "./tokens.ts";

const MAX_HEADER_BYTES = 16_384;
const FLUSH_TIMEOUT_MS = 5_000;

/** What the role needs from its process. */
export interface EntryOptions {
  readonly holder: config.BundleHolder;
  readonly store: stores.Store;
  readonly vmList: stores.VmListClient;
  /** Absent where answers are not rated: the bundle's static rule decides. */
  readonly ratings: stores.RatingsClient | undefined;
  readonly identity: mesh.MeshIdentity;
  readonly listen: admin.ListenAddress;
  readonly drainTimeoutMs: number;
  readonly random: () => number;
}

/** The running role. */
export interface EntryRole {
  readonly port: number;
  readonly fleet: fleets.Fleet;
  readonly ledger: billing.BillLedger;
}

/** Starts the role on a kernel; its tear-down is kept there. */
export async function registerEntry(
  host: kernel.Kernel,
  options: EntryOptions,
): Promise<kernel.Outcome<EntryRole>> {
  const { services } = host;
  const { holder } = options;
  const learning = new learnings.Learning(services, options);
  const fleet = new fleets.Fleet(services, {
    ...options,
    listStops: () => learning.listStops(),
    onStopsReceived: (stops) => learning.takeStops(stops),
  });
  const ledger = new billing.BillLedger(services, {
    store: options.store,
    onStored: (frame) => fleet.broadcast(frame),
  });
  const dispatcher = new dispatchers.Dispatcher(services, {
    holder,
    fleet,
    policy: learning,
  });
  const carrier = new carriers.AnswerCarrier(services, {
    holder,
    ledger,
    dispatcher,
    learning,
  });
  const sessionTokens = new tokens.SessionTokens(options.identity.secret);
  const sessions = new sessionTables.Sessions({
    holder,
    fleet,
    tokens: sessionTokens,
    listStopped: () => learning.listStoppedVersions(),
  });
  const tracker = new trackers.DrainTracker(services.clock);
  const app = new httpApps.CallerApp({
    services,
    holder,
    carrier,
    dispatcher,
    sessions,
    tokens: sessionTokens,
    tracker,
  });
  const listener = await admin.listenHttp(app.build(), options.listen, {
    maxHeaderSize: MAX_HEADER_BYTES,
  });
  if (listener.isErr()) {
    await fleet.close();
    await learning.close();
    return neverthrow.err(listener.error);
  }
  const drain = async () => {
    await tracker.drain(options.drainTimeoutMs);
    await listener.value.close();
    await ledger.close(FLUSH_TIMEOUT_MS);
  };
  host.addTeardown(kernel.composeTeardowns(
    () => fleet.close(),
    () => learning.close(),
    registerCommands(host, { fleet, ledger, tracker, learning, drain }),
  ));
  return neverthrow.ok({ port: listener.value.port, fleet, ledger });
}

function registerCommands(
  host: kernel.Kernel,
  parts: {
    readonly fleet: fleets.Fleet;
    readonly ledger: billing.BillLedger;
    readonly tracker: trackers.DrainTracker;
    readonly learning: learnings.Learning;
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
        requestsInFlight: tracker.openCount,
        attemptsInFlight: fleet.attemptsInFlight,
        billed: ledger.billedCount,
        unstoredBills: ledger.unstoredCount,
        ...fleet.countBytes(),
        stoppedRollouts: parts.learning.listStops(),
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
