/** Times one routing decision on the entry's hot path, by the number of replicas. */
import * as decisions from "@jackdawbank/decisions";
import * as bundle from "@jackdawbank/bundle";
import * as randoms from "./random.ts";

const DECISIONS = 40_000;
const ROUNDS = 5;
const VERSIONS_PER_REPLICA = 2;
/** Decisions per millisecond of simulated time. */
const DECISIONS_PER_MS = 4;

function buildIndex(models: number): decisions.BundleIndex {
  const content = bundle.bundleSchema.parse({
    format: 1,
    revision: 1,
    baseRevision: 0,
    models: Array.from({ length: models }, (_, at) => ({
      name: `model-${at}`,
      versions: [{ version: "v1", state: "serving" }],
      rollout: [{ sinceRevision: 1, sharesPercent: { v1: 100 } }],
    })),
    accounts: [{
      name: "lodge",
      keysSha256: [bundle.computeDigest("lodge")],
      models: Array.from(
        { length: models },
        (_, at) => ({ model: `model-${at}` }),
      ),
    }],
  });
  const signed = { payload: "", signerId: "", signature: "" };
  return decisions.indexBundle({ bundle: content, digest: "", signed });
}

function buildTable(
  replicas: number,
  names: readonly string[],
): decisions.ReplicaTable {
  const table = new decisions.ReplicaTable({ maxSilenceMs: 1e12 });
  for (let at = 0; at < replicas; at += 1) {
    const id = `replica-${at}`;
    table.add(id, 1);
    table.recordReport(id, {
      serves: Array.from(
        { length: VERSIONS_PER_REPLICA },
        (_, offset) => names[(at + offset) % names.length] as string,
      ),
      capacity: 8,
      running: at % 8,
      queued: 0,
      serviceMs: 1_000,
      isLeaving: false,
    });
    table.recordPong(id, table.createPing(id, 0));
  }
  return table;
}

/** Measures the median time, in microseconds, of choosing a version and a replica. */
export function measureDecision(replicas: number, versions: number): number {
  const index = buildIndex(versions);
  const account = index.accountByName.get("lodge") as bundle.Account;
  const names = index.bundle.models.map((model) => `${model.name}@v1`);
  const table = buildTable(replicas, names);
  const random = randoms.createRandom(1);
  const rounds = Array.from({ length: ROUNDS }, (_, round) => {
    const startedAtMs = performance.now();
    for (let at = 0; at < DECISIONS; at += 1) {
      const model = index.bundle.models[at % versions] as bundle.Model;
      const grant = decisions.findGrant(
        account,
        model.name,
      ) as bundle.ModelGrant;
      const sessionId = `session-${at}`;
      const choice = decisions.chooseVersion(model, grant, {
        sessionId,
        birthRevision: 1,
        excluded: [],
      });
      const name = decisions.formatVersionName(
        model.name,
        choice?.version ?? "",
      );
      const picked = table.pick(name, {
        nowMs: round * DECISIONS + at / DECISIONS_PER_MS,
        affinityKey: sessionId,
        excluded: new Set(),
        random,
      });
      if (picked !== undefined) {
        table.recordSent(picked.id);
      }
    }
    return (performance.now() - startedAtMs) * 1_000 / DECISIONS;
  });
  return randoms.findQuantile(rounds, 0.5);
}
