/**
 * The newcomer's demonstration: a whole deployment of real processes under a
 * mixed load, with a withdrawal and a graceful leave in the middle. The exit
 * code is 0 only if every check held; the last line is one JSON object.
 */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as bundle from "@jackdawbank/bundle";
import * as hdr from "hdr-histogram-js";
import * as callers from "./caller.ts";
import * as platformDemo from "./demo_platform.ts";
import * as deployments from "./deployment.ts";
import * as processes from "./processes.ts";

const LOAD_BEFORE_MS = 3_000;
const LOAD_AFTER_MS = 5_500;
/** Target of the letter for a change to be in force everywhere. */
const IN_FORCE_MS = 4_000;
const CALLERS_PER_ENTRY = 4;
const REPEAT_EVERY = 5;

/** What the load has seen. */
interface Tally {
  requests: number;
  answered: number;
  refused: number;
  readonly violations: string[];
  /** Billable requests: complete answers, keyed repeats counted once. */
  billable: number;
  readonly confirmedOrders: Set<string>;
  readonly firstTokenMs: hdr.Histogram;
}

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

class Demo {
  readonly #deployment: deployments.Deployment;
  readonly #folder: string;
  readonly #tally: Tally = {
    requests: 0,
    answered: 0,
    refused: 0,
    violations: [],
    billable: 0,
    confirmedOrders: new Set(),
    firstTokenMs: hdr.build(),
  };
  #isLoading = true;

  constructor(deployment: deployments.Deployment, folder: string) {
    this.#deployment = deployment;
    this.#folder = folder;
  }

  /** Runs the demonstration and tells whether every check held. */
  async run(): Promise<boolean> {
    const load = this.#startLoad();
    await this.#rollAStep();
    await wait(LOAD_BEFORE_MS);
    const acceptedAtMs = await this.#withdraw();
    await this.#leave();
    await wait(LOAD_AFTER_MS);
    this.#isLoading = false;
    await load;
    await this.#checkBills();
    await this.#checkRuns(acceptedAtMs);
    await this.#showTimeline();
    await this.#stopAll();
    for (const violation of await platformDemo.showPlatform(say)) {
      this.#check(false, violation);
    }
    return this.#report();
  }

  async #ctl(...args: readonly string[]): Promise<string> {
    const output = await processes.runProgram("jackdawctl", args);
    this.#check(
      output.code === 0,
      `jackdawctl ${args[0]} ${args[1]}: ${output.stderr}`,
    );
    return output.stdout;
  }

  #check(isMet: boolean, what: string): void {
    if (isMet) return;
    this.#tally.violations.push(what);
    say(`VIOLATION ${what}`);
  }

  get #storeArgs(): readonly string[] {
    const { storeUrl, signerKey } = this.#deployment;
    return ["--store", storeUrl, "--signers", signerKey];
  }

  get #keyFile(): string {
    return path.join(this.#folder, "operator.pem");
  }

  /** An operator edits, checks, compares, signs and rolls a bundle. */
  async #rollAStep(): Promise<void> {
    const file = path.join(this.#folder, "bundle.yaml");
    const signed = path.join(this.#folder, "bundle.signed.json");
    await this.#ctl("bundle", "new", ...this.#storeArgs, "--out", file);
    const edited = fs.readFileSync(file, "utf8").replace(
      "      - sinceRevision: 1\n        sharesPercent:\n          v1: 50\n          v2: 50\n",
      "      - sinceRevision: 1\n        sharesPercent:\n          v1: 50\n          v2: 50\n" +
        "      - sinceRevision: 2\n        sharesPercent:\n          v1: 30\n          v2: 70\n",
    );
    fs.writeFileSync(file, edited);
    say((await this.#ctl("bundle", "check", file)).trim());
    say((await this.#ctl("bundle", "diff", file, ...this.#storeArgs)).trim());
    await this.#ctl(
      "bundle",
      "sign",
      file,
      "--key",
      this.#keyFile,
      "--out",
      signed,
    );
    const { vmListUrl } = this.#deployment;
    say(
      (await this.#ctl(
        "bundle",
        "roll",
        signed,
        ...this.#storeArgs,
        "--vm-list",
        vmListUrl,
      )).trim(),
    );
    await this.#deployment.waitForRevision(2);
    say(
      (await this.#ctl("bundle", "status", "--vm-list", vmListUrl)).trimEnd(),
    );
  }

  async #withdraw(): Promise<number> {
    say("withdrawing verse-large v2 in mid-load");
    await this.#ctl(
      "version",
      "withdraw",
      "verse-large",
      "v2",
      ...this.#storeArgs,
      "--key",
      this.#keyFile,
      "--vm-list",
      this.#deployment.vmListUrl,
    );
    const acceptedAtMs = Date.now();
    const tookMs = await this.#deployment.waitForRevision(3);
    say(`in force everywhere after ${Math.round(tookMs)} ms`);
    this.#check(tookMs < IN_FORCE_MS, "the withdrawal was in force late");
    return acceptedAtMs;
  }

  async #leave(): Promise<void> {
    say("model-c leaves: marked in the VM list, then SIGTERM");
    await this.#deployment.publishVmList(new Set(["model-c"]));
    const leaving = this.#deployment.upstream("model-c").process;
    await wait(500);
    const code = await leaving.stop();
    this.#check(code === 0, `model-c ended with ${code}`);
  }

  async #startLoad(): Promise<void> {
    const loops = this.#deployment.plan.entries.flatMap(({ id }) =>
      Array.from(
        { length: CALLERS_PER_ENTRY },
        (_, at) => this.#callInLoop(id, at),
      )
    );
    await Promise.all(loops);
  }

  async #callInLoop(entry: string, at: number): Promise<void> {
    const key = at % 2 === 0
      ? deployments.ACCOUNT_KEYS.counter
      : deployments.ACCOUNT_KEYS.hr;
    const caller = new callers.Caller(this.#deployment.entryUrl(entry), key);
    for (let turn = 0; this.#isLoading; turn += 1) {
      if (turn % 3 === 2) {
        await this.#placeOrder(caller, `${entry}-${at}-${turn}`, turn);
      } else await this.#chat(caller, turn);
    }
    await caller.close();
  }

  async #chat(caller: callers.Caller, turn: number): Promise<void> {
    const model = turn % 4 === 0
      ? "verse-small"
      : turn % 4 === 1
      ? "verse-large"
      : "verse";
    const isStreamed = turn % 2 === 0;
    const result = await caller.chat({ model, isStreamed });
    this.#count(result);
    if (result.isComplete) {
      this.#tally.billable += 1;
      this.#check(
        result.text.startsWith(`${result.prompt}:`),
        "an answer was another caller's",
      );
      if (isStreamed) {
        this.#tally.firstTokenMs.recordValue(Math.round(result.firstByteMs));
      }
      return;
    }
    this.#check(result.status !== 200, "an answer was cut off");
  }

  async #placeOrder(
    caller: callers.Caller,
    id: string,
    turn: number,
  ): Promise<void> {
    const result = await caller.placeOrder(id, { idempotencyKey: id });
    this.#count(result);
    if (result.status === 201) {
      this.#tally.billable += 1;
      this.#tally.confirmedOrders.add(id);
    }
    if (turn % REPEAT_EVERY !== 0 || result.status !== 201) return;
    const repeated = await caller.placeOrder(id, { idempotencyKey: id });
    this.#count(repeated);
    const isReplayed = repeated.headers["idempotent-replayed"] === "true";
    this.#check(
      isReplayed,
      `order ${id}: the repeat was not answered from the first`,
    );
  }

  #count(result: callers.CallResult): void {
    this.#tally.requests += 1;
    if (result.status === 200 || result.status === 201) {
      this.#tally.answered += 1;
    } else this.#tally.refused += 1;
    const isTold = result.status < 500 || result.notRun !== undefined;
    this.#check(
      result.status > 0 && isTold,
      `a request got no answer (${result.status})`,
    );
  }

  async #checkBills(): Promise<void> {
    const wanted = this.#tally.billable;
    await processes.waitFor(
      "bills are stored",
      async () => await this.#deployment.countBilled() >= wanted,
    ).catch(() => {});
    const billed = await this.#deployment.countBilled();
    this.#check(
      billed === wanted,
      `${billed} billed, ${wanted} complete answers`,
    );
    say(
      (await this.#ctl("usage", "--store", this.#deployment.storeUrl))
        .trimEnd(),
    );
  }

  async #checkRuns(acceptedAtMs: number): Promise<void> {
    const runs = await this.#deployment.countOrderRuns();
    for (const [id, count] of runs) {
      this.#check(count === 1, `order ${id} ran ${count} times`);
    }
    for (const id of this.#tally.confirmedOrders) {
      this.#check(runs.get(id) === 1, `confirmed order ${id} did not run`);
    }
    const late = (await this.#deployment.listEngineRuns()).filter((run) =>
      run.model === "verse-large@v2" && run.atMs > acceptedAtMs + IN_FORCE_MS
    );
    this.#check(
      late.length === 0,
      `${late.length} runs on the withdrawn version`,
    );
  }

  async #showTimeline(): Promise<void> {
    const text = await this.#ctl(
      "timeline",
      "--vm-list",
      this.#deployment.vmListUrl,
    );
    const lines = text.trimEnd().split("\n");
    say(`time line: ${lines.length} events over all processes; the last:`);
    say(lines.at(-1) ?? "");
  }

  async #stopAll(): Promise<void> {
    const running = [
      ...this.#deployment.entries.values(),
      ...[...this.#deployment.upstreams.values()].map((upstream) =>
        upstream.process
      ),
    ].filter((started) => started.isRunning);
    for (const started of running) {
      const code = await started.stop();
      this.#check(code === 0, `${started.name} ended with ${code}`);
    }
    say(`${running.length} daemons drained and ended`);
  }

  async #report(): Promise<boolean> {
    const { requests, answered, refused, violations, firstTokenMs } =
      this.#tally;
    const runs = await this.#deployment.countOrderRuns();
    const billed = await this.#deployment.countBilled();
    say(JSON.stringify({
      requests,
      answered,
      refused,
      billed,
      ordersRun: [...runs.values()].reduce((sum, count) => sum + count, 0),
      violations: violations.length,
      firstTokenMsP95: firstTokenMs.getValueAtPercentile(95),
    }));
    return violations.length === 0;
  }
}

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

async function main(): Promise<number> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "jackdaw-demo-"));
  say(
    "starting store, VM list, 2 entries, 3 model replicas and 2 order replicas, each a process",
  );
  const deployment = await deployments.Deployment.start();
  try {
    fs.writeFileSync(
      path.join(folder, "operator.pem"),
      deployment.privateKeyPem,
      { mode: 0o600 },
    );
    const digest = bundle.computeDigest(
      deployment.sign(deployment.plan.bundle).payload,
    );
    say(`signed and rolled revision 1 (digest ${digest.slice(0, 12)})`);
    return await new Demo(deployment, folder).run() ? 0 : 1;
  } finally {
    await deployment.close();
    fs.rmSync(folder, { recursive: true });
  }
}

process.exitCode = await main();
