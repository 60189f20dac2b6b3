/**
 * Demonstrates a deployment of real processes under a mixed load, during which
 * a model version is withdrawn and an upstream process shuts down gracefully.
 * The exit code is 0 only if every check passed; the last line of output is a
 * JSON object.
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

const LOAD_BEFORE_WITHDRAWAL_MS = 3_000;
const LOAD_AFTER_SHUTDOWN_MS = 5_500;
/** Time within which a change must be active in all processes. */
const ACTIVATION_LIMIT_MS = 4_000;
const CALLERS_PER_ENTRY = 4;
const REPEAT_EVERY_TURNS = 5;

/** Counts and measurements of the load. */
interface LoadCounts {
  requests: number;
  answered: number;
  refused: number;
  readonly violations: string[];
  /** Billable requests: complete responses; repeats with the same key count once. */
  billable: number;
  readonly confirmedOrders: Set<string>;
  readonly firstTokenMs: hdr.Histogram;
}

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

class Demo {
  readonly #deployment: deployments.Deployment;
  readonly #folder: string;
  readonly #counts: LoadCounts = {
    requests: 0,
    answered: 0,
    refused: 0,
    violations: [],
    billable: 0,
    confirmedOrders: new Set(),
    firstTokenMs: hdr.build(),
  };
  #isLoadRunning = true;

  constructor(deployment: deployments.Deployment, folder: string) {
    this.#deployment = deployment;
    this.#folder = folder;
  }

  /** Runs the demonstration and returns whether every check passed. */
  async run(): Promise<boolean> {
    const load = this.#runLoad();
    await this.#publishRolloutStep();
    await wait(LOAD_BEFORE_WITHDRAWAL_MS);
    const acceptedAtMs = await this.#withdraw();
    await this.#stopUpstream();
    await wait(LOAD_AFTER_SHUTDOWN_MS);
    this.#isLoadRunning = false;
    await load;
    await this.#checkBills();
    await this.#checkRuns(acceptedAtMs);
    await this.#showTimeline();
    await this.#stopAll();
    for (const violation of await platformDemo.runPlatformDemo(printLine)) {
      this.#check(false, violation);
    }
    return this.#report();
  }

  async #runJackdawctl(...args: readonly string[]): Promise<string> {
    const output = await processes.runProgram("jackdawctl", args);
    this.#check(
      output.code === 0,
      `jackdawctl ${args[0]} ${args[1]}: ${output.stderr}`,
    );
    return output.stdout;
  }

  #check(isMet: boolean, description: string): void {
    if (isMet) return;
    this.#counts.violations.push(description);
    printLine(`VIOLATION ${description}`);
  }

  get #storeArgs(): readonly string[] {
    const { storeUrl, signerKey } = this.#deployment;
    return ["--store", storeUrl, "--signers", signerKey];
  }

  get #keyFile(): string {
    return path.join(this.#folder, "operator.pem");
  }

  /** Edits, checks, compares, signs and publishes a bundle, as an operator does. */
  async #publishRolloutStep(): Promise<void> {
    const file = path.join(this.#folder, "bundle.yaml");
    const signed = path.join(this.#folder, "bundle.signed.json");
    await this.#runJackdawctl(
      "bundle",
      "new",
      ...this.#storeArgs,
      "--out",
      file,
    );
    const edited = fs.readFileSync(file, "utf8").replace(
      "      - sinceRevision: 1\n        sharesPercent:\n          v1: 50\n          v2: 50\n",
      "      - sinceRevision: 1\n        sharesPercent:\n          v1: 50\n          v2: 50\n" +
        "      - sinceRevision: 2\n        sharesPercent:\n          v1: 30\n          v2: 70\n",
    );
    fs.writeFileSync(file, edited);
    printLine((await this.#runJackdawctl("bundle", "check", file)).trim());
    printLine(
      (await this.#runJackdawctl("bundle", "diff", file, ...this.#storeArgs))
        .trim(),
    );
    await this.#runJackdawctl(
      "bundle",
      "sign",
      file,
      "--key",
      this.#keyFile,
      "--out",
      signed,
    );
    const { vmListUrl } = this.#deployment;
    printLine(
      (await this.#runJackdawctl(
        "bundle",
        "roll",
        signed,
        ...this.#storeArgs,
        "--vm-list",
        vmListUrl,
      )).trim(),
    );
    await this.#deployment.waitForRevision(2);
    printLine(
      (await this.#runJackdawctl("bundle", "status", "--vm-list", vmListUrl))
        .trimEnd(),
    );
  }

  async #withdraw(): Promise<number> {
    printLine("withdrawing verse-large v2 under load");
    await this.#runJackdawctl(
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
    printLine(`active in all processes after ${Math.round(tookMs)} ms`);
    this.#check(
      tookMs < ACTIVATION_LIMIT_MS,
      "the withdrawal became active too late",
    );
    return acceptedAtMs;
  }

  async #stopUpstream(): Promise<void> {
    printLine(
      "stopping model-c: marked as leaving in the VM list, then SIGTERM",
    );
    await this.#deployment.publishVmList(new Set(["model-c"]));
    const leaving = this.#deployment.upstream("model-c").process;
    await wait(500);
    const code = await leaving.stop();
    this.#check(code === 0, `model-c exited with code ${code}`);
  }

  async #runLoad(): Promise<void> {
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
    for (let turn = 0; this.#isLoadRunning; turn += 1) {
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
      this.#counts.billable += 1;
      this.#check(
        result.text.startsWith(`${result.prompt}:`),
        "a response belongs to another request",
      );
      if (isStreamed) {
        this.#counts.firstTokenMs.recordValue(Math.round(result.firstByteMs));
      }
      return;
    }
    this.#check(
      result.status !== 200,
      "a response with status 200 is truncated",
    );
  }

  async #placeOrder(
    caller: callers.Caller,
    id: string,
    turn: number,
  ): Promise<void> {
    const result = await caller.placeOrder(id, { idempotencyKey: id });
    this.#count(result);
    if (result.status === 201) {
      this.#counts.billable += 1;
      this.#counts.confirmedOrders.add(id);
    }
    if (turn % REPEAT_EVERY_TURNS !== 0 || result.status !== 201) return;
    const repeated = await caller.placeOrder(id, { idempotencyKey: id });
    this.#count(repeated);
    const isReplayed = repeated.headers["idempotent-replayed"] === "true";
    this.#check(
      isReplayed,
      `order ${id}: the repeated request did not get the stored response`,
    );
  }

  #count(result: callers.CallResult): void {
    this.#counts.requests += 1;
    if (result.status === 200 || result.status === 201) {
      this.#counts.answered += 1;
    } else this.#counts.refused += 1;
    const isOutcomeReported = result.status < 500 ||
      result.notRun !== undefined;
    this.#check(
      result.status > 0 && isOutcomeReported,
      `a request got no response, or status 5xx without not_run (status ${result.status})`,
    );
  }

  async #checkBills(): Promise<void> {
    const expected = this.#counts.billable;
    await processes.waitFor(
      "bills are stored",
      async () => await this.#deployment.countBilled() >= expected,
    ).catch(() => {});
    const billed = await this.#deployment.countBilled();
    this.#check(
      billed === expected,
      `${billed} requests billed, ${expected} complete responses`,
    );
    printLine(
      (await this.#runJackdawctl("usage", "--store", this.#deployment.storeUrl))
        .trimEnd(),
    );
  }

  async #checkRuns(acceptedAtMs: number): Promise<void> {
    const runs = await this.#deployment.countOrderRuns();
    for (const [id, count] of runs) {
      this.#check(count === 1, `order ${id} ran ${count} times`);
    }
    for (const id of this.#counts.confirmedOrders) {
      this.#check(runs.get(id) === 1, `confirmed order ${id} did not run`);
    }
    const lateRuns = (await this.#deployment.listEngineRuns()).filter((run) =>
      run.model === "verse-large@v2" &&
      run.atMs > acceptedAtMs + ACTIVATION_LIMIT_MS
    );
    this.#check(
      lateRuns.length === 0,
      `${lateRuns.length} runs on the withdrawn version after the limit`,
    );
  }

  async #showTimeline(): Promise<void> {
    const text = await this.#runJackdawctl(
      "timeline",
      "--vm-list",
      this.#deployment.vmListUrl,
    );
    const lines = text.trimEnd().split("\n");
    printLine(
      `timeline: ${lines.length} events from all processes; the last one:`,
    );
    printLine(lines.at(-1) ?? "");
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
      this.#check(code === 0, `${started.name} exited with code ${code}`);
    }
    printLine(`${running.length} processes drained and stopped`);
  }

  async #report(): Promise<boolean> {
    const { requests, answered, refused, violations, firstTokenMs } =
      this.#counts;
    const runs = await this.#deployment.countOrderRuns();
    const billed = await this.#deployment.countBilled();
    printLine(JSON.stringify({
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
  printLine(
    "starting a store, a VM list, 2 entries, 3 model upstreams and 2 order upstreams as processes",
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
    printLine(
      `signed and published revision 1 (digest ${digest.slice(0, 12)})`,
    );
    return await new Demo(deployment, folder).run() ? 0 : 1;
  } finally {
    await deployment.close();
    fs.rmSync(folder, { recursive: true });
  }
}

process.exitCode = await main();
