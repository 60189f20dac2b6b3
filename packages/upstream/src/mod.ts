/** The upstream role: one process beside one upstream, and the only client of that upstream. */
import * as admin from "@jackdawbank/admin";
import * as billing from "@jackdawbank/billing";
import type * as config from "@jackdawbank/config";
import * as kernel from "@jackdawbank/kernel";
import * as mesh from "@jackdawbank/mesh";
import * as neverthrow from "neverthrow";
import type * as stores from "@jackdawbank/store";
import type * as backends from "./backend.ts";
import * as gates from "./gate.ts";
import * as entryTrackers from "./entry_tracker.ts";
import * as pinTables from "./pins.ts";

export * from "./backend.ts";
export * from "./claim_journal_driver.ts";
export * from "./gate.ts";
export * from "./http_backends.ts";
export * from "./entry_tracker.ts";
export * from "./pins.ts";

const STATE_POLL_INTERVAL_MS = 250;
const STORE_BILLS_TIMEOUT_MS = 3_000;
/** A draining process stores the backed-up bills of entries that have missed two pings. */
const DRAIN_ENTRY_SILENCE_MS = 1_000;

/** Dependencies and settings of the role. */
export interface UpstreamOptions {
  readonly holder: config.BundleHolder;
  readonly store: stores.Store;
  readonly backend: backends.Backend;
  readonly type: "model" | "service";
  readonly identity: mesh.MeshIdentity;
  readonly listen: { readonly host: string; readonly port: number };
  readonly guard: mesh.ConnectionGuard;
  readonly drainTimeoutMs: number;
}

/** The running role. */
export interface UpstreamRole {
  readonly meshPort: number;
  readonly gate: gates.Gate;
}

/** Starts the role and registers its teardown with the kernel. */
export async function registerUpstream(
  host: kernel.Kernel,
  options: UpstreamOptions,
): Promise<kernel.Outcome<UpstreamRole>> {
  const { services } = host;
  const { holder, store, backend, identity } = options;
  const pins = new pinTables.PinTable();
  const billBackup = new billing.BillBackup(services, store);
  const serverRef: { server?: mesh.MeshServer } = {};
  const noConnections: ReadonlySet<mesh.MeshConnection> = new Set();
  const entries: entryTrackers.EntryTracker = new entryTrackers
    .EntryTracker(services, {
    holder,
    connections: () => serverRef.server?.connections ?? noConnections,
    readStatus: () => gate.buildStatus(identity.dataCentre),
    isBusy: (connection) => gate.isBusy(connection),
  });
  const gate: gates.Gate = new gates.Gate(services, {
    holder,
    entries,
    backend,
    store,
    type: options.type,
  });
  const listener = createListener(services, {
    gate,
    entries,
    pins,
    billBackup,
  });
  const listened = await mesh.MeshServer.listen(options.listen, identity, {
    listener,
    guard: options.guard,
    log: services.log,
    timeline: services.timeline,
  });
  if (listened.isErr()) return neverthrow.err(listened.error);
  const server = listened.value;
  serverRef.server = server;
  const stopPolling = startStatePoll({
    backend,
    gate,
    entries,
    log: services.log,
  });
  host.addTeardown(kernel.composeTeardowns(
    () => server.close(),
    () => backend.close(),
    () => billBackup.close(),
    () => gate.close(),
    () => entries.close(),
    stopPolling,
    registerCommands(host, {
      gate,
      entries,
      billBackup,
      listConnections: () => server.connections,
      drainTimeoutMs: options.drainTimeoutMs,
    }),
  ));
  return neverthrow.ok({ meshPort: server.port, gate });
}

function startStatePoll(parts: {
  readonly backend: backends.Backend;
  readonly gate: gates.Gate;
  readonly entries: entryTrackers.EntryTracker;
  readonly log: kernel.Logger;
}): kernel.Teardown {
  const abort = new AbortController();
  const poll = async () => {
    while (!abort.signal.aborted) {
      const state = await parts.backend.readState();
      const next = state.unwrapOr({ serves: [], capacity: 0 });
      if (parts.gate.replaceState(next)) parts.entries.broadcastView();
      await kernel.sleep(STATE_POLL_INTERVAL_MS, abort.signal);
    }
  };
  void poll();
  return () => abort.abort();
}

