/** Actions of the commands of `jackdawctl`. */
import * as fs from "node:fs";
import * as bundle from "@jackdawbank/bundle";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as stores from "@jackdawbank/store";
import * as flags from "./flags.ts";
import * as fleet from "./fleet.ts";
import * as keyFiles from "./key_files.ts";
import * as output from "./output.ts";
import * as publishing from "./publish.ts";
import * as usage from "./usage.ts";

function readSigners(
  options: flags.CommandOptions,
): kernel.Outcome<bundle.Signers> {
  const texts = (options.signers ?? "").split(",").filter((text) =>
    text.trim() !== ""
  );
  if (texts.length === 0) {
    return kernel.fail(
      "settings-invalid",
      "--signers must contain at least one public key",
    );
  }
  const signers = new Map<string, bundle.Signer>();
  for (const text of texts) {
    const signer = bundle.parseSigner(text.trim());
    if (signer.isErr()) return neverthrow.err(signer.error);
    signers.set(signer.value.signerId, signer.value);
  }
  return neverthrow.ok(signers);
}

/** Runs an action with a store client and the signers, and closes the client afterwards. */
async function runWithStore<T>(
  options: flags.CommandOptions,
  run: (
    store: stores.Store,
    signers: bundle.Signers,
  ) => Promise<kernel.Outcome<T>>,
): Promise<kernel.Outcome<T>> {
  const signers = readSigners(options);
  if (signers.isErr()) return neverthrow.err(signers.error);
  const store = new stores.EtcdStore(options.store ?? "");
  try {
    return await run(store, signers.value);
  } finally {
    await store.close();
  }
}

