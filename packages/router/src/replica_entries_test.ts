/** Tests entries of replicas over a control plane that is restored from an older copy. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import * as entries from "./replica_entries.ts";

const test = ava.default;
/** Longer than replicas need to register again. */
const REREGISTERED_MS = 2_300;

const REPLICA: ports.ReplicaEntry = {
  id: "i-1",
  service: "desk",
  address: { host: "10.0.0.1", port: 80 },
  dataCentre: "a",
  version: "v1",
  slots: 1,
  isDraining: false,
  coldForMs: 0,
  startedAtMs: 5,
};

function openEntries(t: ava.ExecutionContext) {
  const known: string[] = [];
  const replicas = new entries.ReplicaEntries({
    clock: new kernel.ManualClock(),
    log: { addNotable: () => {} } as unknown as logs.DecisionLog,
    listener: {
      onReplica: ({ id }) => known.push(id),
      onReplicaDoubtful: () => {},
      onReplicaRemoved: () => {},
    },
  });
  t.teardown(() => replicas.close());
  return { known, replicas };
}

// Guards against requests without a replica: a live replica that had lost its entry for a moment, and
// had registered again before the restored store was read, was left out for 10 s.
test("an entry that comes back with the store is believed when replicas have registered again", async (t) => {
  const { known, replicas } = openEntries(t);
  replicas.apply(REPLICA, false);
  replicas.remove(REPLICA.id, "its entry was removed");
  replicas.apply(REPLICA, true);
  t.is(known.length, 1);
  await kernel.sleep(REREGISTERED_MS);
  t.is(known.length, 2);
});

test("an entry of a replica that was draining before it left is not believed so soon", async (t) => {
  const { known, replicas } = openEntries(t);
  replicas.apply({ ...REPLICA, isDraining: true }, false);
  replicas.remove(REPLICA.id, "its entry was removed");
  replicas.apply(REPLICA, true);
  await kernel.sleep(REREGISTERED_MS);
  t.is(known.length, 1);
});