interface ListenerParts {
  readonly gate: gates.Gate;
  readonly entries: entryTrackers.EntryTracker;
  readonly pins: pinTables.PinTable;
  readonly billBackup: billing.BillBackup;
}

function createListener(
  services: kernel.KernelServices,
  parts: ListenerParts,
): mesh.ConnectionListener {
  const { gate, entries } = parts;
  return {
    onOpen(connection) {
      services.timeline.record("mesh.opened", {
        target: connection.peer.processId,
      });
      connection.send({ type: "notice", view: entries.buildView() });
    },
    onFrame(connection, frame) {
      handleFrame({ connection, frame, parts });
    },
    onClose(connection) {
      services.timeline.record("mesh.closed", {
        target: connection.peer.processId,
      });
      gate.handleConnectionClosed(connection);
    },
  };
}

function handleFrame(input: {
  readonly connection: mesh.MeshConnection;
  readonly frame: mesh.Frame;
  readonly parts: ListenerParts;
}): void {
  const { connection, frame, parts } = input;
  const { gate, entries, pins, billBackup } = parts;
  switch (frame.type) {
    case "ping":
      billBackup.recordContact(connection.peer.incarnation);
      return entries.handlePing(connection, frame);
    case "pong":
      entries.handlePong(connection, frame);
      return gate.releaseHeldWork(connection);
    case "notice":
      return entries.distributor.reconcile(connection, frame.view.revision);
    case "bundle":
      return entries.distributor.receive(connection, frame);
    case "pull":
      return entries.distributor.handlePull(connection, frame.heldRevision);
    case "marked":
      gate.startLeaving("marked as leaving in the VM list");
      return entries.broadcastView();
    case "work":
      void gate.handleWork(connection, frame);
      return;
    case "commit":
      return gate.handleCommit(frame.attemptId);
    case "cancel":
      return gate.cancel(frame.attemptId);
    case "credit":
      return gate.addCredit(frame.attemptId, frame.frames);
    case "bill":
      return billBackup.add(frame.bill);
    case "stored":
      return billBackup.dropStored(frame);
    case "pin": {
      const pin = pins.register(frame.sessionId, frame);
      const { birthRevision, excluded } = pin;
      connection.send({
        type: "pinned",
        nonce: frame.nonce,
        birthRevision,
        excluded,
      });
      return;
    }
    default:
      return;
  }
}

function registerCommands(
  host: kernel.Kernel,
  parts: {
    readonly gate: gates.Gate;
    readonly entries: entryTrackers.EntryTracker;
    readonly billBackup: billing.BillBackup;
    readonly listConnections: () => ReadonlySet<mesh.MeshConnection>;
    readonly drainTimeoutMs: number;
  },
): kernel.Teardown {
  const { gate, entries, billBackup } = parts;
  const drain = async () => {
    await gate.waitIdle(parts.drainTimeoutMs);
    const billsStored = billBackup.storeForSilentEntries(
      DRAIN_ENTRY_SILENCE_MS,
    );
    await Promise.race([billsStored, kernel.sleep(STORE_BILLS_TIMEOUT_MS)]);
  };
  return kernel.composeTeardowns(
    host.registerCommand(admin.DRAIN, (command) => {
      gate.startLeaving(command.reason);
      entries.broadcastView();
      command.wait(drain());
      return false;
    }),
    host.registerCommand(admin.COLLECT_STATUS, (command) => {
      command.add("gate", {
        ...gate.buildStatus(""),
        handOvers: gate.handOvers,
        claimWrites: gate.claimWrites,
        heldBills: billBackup.size,
        ...mesh.sumBytes(parts.listConnections()),
      });
      return false;
    }),
    host.registerCommand(admin.COLLECT_READINESS, (command) => {
      if (gate.isLeaving) command.block("leaving");
      return false;
    }),
  );
}
