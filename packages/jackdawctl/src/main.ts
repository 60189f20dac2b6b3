#!/usr/bin/env node
/** Command line of `jackdawctl`: its commands and their options. */
import * as commander from "commander";
import * as actions from "./actions.ts";
import * as explaining from "./explain.ts";
import * as flags from "./flags.ts";
import * as keyFiles from "./key_files.ts";
import * as output from "./output.ts";

function buildProgram(): commander.Command {
  const program = new commander.Command("jackdawctl")
    .description("command line for the operators of jackdawbank")
    .version("0.1.0")
    .addHelpText(
      "after",
      "\nExit codes: 0 done, 1 failed, 2 invalid input, 3 conflict, 4 outcome unknown or store unavailable.",
    );
  const key = program.command("key").description(
    "create signing keys and account keys",
  );
  flags.addJsonOption(
    key.command("new <file>").description(
      "write a new private signing key to a file with mode 600",
    ),
  ).action(actions.createKey);
  flags.addJsonOption(
    key.command("account").description(
      "create a bearer key for an account, with its SHA-256 digest",
    ),
  ).action(
    (options: flags.CommandOptions) =>
      output.printData(
        keyFiles.createBearerKey(),
        options,
        (created) => `key ${created.key}\nsha256 ${created.sha256}`,
      ),
  );
  const bundles = program.command("bundle").description(
    "create, check, sign and publish bundles",
  );
  flags.addStoreOptions(
    bundles.command("new").description(
      "write the file of the next bundle, to be edited",
    ),
  )
    .option("--out <file>", "file to write; standard output if absent")
    .action(actions.createBundle);
  flags.addJsonOption(
    bundles.command("check <file>").description("check a bundle file"),
  )
    .action(actions.checkBundle);
  flags.addJsonOption(
    flags.addStoreOptions(
      bundles.command("diff <file>").description(
        "compare a bundle file with the bundle in force",
      ),
    ),
  )
    .action(actions.diffBundle);
  flags.addKeyOption(
    bundles.command("sign <file>").description("sign a bundle file"),
  )
    .option("--out <file>", "file to write; standard output if absent")
    .action(actions.signBundle);
  flags.addTimeoutOption(
    flags.addJsonOption(
      flags.addVmListOption(
        flags.addStoreOptions(bundles.command("roll <signed>")),
        false,
      ),
    ),
  ).description("publish a signed bundle and put it in force").action(
    (
      path: string,
      options: flags.CommandOptions,
    ) =>
      actions.publishAndPush(
        options,
        (_store, signers) =>
          Promise.resolve(actions.readSignedFile(path, signers)),
      ),
  );
  flags.addJsonOption(flags.addVmListOption(bundles.command("status"), true))
    .description("show the bundle revision in force at each process")
    .action(
      actions.showStatus,
    );
  const versions = program.command("version").description(
    "withdraw versions of a model",
  );
  flags.addTimeoutOption(
    flags.addJsonOption(
      flags.addKeyOption(
        flags.addVmListOption(
          flags.addStoreOptions(versions.command("withdraw <model> <version>")),
          false,
        ),
      ),
    ),
  )
    .description("withdraw a version, so that it receives no new requests")
    .option("--successor <version>", "version to which its sessions move")
    .action((model: string, version: string, options: flags.CommandOptions) =>
      actions.publishAndPush(
        options,
        (store, signers) =>
          actions.prepareWithdrawal(
            { model, version, options },
            store,
            signers,
          ),
      )
    );
  flags.addJsonOption(flags.addVmListOption(program.command("timeline"), true))
    .description(
      "show the events of all processes in the order of their timestamps",
    )
    .option("--request <id>", "show only the events of this request").action(
      actions.showTimeline,
    );
  flags.addJsonOption(program.command("explain")).description(
    "show where a request would go now, and why, without sending it",
  )
    .requiredOption("--entry <host:port>", "metrics address of an entry")
    .requiredOption("--host <name>", "host name of the request")
    .requiredOption("--path <path>", "path of the request")
    .option("--account <name>", "client account; no key is needed")
    .option("--session <id>", "session of the request")
    .option("--model <name>", "model; chosen by the entry if absent")
    .option("--prompt-tokens <count>", "tokens of the prompt")
    .option("--output-tokens <count>", "expected tokens of the answer")
    .option(
      "--parts <id:tokens,...>",
      "parts of the prompt, the first one first",
    )
    .option("--body-bytes <count>", "bytes of the body")
    .option("--deadline-ms <ms>", "time that the caller waits")
    .action(explaining.explain);
  flags.addJsonOption(flags.addStoreOptions(program.command("usage")))
    .description(
      "show the stored usage by account and item",
    )
    .action(actions.showUsage);
  return program;
}

await buildProgram().parseAsync();
