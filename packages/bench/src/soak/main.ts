/**
 * Command line of the soak: plays seeds one after the other and prints a line for
 * each. The exit code is 1 if a rule was broken.
 */
import * as util from "node:util";
import * as processes from "../processes.ts";
import * as checks from "./checks.ts";
import * as plans from "./plan.ts";
import * as reports from "./report.ts";
import * as scenes from "./scene.ts";

const { values } = util.parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    seeds: { type: "string", default: "1" },
    size: { type: "string", default: "medium" },
    seconds: { type: "string" },
    /** Folder with other programs than those of this tree. */
    programs: { type: "string", default: processes.PROGRAM_FOLDER },
    /** Time beyond the grace period until SIGKILL, for slow machines. */
    "kill-slack-ms": { type: "string", default: "0" },
    "unread-slack-ms": { type: "string", default: "200" },
  },
});
const LOSS_SLACK_MS = 200;

const firstSeed = Number(values.seed);
for (let seed = firstSeed; seed < firstSeed + Number(values.seeds); seed += 1) {
  const plan = plans.buildPlan(
    seed,
    values.size as plans.SoakSize,
    ...(values.seconds === undefined ? [] : [Number(values.seconds)]),
  );
  const play = await scenes.play(plan, {
    programFolder: values.programs,
    killSlackMs: Number(values["kill-slack-ms"]),
  });
  const findings = checks.checkFacts(play, {
    lossSlackMs: LOSS_SLACK_MS,
    unreadSlackMs: Number(values["unread-slack-ms"]),
  });
  process.stdout.write(`${reports.renderSummary(play, findings)}\n`);
  const violations = reports.renderViolations(play, findings);
  if (violations === "") continue;
  process.stdout.write(`${violations}\n`);
  process.exitCode = 1;
}
