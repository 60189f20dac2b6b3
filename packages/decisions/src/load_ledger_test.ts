/** Tests of the account of a replica's load, from messages that may be lost, late or repeated. */
import * as ava from "ava";
import * as fc from "fast-check";
import * as ledgers from "./load_ledger.ts";
import * as evidence from "./replica_evidence.ts";
import * as speeds from "./uneven/replica_speed.ts";

const test = ava.default;

function buildState(running: number): ledgers.ReplicaLoadState {
  return { ...ledgers.NO_LOAD_STATE, running, pendingMs: 10 * running };
}

test("the total is the sum of the newest state of each sender", (t) => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          sender: fc.constantFrom("a", "b", "c"),
          sequence: fc.nat(50),
          running: fc.nat(9),
        }),
        { maxLength: 60 },
      ),
      (sent) => {
        const ledger = new ledgers.LoadLedger();
        const newest = new Map<string, { sequence: number; running: number }>();
        for (const { sender, sequence, running } of sent) {
          ledger.record(1, sender, {
            state: buildState(running),
            sequence,
            atMs: 100,
          });
          const known = newest.get(sender);
          // An empty state removes its sender, so that any later state is newer.
          if (known !== undefined && sequence <= known.sequence) continue;
          if (running === 0) newest.delete(sender);
          else newest.set(sender, { sequence, running });
        }
        const expected = [...newest.values()].reduce(
          (sum, { running }) => sum + running,
          0,
        );
        const total = ledger.read(1, 200);
        return total.running === expected && total.pendingMs === 10 * expected;
      },
    ),
    { seed: 18, numRuns: 500 },
  );
  t.pass();
});

test("the state of a sender that stopped sending expires", (t) => {
  const ledger = new ledgers.LoadLedger();
  ledger.record(1, "a", { state: buildState(2), sequence: 1, atMs: 0 });
  ledger.record(1, "b", { state: buildState(3), sequence: 1, atMs: 2_000 });
  t.is(ledger.read(1, 2_900).running, 5);
  t.is(ledger.read(1, 3_100).running, 3);
  t.is(ledger.read(1, 6_000).running, 0);
  t.is(ledger.read(1, 15_000).running, 0);
  t.deepEqual(ledger.listReplicaKeys(), []);
});

test("a sender that restarted with its clock set back is taken after a silence", (t) => {
  const ledger = new ledgers.LoadLedger();
  ledger.record(1, "a", { state: buildState(2), sequence: 900, atMs: 0 });
  const restarted = { state: buildState(7), sequence: 5 };
  t.false(ledger.record(1, "a", { ...restarted, atMs: 1_000 }));
  t.true(ledger.record(1, "a", { ...restarted, atMs: 4_000 }));
  t.is(ledger.read(1, 4_000).running, 7);
});

test("the asker's own state is left out", (t) => {
  const ledger = new ledgers.LoadLedger();
  ledger.record(1, "a", { state: buildState(2), sequence: 1, atMs: 0 });
  ledger.record(1, "b", { state: buildState(3), sequence: 1, atMs: 0 });
  t.is(ledger.read(1, 10, "a").running, 3);
});

test("keys of replicas that come and go take bounded memory", (t) => {
  const ledger = new ledgers.LoadLedger();
  for (let key = 0; key < 20_000; key += 1) {
    ledger.record(key, "a", { state: buildState(1), sequence: key, atMs: 0 });
  }
  t.true(ledger.listReplicaKeys().length <= 4_096);
});

test("a replica that fails for all is known to fail from the evidence of many processes that met it once", (t) => {
  let pooled = evidence.NO_EVIDENCE;
  for (let process = 0; process < 12; process += 1) {
    const own = new evidence.ReplicaEvidence();
    if (process % 2 === 0) own.recordFailure(0);
    else {
      own.recordSuccess(0);
      own.recordSpeed({ predictedMs: 40, tookMs: 60, factor: 1 }, 0);
    }
    t.true(evidence.estimateFailureRate(own.read(0)) < 0.4);
    pooled = evidence.addEvidence(pooled, own.read(500));
  }
  const rate = evidence.estimateFailureRate(pooled);
  t.true(rate > 0.4 && rate < 0.5, `${rate}`);
  t.is(Math.round(100 * speeds.findUsualRatio([pooled])), 150);
});

test("the evidence of a sender is kept after its requests have ended", (t) => {
  const ledger = new ledgers.LoadLedger();
  const state = {
    ...buildState(0),
    evidence: { ...evidence.NO_EVIDENCE, attempts: 4, failures: 4 },
  };
  ledger.record(1, "a", { state, sequence: 1, atMs: 0 });
  const later = ledger.read(1, 4_000);
  t.is(later.running, 0);
  t.true(evidence.estimateFailureRate(later.evidence) > 0.3);
  t.is(ledger.read(1, 13_000).evidence.attempts, 0);
});

test("evidence that is not renewed is forgotten, so that a replica is tried again", (t) => {
  const own = new evidence.ReplicaEvidence();
  for (let at = 0; at < 10; at += 1) own.recordFailure(0);
  t.true(evidence.estimateFailureRate(own.read(0)) > 0.8);
  t.true(evidence.estimateFailureRate(own.read(20_000)) < 0.05);
});
