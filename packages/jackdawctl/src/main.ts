#!/usr/bin/env node
/** The operators' client. */
import * as fs from "node:fs";
import * as bundle from "@jackdawbank/bundle";
import * as kernel from "@jackdawbank/kernel";
import * as commander from "commander";
import * as neverthrow from "neverthrow";
import * as platform from "@jackdawbank/platform";
import * as fleets from "./fleet.ts";
import * as keyFiles from "./key_files.ts";
import * as output from "./output.ts";
import * as rolls from "./roll.ts";
import * as usages from "./usage.ts";

const ROLL_TIMEOUT_MS = 10_000;

interface Options {
  readonly store?: string;
  readonly vmList?: string;
  readonly signers?: string;
  readonly key?: string;
  readonly out?: string;
  readonly json?: boolean;
  readonly successor?: string;
  readonly request?: string;
  readonly timeoutMs?: string;
}

function option(
  flags: string,
  variable: string,
  description: string,
): commander.Option {
  return new commander.Option(flags, description).env(variable);
}

function withStore(command: commander.Command): commander.Command {
  return command
    .addOption(
      option(
        "--store <url>",
        "JACKDAW_STORE",
        "the platform's key-value service",
      )
        .makeOptionMandatory(),
    )
    .addOption(
      option(
        "--signers <keys>",
        "JACKDAW_SIGNERS",
        "public keys that may sign bundles, with commas",
      ),
    );
}

function withVmList(
  command: commander.Command,
  isNeeded: boolean,
): commander.Command {
  return command.addOption(
    option("--vm-list <url>", "JACKDAW_VM_LIST", "the platform's VM list")
      .makeOptionMandatory(isNeeded),
  );
}

function withJson(command: commander.Command): commander.Command {
  return command.option("--json", "print one JSON line");
}

function withKey(command: commander.Command): commander.Command {
  return command.addOption(
    option("--key <file>", "JACKDAW_KEY", "private key file, mode 600")
      .makeOptionMandatory(),
  );
}

function withTimeout(command: commander.Command): commander.Command {
  return command.option(
    "--timeout-ms <ms>",
    "longest time to find out what became of the write, in milliseconds",
    String(ROLL_TIMEOUT_MS),
  );
}

function readSigners(options: Options): kernel.Outcome<bundle.Signers> {
  const texts = (options.signers ?? "").split(",").filter((text) =>
    text.trim() !== ""
  );
  if (texts.length === 0) {
    return kernel.fail("settings-invalid", "--signers names no signer");
  }
  const signers = new Map<string, bundle.Signer>();
  for (const text of texts) {
    const signer = bundle.readSigner(text.trim());
    if (signer.isErr()) return neverthrow.err(signer.error);
    signers.set(signer.value.signerId, signer.value);
  }
  return neverthrow.ok(signers);
}

/** Runs a command that uses the store, and closes the store after it. */
async function useStore<T>(
  options: Options,
  run: (
    store: platform.Store,
    signers: bundle.Signers,
  ) => Promise<kernel.Outcome<T>>,
): Promise<kernel.Outcome<T>> {
  const signers = readSigners(options);
  if (signers.isErr()) return neverthrow.err(signers.error);
  const store = new platform.EtcdStore(options.store ?? "");
  try {
    return await run(store, signers.value);
  } finally {
    await store.close();
  }
}

async function readVms(
  options: Options,
): Promise<kernel.Outcome<readonly platform.Vm[]>> {
  const list = new platform.HttpVmList(options.vmList ?? "");
  try {
    return await list.read();
  } finally {
    await list.close();
  }
}

function readBundleFile(path: string): kernel.Outcome<bundle.Bundle> {
  let text: string;
  try {
    text = fs.readFileSync(path, "utf8");
  } catch (thrown) {
    return kernel.fail("bad-request", kernel.describeThrown(thrown));
  }
  const parsed = bundle.parseBundleText(text);
  if (parsed.isOk()) return neverthrow.ok(parsed.value);
  const faults = parsed.error.map((fault) =>
    `${path}:${bundle.renderFault(fault)}`
  );
  return kernel.fail("bundle-invalid", faults.join("\n"));
}

function writeOut(
  path: string | undefined,
  text: string,
): kernel.Outcome<void> {
  if (path === undefined) {
    process.stdout.write(text);
    return neverthrow.ok(undefined);
  }
  try {
    fs.writeFileSync(path, text);
    return neverthrow.ok(undefined);
  } catch (thrown) {
    return kernel.fail("bad-request", kernel.describeThrown(thrown));
  }
}

