/** The upstream role: one process beside one upstream, and the only one that speaks to it. */
import * as admin from "@jackdawbank/admin";
import * as billing from "@jackdawbank/billing";
import type * as config from "@jackdawbank/config";
import * as kernel from "@jackdawbank/kernel";
import * as mesh from "@jackdawbank/mesh";
import * as neverthrow from "neverthrow";
import type * as stores from "@jackdawbank/store";
import type * as backends from "./backend.ts";
import * as gates from "./gate.ts";
import * as peerTasks from "./entry_tracker.ts";
import * as pinTables from "./pins.ts";

export * from "./backend.ts";
export * from "./claim_journal_driver.ts";
export * from "./gate.ts";
export * from "./http_backends.ts";
export * from "./entry_tracker.ts";
export * from "./pins.ts";

const STATE_INTERVAL_MS = 250;
const SETTLE_TIMEOUT_MS = 3_000;
/** A leaving process settles for entries that have missed two heartbeats. */
const LEAVING_SILENCE_MS = 1_000;

/** What the role needs from its process. */
export interface UpstreamOptions {
  readonly holder: config.BundleHolder;
  readonly store: stores.Store;
  readonly backend: backends.Backend;
  readonly type: "model" | "service";
  readonly identity: mesh.MeshIdentity;
  readonly listen: { readonly host: string; readonly port: number };
  readonly drainTimeoutMs: number;
}

/** The running role. */
export interface UpstreamRole {
  readonly meshPort: number;
  readonly gate: gates.Gate;
}

/** Starts the role on a kernel; its tear-down is kept there. */
export async function registerUpstream(
  host: kernel.Kernel,
  options: UpstreamOptions,
): Promise<kernel.Outcome<UpstreamRole>> {
  const { services } = host;
  const { holder, store, backend, identity } = options;
  const pins = new pinTables.PinTable();
  const billBackup = new billing.BillBackup(services, store);
  const bound: { server?: mesh.MeshServer } = {};
  const none: ReadonlySet<mesh.MeshConnection> = new Set();
  const peers: peerTasks.EntryTracker = new peerTasks.EntryTracker(services, {
    holder,
    connections: () => bound.server?.connections ?? none,
    readStatus: () => gate.buildStatus(identity.dataCentre),
    isBusy: (connection) => gate.isBusy(connection),
  });
  const gate: gates.Gate = new gates.Gate(services, {
    holder,
    peers,
    backend,
    store,
    type: options.type,
  });
  const listener = createListener(services, {
    gate,
    peers,
    pins,
    billBackup,
  });
  const listened = await mesh.MeshServer.listen(options.listen, identity, {
    listener,
    log: services.log,
    timeline: services.timeline,
  });
  if (listened.isErr()) return neverthrow.err(listened.error);
  const server = listened.value;
  bound.server = server;
  const poll = startStatePoll({ backend, gate, peers, log: services.log });
  host.addTeardown(kernel.composeTeardowns(
    () => server.close(),
    () => backend.close(),
    () => billBackup.close(),
    () => gate.close(),
    () => peers.close(),
    poll,
    registerCommands(host, {
      gate,
      peers,
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
  readonly peers: peerTasks.EntryTracker;
  readonly log: kernel.Logger;
}): kernel.Teardown {
  const abort = new AbortController();
  const poll = async () => {
    while (!abort.signal.aborted) {
      const state = await parts.backend.readState();
      const next = state.unwrapOr({ serves: [], capacity: 0 });
      if (parts.gate.replaceState(next)) parts.peers.broadcastView();
      await kernel.sleep(STATE_INTERVAL_MS, abort.signal);
    }
  };
  void poll();
  return () => abort.abort();
}

interface ListenerParts {
  readonly gate: gates.Gate;
  readonly peers: peerTasks.EntryTracker;
  readonly pins: pinTables.PinTable;
  readonly billBackup: billing.BillBackup;
}

function createListener(
  services: kernel.KernelServices,
  parts: ListenerParts,
): mesh.ConnectionListener {
  const { gate, peers } = parts;
  return {
    onOpen(connection) {
      services.timeline.record("mesh.opened", {
        target: connection.peer.processId,
      });
      connection.send({ type: "notice", view: peers.buildView() });
    },
    onFrame(connection, frame) {
      takeFrame({ connection, frame, parts });
    },
    onClose(connection) {
      services.timeline.record("mesh.closed", {
        target: connection.peer.processId,
      });
      gate.handleConnectionClosed(connection);
    },
  };
}

function takeFrame(input: {
  readonly connection: mesh.MeshConnection;
  readonly frame: mesh.Frame;
  readonly parts: ListenerParts;
}): void {
  const { connection, frame, parts } = input;
  const { gate, peers, pins, billBackup } = parts;
  switch (frame.type) {
    case "ping":
      billBackup.recordContact(connection.peer.incarnation);
      return peers.handlePing(connection, frame);
    case "pong":
      peers.handlePong(connection, frame);
      return gate.releaseHeldWork(connection);
    case "notice":
      return peers.distributor.reconcile(connection, frame.view.revision);
    case "bundle":
      return peers.distributor.receive(connection, frame);
    case "pull":
      return peers.distributor.handlePull(connection, frame.heldRevision);
    case "marked":
      gate.startLeaving("marked by the VM list");
      return peers.broadcastView();
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
      const held = pins.register(frame.sessionId, frame);
      const { birthRevision, excluded } = held;
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
    readonly peers: peerTasks.EntryTracker;
    readonly billBackup: billing.BillBackup;
    readonly listConnections: () => ReadonlySet<mesh.MeshConnection>;
    readonly drainTimeoutMs: number;
  },
): kernel.Teardown {
  const { gate, peers, billBackup } = parts;
  const drain = async () => {
    await gate.waitIdle(parts.drainTimeoutMs);
    const settled = billBackup.storeForSilentEntries(LEAVING_SILENCE_MS);
    await Promise.race([settled, kernel.sleep(SETTLE_TIMEOUT_MS)]);
  };
  return kernel.composeTeardowns(
    host.registerCommand(admin.DRAIN, (command) => {
      gate.startLeaving(command.reason);
      peers.broadcastView();
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
