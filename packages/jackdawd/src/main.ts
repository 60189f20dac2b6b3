#!/usr/bin/env node
/** Command line of the daemon `jackdawd`. */
import * as kernel from "@jackdawbank/kernel";
import * as commander from "commander";
import type * as neverthrow from "neverthrow";
import * as daemons from "./daemon.ts";
import * as platformCommand from "./platform_command.ts";
import * as settings from "./settings.ts";

const EXIT_FAILURE = 1;
const EXIT_BAD_SETTINGS = 2;

function reportErrors(errors: readonly string[]): void {
  for (const error of errors) process.stderr.write(`jackdawd: ${error}\n`);
  process.exitCode = EXIT_BAD_SETTINGS;
}

function stopOnSignals(daemon: daemons.Daemon): void {
  let isStopping = false;
  const stop = (signal: NodeJS.Signals) => {
    // A second signal must not interrupt the orderly stop that the first one began.
    if (isStopping) return;
    isStopping = true;
    void daemons.stopDaemon(daemon, signal).then(() => process.exit(0));
  };
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
}

async function runDaemon<Settings>(
  parsed: neverthrow.Result<Settings, readonly string[]>,
  start: (parsedSettings: Settings) => Promise<kernel.Outcome<daemons.Daemon>>,
): Promise<void> {
  if (parsed.isErr()) {
    reportErrors(parsed.error);
    return;
  }
  const daemon = await start(parsed.value);
  if (daemon.isErr()) {
    process.stderr.write(`jackdawd: ${daemon.error.message}\n`);
    process.exitCode = EXIT_FAILURE;
    return;
  }
  const { log } = daemon.value.host.services;
  // An exception in one event handler must not end a process that serves other requests.
  process.on("uncaughtException", (thrown) => {
    log.error(`uncaught exception: ${kernel.describeThrown(thrown)}`);
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
    runDaemon(settings.parseEntrySettings(options), daemons.startEntry)
  ),
);
program.addCommand(
  settings.createUpstreamCommand().action((options: Record<string, unknown>) =>
    runDaemon(settings.parseUpstreamSettings(options), daemons.startUpstream)
  ),
);
program.addCommand(
  platformCommand.createPlatformEntryCommand().action(
    async (options: { readonly metrics?: string }) => {
      // Loaded on demand, because the other roles do not need it.
      const platformEntry = await import("./platform_entry.ts");
      await platformEntry.runPlatformEntry(options);
    },
  ),
);
await program.parseAsync();