function createKey(path: string, options: Options): void {
  const created = keyFiles.createKeyFile(path);
  if (created.isErr()) return output.failWith(created.error);
  output.printData(
    created.value,
    options,
    (key) => `signer ${key.signerId}\npublic key ${key.publicKey}`,
  );
}

async function createBundle(options: Options): Promise<void> {
  const next = await useStore(options, async (store, signers) => {
    const current = await rolls.readCurrent(store, signers);
    return current.map((stored) =>
      stored === undefined
        ? bundle.createFirstBundle()
        : bundle.createNextBundle(stored.verified)
    );
  });
  if (next.isErr()) return output.failWith(next.error);
  const written = writeOut(options.out, bundle.renderBundle(next.value));
  if (written.isErr()) output.failWith(written.error);
}

function checkBundle(path: string, options: Options): void {
  const checked = readBundleFile(path);
  if (checked.isErr()) return output.failWith(checked.error);
  const { revision, baseRevision } = checked.value;
  output.printData(
    { isValid: true, revision, baseRevision },
    options,
    () => `valid: revision ${revision}, replaces ${baseRevision}`,
  );
}

async function diffBundle(path: string, options: Options): Promise<void> {
  const wanted = readBundleFile(path);
  if (wanted.isErr()) return output.failWith(wanted.error);
  const current = await useStore(
    options,
    (store, signers) => rolls.readCurrent(store, signers),
  );
  if (current.isErr()) return output.failWith(current.error);
  const before = current.value?.verified.bundle ?? bundle.createFirstBundle();
  const changes = bundle.diffBundles(before, wanted.value);
  output.printData(
    changes,
    options,
    () =>
      changes.map((change) =>
        `${change.kind.toLowerCase()} ${change.path}: ${
          JSON.stringify(change.before)
        } -> ${JSON.stringify(change.after)}`
      ).join("\n"),
  );
}

function signBundle(path: string, options: Options): void {
  const signed = readBundleFile(path).andThen((content) =>
    keyFiles.readKeyFile(options.key ?? "").map((key) =>
      bundle.signBundle(content, key)
    )
  );
  if (signed.isErr()) return output.failWith(signed.error);
  const written = writeOut(options.out, `${JSON.stringify(signed.value)}\n`);
  if (written.isErr()) output.failWith(written.error);
}

/** Rolls a bundle, then hands it to running processes. */
async function rollAndPush(
  options: Options,
  prepare: (
    store: platform.Store,
    signers: bundle.Signers,
  ) => Promise<kernel.Outcome<bundle.VerifiedBundle>>,
): Promise<void> {
  const rolled = await useStore(options, async (store, signers) => {
    const wanted = await prepare(store, signers);
    if (wanted.isErr()) return neverthrow.err(wanted.error);
    const clock = new kernel.SystemClock();
    const timeoutMs = Number(options.timeoutMs ?? ROLL_TIMEOUT_MS);
    const result = await rolls.rollBundle(wanted.value, {
      store,
      signers,
      timeoutMs,
      clock,
    });
    return result.map((accepted) => ({
      accepted,
      signed: wanted.value.signed,
    }));
  });
  if (rolled.isErr()) return output.failWith(rolled.error);
  const { accepted, signed } = rolled.value;
  const vms = options.vmList === undefined
    ? neverthrow.ok([])
    : await readVms(options);
  const pushed = await fleets.pushBundle(vms.unwrapOr([]), signed);
  output.printData(
    { ...accepted, pushedTo: pushed },
    options,
    (result) =>
      `accepted: revision ${result.revision}, handed to ${result.pushedTo} processes`,
  );
}

function readSigned(
  path: string,
  signers: bundle.Signers,
): kernel.Outcome<bundle.VerifiedBundle> {
  try {
    return bundle.verifyBundle(
      JSON.parse(fs.readFileSync(path, "utf8")),
      signers,
    );
  } catch (thrown) {
    return kernel.fail("bad-request", kernel.describeThrown(thrown));
  }
}

async function prepareWithdrawal(
  input: {
    readonly model: string;
    readonly version: string;
    readonly options: Options;
  },
  store: platform.Store,
  signers: bundle.Signers,
): Promise<kernel.Outcome<bundle.VerifiedBundle>> {
  const { model, version, options } = input;
  const key = keyFiles.readKeyFile(options.key ?? "");
  if (key.isErr()) return neverthrow.err(key.error);
  const current = await rolls.readCurrent(store, signers);
  if (current.isErr()) return neverthrow.err(current.error);
  if (current.value === undefined) {
    return kernel.fail("no-bundle", "no bundle is in force");
  }
  const next = bundle.createNextBundle(current.value.verified);
  return bundle.withdrawVersion(next, { model, version }, options.successor)
    .andThen((changed) =>
      bundle.verifyBundle(bundle.signBundle(changed, key.value), signers)
    );
}

