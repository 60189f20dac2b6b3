#!/usr/bin/env node
/** The daemon's program. */
import * as kernel from "@jackdawbank/kernel";
import * as commander from "commander";
import type * as neverthrow from "neverthrow";
import * as daemons from "./daemon.ts";
import * as platformCommand from "./platform_command.ts";
import * as settings from "./settings.ts";

const EXIT_FAILURE = 1;
const EXIT_BAD_SETTINGS = 2;

function reportFaults(faults: readonly string[]): void {
  for (const fault of faults) process.stderr.write(`jackdawd: ${fault}\n`);
  process.exitCode = EXIT_BAD_SETTINGS;
}

function stopOnSignals(daemon: daemons.Daemon): void {
  let isStopping = false;
  const stop = (signal: NodeJS.Signals) => {
    // A second signal does not cut off what the first one lets finish.
    if (isStopping) return;
    isStopping = true;
    void daemons.stopDaemon(daemon, signal).then(() => process.exit(0));
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
}

async function run<S>(
  checked: neverthrow.Result<S, readonly string[]>,
  start: (checkedSettings: S) => Promise<kernel.Outcome<daemons.Daemon>>,
): Promise<void> {
  if (checked.isErr()) {
    reportFaults(checked.error);
    return;
  }
  const daemon = await start(checked.value);
  if (daemon.isErr()) {
    process.stderr.write(`jackdawd: ${daemon.error.message}\n`);
    process.exitCode = EXIT_FAILURE;
    return;
  }
  const { log } = daemon.value.host.services;
  // One bad event must not end a process that serves others.
  process.on("uncaughtException", (thrown) => {
    log.error(`uncaught: ${kernel.describeThrown(thrown)}`);
  });
  process.on("unhandledRejection", (thrown) => {
    log.error(`unhandled rejection: ${kernel.describeThrown(thrown)}`);
  });
  stopOnSignals(daemon.value);
  process.stdout.write(
    `${JSON.stringify({ isReady: true, ...daemon.value.ports })}\n`,
  );
}

const program = new commander.Command("jackdawd")
  .description(
    "jackdawbank's daemon; settings come from flags or JACKDAW_* variables",
  )
  .version("0.1.0");
program.addCommand(
  settings.createEntryCommand().action((options: Record<string, unknown>) =>
    run(settings.parseEntrySettings(options), daemons.startEntry)
  ),
);
program.addCommand(
  settings.createUpstreamCommand().action((options: Record<string, unknown>) =>
    run(settings.parseUpstreamSettings(options), daemons.startUpstream)
  ),
);
program.addCommand(
  platformCommand.createPlatformEntryCommand().action(
    async (options: { readonly metrics?: string }) => {
      // Loaded on demand: the other roles start without it.
      const platformEntry = await import("./platform_entry.ts");
      await platformEntry.runPlatformEntry(options);
    },
  ),
);
await program.parseAsync();
