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

/** Text of an entry with one more field, which may be no number of JavaScript's. */
function buildEntryText(
  entry: Readonly<Record<string, unknown>>,
  field: string,
): string {
  return JSON.stringify(entry).replace(/}$/, `,${field}}`);
}

const DEPTH = 200_000;
const NESTED = "[".repeat(DEPTH) + "]".repeat(DEPTH);

/** Values of another writer, some made from the entry of a sound replica. */
const ODD_VALUES: readonly ((
  entry: Readonly<Record<string, unknown>>,
) => string | Buffer)[] = [
  () => NESTED,
  () => "[".repeat(3 * DEPTH),
  () => '{"a":'.repeat(DEPTH / 2) + "1" + "}".repeat(DEPTH / 2),
  (entry) => buildEntryText(entry, `"service":${NESTED}`),
  (entry) => buildEntryText(entry, `"extra":${NESTED}`),
  (entry) => buildEntryText(entry, '"slots":1e400'),
  (entry) => buildEntryText(entry, '"slots":1e308'),
  (entry) => buildEntryText(entry, `"slots":${"9".repeat(700_000)}`),
  (entry) => buildEntryText(entry, '"born":1e400'),
  (entry) => buildEntryText(entry, '"address":"127.0.0.1:99999"'),
  (entry) => buildEntryText(entry, '"address":"127.0.0.1:-1"'),
  (entry) => buildEntryText(entry, '"address":{"port":1e9}'),
  (entry) => buildEntryText(entry, `"version":"${"v".repeat(700_000)}"`),
  (entry) => buildEntryText(entry, '"__proto__":{"state":"draining"},"zone":7'),
  () => "",
  () => "null",
  () => Buffer.from([0xff, 0xfe, 0x00, 0x7b]),
  () => `{"${"k".repeat(700_000)}":1}`,
];
const ODD_IDS: readonly string[] = [
  ...ODD_VALUES.map((_, at) => `odd-${at}`),
  "odd\u0001",
  "odd-\u{1f600}",
];

// Guards against LOST and processes that end: the list of replicas is followed, whatever one entry
// of another writer holds, and whenever it is written.
for (const when of ["a first read", "changes"] as const) {
  test(`the list of replicas is followed with odd entries among ${when}`, (t) =>
    withHarness(async (harness) => {
      const removed = await harness.addReplica(
        "i-1",
        "desk",
        () => ({ type: "ok" }),
      );
      const spoilt = await harness.addReplica(
        "i-2",
        "desk",
        () => ({ type: "ok" }),
      );
      // More than a page of the store's.
      for (let at = 0; at < 60; at += 1) {
        harness.store.putReplica(
          `other-${at}`,
          spoilt.buildEntry("unused", { address: "127.0.0.1:9" }),
        );
      }
      const entry = removed.buildEntry("desk");
      const writeOddEntries = () => {
        for (const [at, id] of ODD_IDS.entries()) {
          const value = ODD_VALUES[at]?.(entry) ?? JSON.stringify(entry);
          harness.store.putBytes(`servers/${id}`, Buffer.from(value));
        }
      };
      if (when === "a first read") writeOddEntries();
      await harness.start();
      if (when === "changes") writeOddEntries();
      await harness.waitFor(() =>
        harness.findLogLines("replica.unreadable").length >= ODD_IDS.length
      );
      t.deepEqual(await callEach(harness), ALL_SERVED);
      harness.store.remove("servers/i-1");
      harness.store.putBytes("servers/i-2", Buffer.from(NESTED));
      const added = await harness.addReplica(
        "i-3",
        "desk",
        () => ({ type: "ok" }),
      );
      await harness.waitFor(() =>
        harness.findLogLines("replica.gone").length >= 2
      );
      const before = removed.received.length + spoilt.received.length;
      t.deepEqual(await callEach(harness), ALL_SERVED);
      t.is(removed.received.length + spoilt.received.length, before);
      t.is(added.received.length, CALLS);
      t.deepEqual(harness.findLogLines("control.item-refused"), []);
      t.deepEqual(harness.findLogLines("control.lost"), []);
    }));
}