async function readVms(
  options: flags.CommandOptions,
): Promise<kernel.Outcome<readonly stores.Vm[]>> {
  const client = new stores.HttpVmListClient(options.vmList ?? "");
  try {
    return await client.read();
  } finally {
    await client.close();
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
  const issues = parsed.error.map((issue) =>
    `${path}:${bundle.renderIssue(issue)}`
  );
  return kernel.fail("bundle-invalid", issues.join("\n"));
}

function writeOutput(
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

/** Writes a new signing key, and prints its public key. */
export function createKey(path: string, options: flags.CommandOptions): void {
  const created = keyFiles.createKeyFile(path);
  if (created.isErr()) return output.reportError(created.error);
  output.printData(
    created.value,
    options,
    (key) => `signer ${key.signerId}\npublic key ${key.publicKey}`,
  );
}

/** Writes the file of the next bundle, for the operator to edit. */
export async function createBundle(
  options: flags.CommandOptions,
): Promise<void> {
  const next = await runWithStore(options, async (store, signers) => {
    const current = await publishing.readActiveBundle(store, signers);
    return current.map((stored) =>
      stored === undefined
        ? bundle.createInitialBundle()
        : bundle.createNextBundle(stored.verified)
    );
  });
  if (next.isErr()) return output.reportError(next.error);
  const written = writeOutput(options.out, bundle.renderBundle(next.value));
  if (written.isErr()) output.reportError(written.error);
}

/** Checks a bundle file and prints every issue. */
export function checkBundle(path: string, options: flags.CommandOptions): void {
  const checked = readBundleFile(path);
  if (checked.isErr()) return output.reportError(checked.error);
  const { revision, baseRevision } = checked.value;
  output.printData(
    { isValid: true, revision, baseRevision },
    options,
    () => `valid: revision ${revision}, replaces ${baseRevision}`,
  );
}

/** Prints the differences between the active bundle and a bundle file. */
export async function diffBundle(
  path: string,
  options: flags.CommandOptions,
): Promise<void> {
  const candidate = readBundleFile(path);
  if (candidate.isErr()) return output.reportError(candidate.error);
  const current = await runWithStore(
    options,
    (store, signers) => publishing.readActiveBundle(store, signers),
  );
  if (current.isErr()) return output.reportError(current.error);
  const before = current.value?.verified.bundle ?? bundle.createInitialBundle();
  const changes = bundle.diffBundles(before, candidate.value);
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

export function signBundle(path: string, options: flags.CommandOptions): void {
  const signed = readBundleFile(path).andThen((content) =>
    keyFiles.readKeyFile(options.key ?? "").map((key) =>
      bundle.signBundle(content, key)
    )
  );
  if (signed.isErr()) return output.reportError(signed.error);
  const written = writeOutput(options.out, `${JSON.stringify(signed.value)}\n`);
  if (written.isErr()) output.reportError(written.error);
}

/** Publishes a bundle, then sends it to running processes. */
export async function publishAndPush(
  options: flags.CommandOptions,
  prepare: (
    store: stores.Store,
    signers: bundle.Signers,
  ) => Promise<kernel.Outcome<bundle.VerifiedBundle>>,
): Promise<void> {
  const published = await runWithStore(options, async (store, signers) => {
    const candidate = await prepare(store, signers);
    if (candidate.isErr()) return neverthrow.err(candidate.error);
    const clock = new kernel.SystemClock();
    const timeoutMs = options.timeoutMs ?? flags.PUBLISH_TIMEOUT_MS;
    const result = await publishing.publishBundle(candidate.value, {
      store,
      signers,
      timeoutMs,
      clock,
    });
    return result.map((accepted) => ({
      accepted,
      signed: candidate.value.signed,
    }));
  });
  if (published.isErr()) return output.reportError(published.error);
  const { accepted, signed } = published.value;
  const pushed = await pushIfListed(options, signed);
  if (pushed.isErr()) {
    output.warn(
      `revision ${accepted.revision} is accepted, but was pushed to no process: ${pushed.error.message}`,
    );
  }
  output.printData(
    { ...accepted, pushedTo: pushed.unwrapOr(0) },
    options,
    (result) =>
      `accepted: revision ${result.revision}, received by ${result.pushedTo} processes`,
  );
}

/** Pushes a bundle to the processes in the VM list; returns how many accepted it. */
async function pushIfListed(
  options: flags.CommandOptions,
  signed: bundle.SignedBundle,
): Promise<kernel.Outcome<number>> {
  if (options.vmList === undefined) return neverthrow.ok(0);
  const vms = await readVms(options);
  if (vms.isErr()) return neverthrow.err(vms.error);
  return neverthrow.ok(await fleet.pushBundle(vms.value, signed));
}

/** Reads and verifies a signed bundle from its file. */
export function readSignedFile(
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

/** Builds and signs the bundle that withdraws a version. */
export async function prepareWithdrawal(
  input: {
    readonly model: string;
    readonly version: string;
    readonly options: flags.CommandOptions;
  },
  store: stores.Store,
  signers: bundle.Signers,
): Promise<kernel.Outcome<bundle.VerifiedBundle>> {
  const { model, version, options } = input;
  const key = keyFiles.readKeyFile(options.key ?? "");
  if (key.isErr()) return neverthrow.err(key.error);
  const current = await publishing.readActiveBundle(store, signers);
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

/** Prints the revision of the active bundle at each process. */
export async function showStatus(options: flags.CommandOptions): Promise<void> {
  const vms = await readVms(options);
  if (vms.isErr()) return output.reportError(vms.error);
  const statuses = await fleet.readStatuses(vms.value);
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
  const timestamp = `${new Date(time.wallMs).toISOString()}+${time.count}`;
  const parts = [timestamp, processId, name, requestId, target, detail];
  const shown = parts.filter((part) => part !== undefined).join(" ");
  return revision === undefined ? shown : `${shown} (revision ${revision})`;
}

/** Prints the events of all processes in the order of their timestamps. */
export async function showTimeline(
  options: flags.CommandOptions,
): Promise<void> {
  const vms = await readVms(options);
  if (vms.isErr()) return output.reportError(vms.error);
  const all = await fleet.readTimeline(vms.value);
  const events = options.request === undefined
    ? all
    : all.filter((event) => event.requestId === options.request);
  output.printData(events, options, () => events.map(renderEvent).join("\n"));
}

/** Prints the stored usage by account and item. */
export async function showUsage(options: flags.CommandOptions): Promise<void> {
  const store = new stores.EtcdStore(options.store ?? "");
  const rows = await usage.readUsage(store);
  await store.close();
  if (rows.isErr()) return output.reportError(rows.error);
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