async function showStatus(options: Options): Promise<void> {
  const vms = await readVms(options);
  if (vms.isErr()) return output.failWith(vms.error);
  const statuses = await fleets.readStatuses(vms.value);
  output.printData(statuses, options, () =>
    output.renderTable(
      ["process", "role", "data centre", "reachable", "revision"],
      statuses.map((status) => [
        status.processId,
        status.role,
        status.dataCentre,
        String(status.isReachable),
        String(status.revision),
      ]),
    ));
}

function renderEvent(event: kernel.TimelineEvent): string {
  const { time, processId, name, requestId, target, detail, revision } = event;
  const at = `${new Date(time.wallMs).toISOString()}+${time.count}`;
  const parts = [at, processId, name, requestId, target, detail];
  const shown = parts.filter((part) => part !== undefined).join(" ");
  return revision === undefined ? shown : `${shown} (revision ${revision})`;
}

async function showTimeline(options: Options): Promise<void> {
  const vms = await readVms(options);
  if (vms.isErr()) return output.failWith(vms.error);
  const all = await fleets.readTimeline(vms.value);
  const events = options.request === undefined
    ? all
    : all.filter((event) => event.requestId === options.request);
  output.printData(events, options, () => events.map(renderEvent).join("\n"));
}

async function showUsage(options: Options): Promise<void> {
  const store = new platform.EtcdStore(options.store ?? "");
  const rows = await usages.readUsage(store);
  await store.close();
  if (rows.isErr()) return output.failWith(rows.error);
  output.printData(rows.value, options, () =>
    output.renderTable(
      [
        "account",
        "item",
        "requests",
        "prompt tokens",
        "completion tokens",
        "price (micros)",
      ],
      rows.value.map((row) => [
        row.account,
        row.item,
        String(row.requests),
        String(row.promptTokens),
        String(row.completionTokens),
        String(row.priceMicros),
      ]),
    ));
}

function buildProgram(): commander.Command {
  const program = new commander.Command("jackdawctl")
    .description("operators' client of jackdawbank")
    .version("0.1.0")
    .addHelpText(
      "after",
      "\nExit codes: 0 done, 1 failed, 2 invalid input, 3 conflict, 4 outcome unknown or store unavailable.",
    );
  const key = program.command("key").description(
    "signing keys and account keys",
  );
  withJson(
    key.command("new <file>").description("write a new private key, mode 600"),
  ).action(createKey);
  withJson(
    key.command("account").description("make a bearer key and its SHA-256"),
  ).action(
    (options: Options) =>
      output.printData(
        keyFiles.createBearerKey(),
        options,
        (made) => `key ${made.key}\nsha256 ${made.sha256}`,
      ),
  );
  const bundles = program.command("bundle").description("the versioned bundle");
  withStore(bundles.command("new").description("write the next bundle to edit"))
    .option("--out <file>", "file to write; standard output when absent")
    .action(createBundle);
  withJson(bundles.command("check <file>").description("check a bundle file"))
    .action(checkBundle);
  withJson(
    withStore(
      bundles.command("diff <file>").description(
        "compare with the bundle in force",
      ),
    ),
  )
    .action(diffBundle);
  withKey(bundles.command("sign <file>").description("sign a bundle file"))
    .option("--out <file>", "file to write; standard output when absent")
    .action(signBundle);
  withTimeout(
    withJson(withVmList(withStore(bundles.command("roll <signed>")), false)),
  ).description("put a signed bundle in force").action((
    path: string,
    options: Options,
  ) =>
    rollAndPush(
      options,
      (_store, signers) => Promise.resolve(readSigned(path, signers)),
    )
  );
  withJson(withVmList(bundles.command("status"), true))
    .description("the revision in force at each process").action(showStatus);
  const versions = program.command("version").description(
    "versions of a model",
  );
  withTimeout(
    withJson(
      withKey(
        withVmList(
          withStore(versions.command("withdraw <model> <version>")),
          false,
        ),
      ),
    ),
  )
    .description("withdraw a version: it receives no new work")
    .option("--successor <version>", "version that its sessions move to")
    .action((model: string, version: string, options: Options) =>
      rollAndPush(
        options,
        (store, signers) =>
          prepareWithdrawal({ model, version, options }, store, signers),
      )
    );
  withJson(withVmList(program.command("timeline"), true))
    .description("events of all processes in one order")
    .option("--request <id>", "only the events of one request").action(
      showTimeline,
    );
  withJson(withStore(program.command("usage"))).description(
    "stored bills by account and item",
  )
    .action(showUsage);
  return program;
}

await buildProgram().parseAsync();
