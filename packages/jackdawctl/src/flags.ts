/** Options that several commands of `jackdawctl` share. */
import * as commander from "commander";

/** Default time limit for determining whether a bundle was accepted. */
export const PUBLISH_TIMEOUT_MS = 10_000;

const MAX_TIMEOUT_MS = 3_600_000;

/** Options of all commands, as commander parses them. */
export interface CommandOptions {
  readonly store?: string;
  readonly vmList?: string;
  readonly signers?: string;
  readonly key?: string;
  readonly out?: string;
  readonly json?: boolean;
  readonly successor?: string;
  readonly request?: string;
  readonly timeoutMs?: number;
}

function createOption(
  flags: string,
  variable: string,
  description: string,
): commander.Option {
  return new commander.Option(flags, description).env(variable);
}

export function addStoreOptions(command: commander.Command): commander.Command {
  return command
    .addOption(
      createOption(
        "--store <url>",
        "JACKDAW_STORE",
        "URL of the platform's key-value store",
      )
        .makeOptionMandatory(),
    )
    .addOption(
      createOption(
        "--signers <keys>",
        "JACKDAW_SIGNERS",
        "public keys of accepted bundle signers, separated by commas",
      ),
    );
}

export function addVmListOption(
  command: commander.Command,
  isRequired: boolean,
): commander.Command {
  return command.addOption(
    createOption(
      "--vm-list <url>",
      "JACKDAW_VM_LIST",
      "URL of the platform's VM list",
    )
      .makeOptionMandatory(isRequired),
  );
}

export function addJsonOption(command: commander.Command): commander.Command {
  return command.option("--json", "print one JSON line");
}

export function addKeyOption(command: commander.Command): commander.Command {
  return command.addOption(
    createOption(
      "--key <file>",
      "JACKDAW_KEY",
      "file with the private signing key, mode 600",
    )
      .makeOptionMandatory(),
  );
}

export function addTimeoutOption(
  command: commander.Command,
): commander.Command {
  return command.option(
    "--timeout-ms <ms>",
    "time limit for determining whether the bundle was accepted, in milliseconds",
    parseTimeoutMs,
    PUBLISH_TIMEOUT_MS,
  );
}

function parseTimeoutMs(text: string): number {
  const timeoutMs = Number(text);
  if (/^\d+$/.test(text) && timeoutMs > 0 && timeoutMs <= MAX_TIMEOUT_MS) {
    return timeoutMs;
  }
  throw new commander.InvalidArgumentError(
    `must be a whole number of milliseconds from 1 to ${MAX_TIMEOUT_MS}`,
  );
}
