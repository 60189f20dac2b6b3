/** Tests of what an attempt says about a call that got no response. */
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";
import * as attempts from "./attempt.ts";

const test = ava.default;

function startAttempt(isTwoPhase: boolean): attempts.Attempt {
  const connection = { send: () => true } as unknown as mesh.MeshConnection;
  return new attempts.Attempt(
    { attemptId: "entry.1", isTwoPhase },
    connection,
    () => {},
  );
}

async function readNotRun(
  attempt: attempts.Attempt,
): Promise<true | "unknown" | undefined> {
  const start = await attempt.waitForStart(0);
  if (start.type !== "failed") return undefined;
  return kernel.findErrorResponse(start.kind).notRun;
}

test("a one-phase call whose connection is lost before the head may have run", async (t) => {
  const attempt = startAttempt(false);
  attempt.handleConnectionLoss();
  t.is(await readNotRun(attempt), "unknown");
});

test("a one-phase call without any frame by its deadline may have run", async (t) => {
  t.is(await readNotRun(startAttempt(false)), "unknown");
});

test("a two-phase call has not run until it is committed", async (t) => {
  const lost = startAttempt(true);
  lost.handleConnectionLoss();
  t.is(await readNotRun(lost), true);
  t.is(await readNotRun(startAttempt(true)), true);
  const committed = startAttempt(true);
  committed.commit();
  committed.handleConnectionLoss();
  t.is(await readNotRun(committed), "unknown");
});
