/** Encoding of reports: round trip, size limit, and rejection of other bytes. */
import * as ava from "ava";
import * as fastCheck from "fast-check";
import * as msgpackr from "msgpackr";
import * as reports from "./report.ts";

const test = ava.default;

const REPORT: reports.PeerReport = {
  name: "edge-1",
  startedAtMs: 1_000,
  number: 7,
  view: { revision: 12, confirmedAgeMs: 340, tableRevision: 8 },
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

test("a decoded report equals the encoded one", (t) => {
  t.deepEqual(reports.decodeReport(reports.encodeReport(REPORT)), REPORT);
});

test("a report of any content stays within the size limit and keeps the largest loads", (t) => {
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

// Guards against CONFIG and EXPOSURE: receivers dropped whole reports, with views, loads and evidence
// on versions, for one session with an empty or long id.
for (
  const { what, odd } of [
    { what: "an empty session", odd: { session: "" } },
    { what: "a session of 129 characters", odd: { session: "s".repeat(129) } },
    { what: "a session of 8 KB", odd: { session: "s".repeat(8_192) } },
    { what: "a long version", odd: { version: "v".repeat(200) } },
  ]
) {
  test(`a report with ${what} is decoded without it`, (t) => {
    const [sound] = REPORT.sessions as [reports.SessionVersion];
    const report = { ...REPORT, sessions: [{ ...sound, ...odd }, sound] };
    t.deepEqual(reports.decodeReport(reports.encodeReport(report)), REPORT);
  });
}

// Guards against EXPOSURE: sessions with long ids displaced the evidence on versions.
test("a report that is too large loses sessions before evidence on versions", (t) => {
  const sessions = Array.from({ length: 8 }, (_, at) => ({
    service: "llm",
    session: `${at}`.padEnd(128, "s"),
    version: "v1".padEnd(60, "."),
  }));
  const report = { ...REPORT, sessions };
  const bytes = reports.encodeReport(report);
  t.true(bytes.byteLength <= reports.MAX_REPORT_BYTES);
  const decoded = reports.decodeReport(bytes);
  t.deepEqual(decoded?.versionOutcomes, REPORT.versionOutcomes);
  t.true((decoded?.sessions.length ?? 0) > 0);
});

test("arbitrary bytes are not decoded as a report", (t) => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.uint8Array({ maxLength: 1_400 }),
      (bytes) => reports.decodeReport(bytes) === undefined,
    ),
  );
  t.is(reports.decodeReport(new Uint8Array(2_000)), undefined);
});

// Guards against entries that lose sight of each other while a new build is rolled out.
test("a report in the format without the route table's revision is read", (t) => {
  const packer = new msgpackr.Packr({ useRecords: false });
  const pack = (format: number) =>
    packer.pack([format, "edge-2", 5, 1, [20, 300], [], null, [], []]);
  const report = reports.decodeReport(pack(3));
  t.deepEqual(report?.view, { revision: 20, confirmedAgeMs: 300 });
  t.is(reports.decodeReport(pack(2)), undefined);
});
