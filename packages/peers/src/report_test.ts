/** Reports: what is kept on the way, and what is no report. */
import * as ava from "ava";
import * as fastCheck from "fast-check";
import * as reports from "./report.ts";

const test = ava.default;

const REPORT: reports.PeerReport = {
  name: "edge-1",
  startedAtMs: 1_000,
  sequence: 7,
  view: { revision: 12, confirmedAgeMs: 340 },
  loads: [{ replicaKey: 4_000_000_001, pendingMs: 320 }],
  running: [{ replicaKey: 4_000_000_001, count: 3 }],
  sessions: [{ service: "llm", session: "s", version: "v1" }],
  versionOutcomes: [{
    service: "llm",
    orderRevision: 4,
    route: "r",
    answers: 9,
    failures: [{ replicaKey: 5, count: 2 }],
  }],
};

test("a report comes out as it went in", (t) => {
  t.deepEqual(reports.decodeReport(reports.encodeReport(REPORT)), REPORT);
});

test("whatever it carries, a report fits its bound and names the largest loads", (t) => {
  const text = fastCheck.string({ minLength: 1, maxLength: 128 });
  const whole = fastCheck.nat(9_000_000);
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(fastCheck.tuple(whole, whole), { maxLength: 200 }),
      fastCheck.array(fastCheck.tuple(text, text, text), { maxLength: 50 }),
      (loads, sessions) => {
        const bytes = reports.encodeReport({
          ...REPORT,
          loads: loads.map(([replicaKey, pendingMs]) => ({
            replicaKey,
            pendingMs,
          })),
          running: loads.map(([replicaKey, count]) => ({ replicaKey, count })),
          sessions: sessions.map(([service, session, version]) => ({
            service,
            session,
            version,
          })),
        });
        const decoded = reports.decodeReport(bytes);
        const largest = Math.max(0, ...loads.map(([, pendingMs]) => pendingMs));
        return bytes.byteLength <= reports.MAX_REPORT_BYTES &&
          Math.max(
              0,
              ...(decoded?.loads ?? []).map((load) => load.pendingMs),
            ) === largest;
      },
    ),
  );
  t.pass();
});

test("bytes of others are no report", (t) => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.uint8Array({ maxLength: 1_400 }),
      (bytes) => reports.decodeReport(bytes) === undefined,
    ),
  );
  t.is(reports.decodeReport(new Uint8Array(2_000)), undefined);
});
