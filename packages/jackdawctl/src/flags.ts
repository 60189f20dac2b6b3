/** Options that several commands of the operators' client share. */
import * as commander from "commander";

/** Longest time to find out what became of a roll. */
export const PUBLISH_TIMEOUT_MS = 10_000;

/** Options of any command, as commander gives them. */
export interface CommandOptions {
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

/** Adds options to a command. */
export function addStoreOptions(command: commander.Command): commander.Command {
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

/** Adds options to a command. */
export function addVmListOption(
  command: commander.Command,
  isNeeded: boolean,
): commander.Command {
  return command.addOption(
    option("--vm-list <url>", "JACKDAW_VM_LIST", "the platform's VM list")
      .makeOptionMandatory(isNeeded),
  );
}

/** Adds options to a command. */
export function addJsonOption(command: commander.Command): commander.Command {
  return command.option("--json", "print one JSON line");
}

/** Adds options to a command. */
export function addKeyOption(command: commander.Command): commander.Command {
  return command.addOption(
    option("--key <file>", "JACKDAW_KEY", "private key file, mode 600")
      .makeOptionMandatory(),
  );
}

/** Adds options to a command. */
export function addTimeoutOption(
  command: commander.Command,
): commander.Command {
  return command.option(
    "--timeout-ms <ms>",
    "longest time to find out what became of the write, in milliseconds",
    String(PUBLISH_TIMEOUT_MS),
  );
}
