/** The command line of the entry on the platform, shared by both programs that run it. */
import * as commander from "commander";

/** Declares the command; the program adds what it does. */
export function createPlatformEntryCommand(): commander.Command {
  return new commander.Command("platform-entry")
    .description("run an entry whose settings come from the platform's file")
    .option("--metrics <port/path>", "where metrics are served as text");
}
