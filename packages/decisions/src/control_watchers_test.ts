/** Tests of the choice of watchers: the load is calls to the control plane in a large fleet. */
import * as ava from "ava";
import * as watchers from "./control_watchers.ts";

const test = ava.default;

function nameProcesses(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `entry-${index}`);
}

test("in a small fleet every process watches", (t) => {
  for (const count of [1, 4, 11]) {
    const names = nameProcesses(count);
    t.deepEqual(watchers.chooseWatchers(names), names);
    for (const name of names) t.deepEqual(watchers.rankRelays(name, names), []);
  }
});

test("in a large fleet one process in eight watches, and tells about as many others as the next", (t) => {
  for (const count of [31, 48, 161, 400]) {
    const names = nameProcesses(count);
    const chosen = watchers.chooseWatchers(names);
    t.is(chosen.length, Math.max(4, Math.ceil(count / 8)));
    const told = new Map<string, number>();
    for (const name of names) {
      const [first] = watchers.rankRelays(name, names);
      t.is(first === undefined, chosen.includes(name));
      if (first !== undefined) told.set(first, (told.get(first) ?? 0) + 1);
    }
    t.true(Math.max(...told.values()) <= 24);
  }
});

test("when a watcher leaves, the processes that it told go to the next one", (t) => {
  const names = nameProcesses(48);
  const [gone] = watchers.chooseWatchers(names);
  const left = names.filter((name) => name !== gone);
  for (const name of left) {
    const before = watchers.rankRelays(name, names);
    const after = watchers.rankRelays(name, left);
    if (after.length === 0 || before[0] === gone) continue;
    // Another watcher has joined, which may come first for a few.
    t.true(after.slice(0, 2).includes(before[0] as string));
  }
});
