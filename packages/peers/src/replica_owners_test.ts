import * as ava from "ava";
import * as owners from "./replica_owners.ts";

const test = ava.default;
const SELF = "process-0";
const REPLICA_KEYS = Array.from({ length: 300 }, (_, key) => key * 7_919);

function buildOwners(names: readonly string[]): owners.ReplicaOwners {
  const all = new owners.ReplicaOwners(SELF);
  for (const name of names) all.put({ name, host: "127.0.0.1", port: 1 });
  return all;
}

function listRoles(all: owners.ReplicaOwners): readonly unknown[] {
  return REPLICA_KEYS.map((key) => [
    all.find(key)?.name,
    all.findDeputy(key)?.name,
    all.findOwnRole(key),
  ]);
}

// Load: processes that come and go while the owners of many replicas are in use.
test("owners and deputies do not depend on the order in which peers came and went", (t) => {
  const changed = buildOwners([]);
  const names = new Set<string>();
  for (let step = 0; step < 60; step += 1) {
    const name = `process-${1 + (step * 7) % 20}`;
    if (names.delete(name)) changed.remove(name);
    else {
      names.add(name);
      changed.put({ name, host: "127.0.0.1", port: 1 });
    }
    const fresh = buildOwners([...names].toSorted());
    t.deepEqual(listRoles(changed), listRoles(fresh), `step ${step}`);
  }
});
