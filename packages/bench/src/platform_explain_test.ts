/** Tests of the question where a request would go, with one entry and fake replicas. */
import * as ava from "ava";
import * as harnesses from "./platform_harness.ts";
import * as processes from "./processes.ts";

const test = ava.default.serial;
const { ACCOUNT, HOST, KEY, ROUTES, withHarness } = harnesses;

const REGIONS = {
  regionByDataCentre: new Map([["a", "north"], ["b", "north"], ["c", "south"]]),
};
const QUESTION = { host: HOST, path: ROUTES.check, account: ACCOUNT };

async function ask(
  harness: harnesses.PlatformHarness,
  question: unknown,
  method = "POST",
): Promise<{ readonly status: number; readonly text: string }> {
  const response = await fetch(
    `http://127.0.0.1:${harness.ports.metrics}/explain`,
    {
      method,
      ...(method === "POST"
        ? {
          body: typeof question === "string"
            ? question
            : JSON.stringify(question),
        }
        : {}),
    },
  );
  return { status: response.status, text: await response.text() };
}

async function start(harness: harnesses.PlatformHarness): Promise<void> {
  for (const zone of ["a", "b", "c"]) {
    await harness.addReplica(`desk-${zone}`, "desk", () => ({ type: "ok" }), {
      zone,
    });
  }
  await harness.start(REGIONS);
}

test("an explanation names the replica that the request reaches, and sends nothing", (t) =>
  withHarness(async (harness) => {
    await start(harness);
    const { status, text } = await ask(harness, QUESTION);
    t.is(status, 200, text);
    const explanation = JSON.parse(text);
    t.like(explanation, {
      account: ACCOUNT,
      service: "desk",
      activeReplicas: 3,
      usableReplicas: 3,
    });
    const [best] = explanation.candidates;
    t.is(explanation.chosen, best.replica);
    t.is(explanation.candidates.length, 2);
    t.is(best.terms.remoteMs === 0, best.dataCentre === "a");
    t.false(text.includes(KEY));
    t.false(/[0-9a-f]{64}/.test(text));
    const count = () =>
      [...harness.replicas.values()].reduce(
        (sum, { received }) => sum + received.length,
        0,
      );
    t.is(count(), 0);
    t.is(harness.findLogLines("attempt.sent").length, 0);
    t.is((await harness.call(ROUTES.check)).status, 200);
    for (const zone of ["b", "c"]) {
      harness.store.put(`op/evacuate/${zone}`, {});
    }
    await harness.waitFor(() =>
      harness.findLogLines("evacuation.begun").length === 2
    );
    const moved = JSON.parse((await ask(harness, QUESTION)).text);
    t.deepEqual(moved.view.evacuatedDataCentres.toSorted(), ["b", "c"]);
    t.is(moved.chosen, "desk-a");
    const large = { ...QUESTION, bodyBytes: 100_000 };
    t.is(JSON.parse((await ask(harness, large)).text).chosen, "desk-a");
    t.is((await harness.call(ROUTES.check)).status, 200);
    t.like(harness.findLogLines("attempt.sent").at(-1), {
      replica: "desk-a",
      dataCentre: "a",
    });
    harness.store.put("op/evacuate/a", {});
    await harness.waitFor(() =>
      harness.findLogLines("evacuation.begun").length === 3
    );
    const nowhere = JSON.parse((await ask(harness, QUESTION)).text);
    t.is(nowhere.refusal.kind, "no-upstream");
    t.is(nowhere.chosen, undefined);
    const refused = JSON.parse(
      (await ask(harness, { ...QUESTION, account: undefined })).text,
    );
    t.is(refused.refusal.kind, "unauthenticated");
    t.is(refused.chosen, undefined);
  }));

test("bad questions get a clear error, and large ones are not read", (t) =>
  withHarness(async (harness) => {
    await start(harness);
    const cases: readonly (readonly [unknown, RegExp])[] = [
      ["{", /not JSON/],
      [[], /must be an object/],
      [{ path: "/" }, /host is missing/],
      [{ ...QUESTION, path: "x" }, /path must begin/],
      [{ ...QUESTION, promptTokens: -1 }, /promptTokens must be/],
      [{ ...QUESTION, parts: [{ id: 3 }] }, /id must be a text/],
      [{ ...QUESTION, key: "secret" }, /unknown field "key"/],
      [{ ...QUESTION, account: "nobody" }, /account is not in/],
    ];
    for (const [question, message] of cases) {
      const { status, text } = await ask(harness, question);
      t.is(status, 400);
      t.regex(JSON.parse(text).error, message);
    }
    t.is((await ask(harness, " ".repeat(70_000))).status, 413);
    t.is((await ask(harness, undefined, "GET")).status, 405);
    t.is((await ask(harness, QUESTION)).status, 200);
  }));

test("jackdawctl explain prints the costs of the candidates", (t) =>
  withHarness(async (harness) => {
    await start(harness);
    const args = [
      "explain",
      "--entry",
      `127.0.0.1:${harness.ports.metrics}`,
      "--host",
      HOST,
      "--path",
      ROUTES.check,
    ];
    const known = await processes.runProgram("jackdawctl", [
      ...args,
      "--account",
      ACCOUNT,
    ]);
    t.is(known.code, 0, known.stderr);
    t.regex(known.stdout, /chosen: desk-[abc]/);
    t.regex(known.stdout, /remoteMs/);
    const bad = [...args, "--prompt-tokens", "many"];
    t.is((await processes.runProgram("jackdawctl", bad)).code, 2);
  }));
