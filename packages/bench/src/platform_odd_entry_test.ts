/** Tests that entries of another writer, among those of the replicas, do no harm. */
import * as ava from "ava";
import * as harnesses from "./platform_harness.ts";

const { ROUTES, withHarness } = harnesses;
// Serial, because concurrent tests would distort the delays that they check.
const test = ava.default.serial;
const CALLS = 24;

/** Makes calls one after the other; returns their statuses. */
async function callEach(
  harness: harnesses.PlatformHarness,
): Promise<readonly number[]> {
  const statuses: number[] = [];
  for (let call = 0; call < CALLS; call += 1) {
    const isOrder = call % 2 === 0;
    const { status } = await harness.call(
      isOrder ? ROUTES.order : ROUTES.check,
      isOrder ? { method: "POST", body: "crates" } : {},
    );
    statuses.push(status);
  }
  return statuses;
}

const ALL_SERVED: readonly number[] = Array<number>(CALLS).fill(200);

// Guards against CONFIG: an entry whose address cannot be connected to was chosen like a replica,
// and requests that were meant for it had no answer.
for (const address of ["127.0.0.1:99999", "999.0.0.1:80"]) {
  test(`requests are served while an entry of another writer has the address ${address}`, (t) =>
    withHarness(async (harness) => {
      const desk = await harness.addReplica(
        "i-1",
        "desk",
        () => ({ type: "ok" }),
      );
      await harness.addReplica("i-2", "desk", () => ({ type: "ok" }));
      await harness.start();
      harness.store.putReplica("i-odd", desk.buildEntry("desk", { address }));
      await harness.waitFor(() =>
        harness.findLogLines("replica.unreadable").length > 0
      );
      t.deepEqual(await callEach(harness), ALL_SERVED);
      t.like(harness.findLogLines("replica.unreadable").at(0), {
        replica: "i-odd",
        reason: "address: must be IP:PORT",
      });
    }));
}
