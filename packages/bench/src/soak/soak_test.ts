/** Short plays of the soak. Longer ones are run by hand: `npm run soak`. */
import * as ava from "ava";
import * as processes from "../processes.ts";
import * as checks from "./checks.ts";
import * as plans from "./plan.ts";
import * as reports from "./report.ts";
import * as scenes from "./scene.ts";

// Serial, because plays at the same time would slow each other down.
const test = ava.default.serial;
const SEEDS = [1, 2, 3];
const DURATION_S = 8;
/** A busy machine may be late with an exit; the grace period itself is checked by hand. */
const KILL_SLACK_MS = 4_000;
const MIN_ANSWERED = 50;

async function assertKept(
  t: ava.ExecutionContext,
  seed: number,
  allowsPipelining: boolean,
): Promise<void> {
  const plan = plans.buildPlan({
    seed,
    size: "small",
    durationS: DURATION_S,
    allowsPipelining,
  });
  const play = await scenes.play(plan, {
    programFolder: processes.PROGRAM_FOLDER,
    killSlackMs: KILL_SLACK_MS,
  });
  const findings = checks.checkFacts(play);
  t.log(reports.renderSummary(play, findings));
  const answered = play.requests.filter(({ answer }) =>
    answer?.isComplete === true && answer.status === 200
  );
  t.true(answered.length >= MIN_ANSWERED, `${answered.length} answered`);
  const stops = play.processes.filter(({ signals }) =>
    signals.some(({ signal }) => signal === "SIGTERM")
  );
  t.true(stops.length > 0);
  t.is(reports.renderFindings(play, findings), "");
}

// Guards against LOST: a request that had been passed on was cut around the stop of its entry.
for (const seed of SEEDS) {
  test(`soak: entries that stop, reload and start again lose no request, seed ${seed}`, (t) => {
    t.timeout(90_000);
    return assertKept(t, seed, false);
  });
}

// Guards against LOST: the answer to the request before it ended the connection of a request that ran.
test("soak: requests that were sent before the answer of the one before are not lost", (t) => {
  t.timeout(90_000);
  return assertKept(t, 1, true);
});
