#!/usr/bin/env node
/**
 * The daemon as it is bundled for the platform: the one role that runs there,
 * without the modules of the others, since start-up time counts after a restart.
 */
import * as commander from "commander";
import * as platformCommand from "./platform_command.ts";
import * as platformEntry from "./platform_entry.ts";

await new commander.Command("jackdawd")
  .description("jackdawbank's daemon on the platform")
  .addCommand(
    platformCommand.createPlatformEntryCommand().action(
      platformEntry.runPlatformEntry,
    ),
  )
  .parseAsync();
