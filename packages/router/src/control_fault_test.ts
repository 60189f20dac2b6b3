/** Tests that exceptions do not end the task that follows the control plane. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as controls from "./control_task.ts";
import * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import * as telemetry from "./telemetry.ts";

const test = ava.default;
const WAIT_MS = 3_000;

function buildReplica(id: string): ports.ControlItem {
  return {
    type: "replica",
    replica: {
      id,
      service: "desk",
      address: { host: "10.0.0.5", port: 80 },
      dataCentre: "a",
      version: "v1",
      slots: 8,
      isDraining: false,
      coldForMs: 0,
      startedAtMs: 1,
    },
  };
}

interface Start {
  /** Items of the first read. */
  readonly items: readonly ports.ControlItem[];
  /** Answers to the watches, in order; later ones hang. */
  readonly watches: readonly (() => Promise<ports.ControlUpdate>)[];
  readonly onReplica: (id: string) => void;
}

/** Starts a task; resolves to the IDs of the replicas that it has reported. */
function start(t: ava.ExecutionContext, options: Start) {
  const known = new Set<string>();
  const lines: Record<string, unknown>[] = [];
  const clock = new kernel.SystemClock();
  const log = new logs.DecisionLog(clock, {}, {
    write: (text, onDone) => {
      for (const line of text.trim().split("\n")) {
        lines.push(JSON.parse(line) as Record<string, unknown>);
      }
      onDone(null);
    },
  });
  let watches = 0;
  let end: (() => void) | undefined;
  const plane: Partial<ports.ControlPlane> = {
    readAll: () =>
      Promise.resolve(
        neverthrow.ok({ items: options.items, revision: 20 }),
      ),
    waitForChanges: async () => {
      const answer = options.watches[watches];
      watches += 1;
      if (answer !== undefined) return neverthrow.ok(await answer());
      await new Promise<void>((resolve) => end = resolve);
      return kernel.fail("store-unavailable", "ended");
    },
    close: () => {
      end?.();
      return Promise.resolve();
    },
  };
  const task = new controls.ControlTask({
    clock,
    controlPlane: plane as ports.ControlPlane,
    log,
    telemetry: new telemetry.Telemetry(),
    random: () => 0.5,
    countConfirmingPeers: () => 3,
    changeBoundMs: 2_000,
    listener: {
      onReplica: ({ id }) => {
        options.onReplica(id);
        known.add(id);
      },
      onReplicaDoubtful: () => {},
      onReplicaRemoved: () => {},
      onRouteTable: () => {},
      onPeer: () => {},
      onPeerRemoved: () => {},
      onQuarantinedPart: () => {},
      onQuarantinedPartRemoved: () => {},
      onEvacuation: () => {},
      onEvacuationRemoved: () => {},
      onFullRead: () => {},
    },
  });
  task.start();
  t.teardown(async () => {
    await task.close();
    await log.close();
  });
  const waitFor = async (id: string) => {
    const endAtMs = Date.now() + WAIT_MS;
    while (!known.has(id) && Date.now() < endAtMs) await kernel.sleep(5);
    return known.has(id);
  };
  const findLines = (event: string) => {
    log.flush();
    return lines.filter((line) => line["event"] === event);
  };
  return { waitFor, findLines };
}

// Guards against CONFIG and LOST: one entry that could not be applied ended the task that follows
// the control plane, and no change was seen any more.
test("an item that cannot be applied does not keep the others from being followed", async (t) => {
  const { waitFor, findLines } = start(t, {
    items: ["i-1", "i-odd", "i-2"].map(buildReplica),
    watches: [
      () =>
        Promise.resolve({
          items: ["i-odd", "i-3"].map(buildReplica),
          revision: 22,
        }),
    ],
    onReplica: (id) => {
      if (id === "i-odd") throw new RangeError("port out of range");
    },
  });
  for (const id of ["i-1", "i-2", "i-3"]) t.true(await waitFor(id), id);
  t.like(findLines("control.item-refused").at(0), {
    type: "replica",
    reason: "port out of range",
  });
});

// Guards against CONFIG: an exception of the control plane's client ended the task.
test("the task goes on after a watch that ended by an exception", async (t) => {
  const { waitFor, findLines } = start(t, {
    items: [buildReplica("i-1")],
    watches: [
      () => Promise.reject(new TypeError("Invalid URL")),
      () => Promise.resolve({ items: [buildReplica("i-2")], revision: 22 }),
    ],
    onReplica: () => {},
  });
  t.true(await waitFor("i-2"));
  t.like(findLines("control.lost").at(0), { reason: "Invalid URL" });
});
