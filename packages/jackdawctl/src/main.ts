#!/usr/bin/env node
/** The operators' client: its commands and their options. */
import * as commander from "commander";
import * as actions from "./actions.ts";
import * as flags from "./flags.ts";
import * as keyFiles from "./key_files.ts";
import * as output from "./output.ts";

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
  flags.addJsonOption(
    key.command("new <file>").description("write a new private key, mode 600"),
  ).action(actions.createKey);
  flags.addJsonOption(
    key.command("account").description("make a bearer key and its SHA-256"),
  ).action(
    (options: flags.CommandOptions) =>
      output.printData(
        keyFiles.createBearerKey(),
        options,
        (made) => `key ${made.key}\nsha256 ${made.sha256}`,
      ),
  );
  const bundles = program.command("bundle").description("the versioned bundle");
  flags.addStoreOptions(
    bundles.command("new").description("write the next bundle to edit"),
  )
    .option("--out <file>", "file to write; standard output when absent")
    .action(actions.createBundle);
  flags.addJsonOption(
    bundles.command("check <file>").description("check a bundle file"),
  )
    .action(actions.checkBundle);
  flags.addJsonOption(
    flags.addStoreOptions(
      bundles.command("diff <file>").description(
        "compare with the bundle in force",
      ),
    ),
  )
    .action(actions.diffBundle);
  flags.addKeyOption(
    bundles.command("sign <file>").description("sign a bundle file"),
  )
    .option("--out <file>", "file to write; standard output when absent")
    .action(actions.signBundle);
  flags.addTimeoutOption(
    flags.addJsonOption(
      flags.addVmListOption(
        flags.addStoreOptions(bundles.command("roll <signed>")),
        false,
      ),
    ),
  ).description("put a signed bundle in force").action((
    path: string,
    options: flags.CommandOptions,
  ) =>
    actions.publishAndPush(
      options,
      (_store, signers) => Promise.resolve(actions.readSigned(path, signers)),
    )
  );
  flags.addJsonOption(flags.addVmListOption(bundles.command("status"), true))
    .description("the revision in force at each process").action(
      actions.showStatus,
    );
  const versions = program.command("version").description(
    "versions of a model",
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
    .description("withdraw a version: it receives no new work")
    .option("--successor <version>", "version that its sessions move to")
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
    .description("events of all processes in one order")
    .option("--request <id>", "only the events of one request").action(
      actions.showTimeline,
    );
  flags.addJsonOption(flags.addStoreOptions(program.command("usage")))
    .description(
      "stored bills by account and item",
    )
    .action(actions.showUsage);
  return program;
}

await buildProgram().parseAsync();
