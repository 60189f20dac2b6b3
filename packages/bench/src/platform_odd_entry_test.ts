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

// Guards against CONFIG and LOST: an announcement with a port out of range, to which datagrams
// cannot be sent, made requests fail and kept reports from other peers.
test("requests are served while an announcement of a peer has a port out of range", (t) =>
  withHarness(async (harness) => {
    await harness.addReplica("i-1", "desk", () => ({ type: "ok" }));
    await harness.addReplica("i-2", "desk", () => ({ type: "ok" }));
    await harness.addReplica("i-3", "llm", () => ({
      type: "stream",
      events: 3,
      confidence: 90,
    }));
    await harness.addReplica("i-4", "llm", () => ({
      type: "stream",
      events: 3,
      confidence: 90,
    }));
    await harness.start();
    for (let index = 0; index < 8; index += 1) {
      harness.store.put(`jackdawbank/peers/odd-${index}`, {
        host: "127.0.0.1",
        port: 70_000 + index,
      });
    }
    await harness.waitFor(() =>
      harness.findLogLinesOfAny(["control.unreadable", "peer.known"])
        .length >= 8
    );
    t.deepEqual(await callEach(harness), ALL_SERVED);
    for (let call = 0; call < CALLS; call += 1) {
      t.is(
        (await harness.call(ROUTES.draft, harnesses.DRAFT)).status,
        200,
      );
    }
    t.deepEqual(harness.findLogLines("request.fault"), []);
    t.true(
      harness.findLogLines("control.unreadable").some((line) =>
        line["reason"] === "port: Too big: expected number to be <=65535"
      ),
    );
  }));
