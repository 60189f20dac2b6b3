#!/usr/bin/env node
/**
 * Command line of the daemon as it is bundled for the platform. It offers only
 * the role that runs there: loading the modules of the other roles would
 * lengthen every restart.
 */
import * as commander from "commander";
import * as platformCommand from "./platform_command.ts";
import * as platformEntry from "./platform_entry.ts";

await new commander.Command("jackdawd")
  .description("daemon of jackdawbank on the platform")
  .addCommand(
    platformCommand.createPlatformEntryCommand().action(
      platformEntry.runPlatformEntry,
    ),
  )
  .parseAsync();
