/** Command line of the role `platform-entry`, which both `main.ts` and `platform_main.ts` offer. */
import * as commander from "commander";

/** Declares the command; the caller adds the action. */
export function createPlatformEntryCommand(): commander.Command {
  return new commander.Command("platform-entry")
    .description(
      "run an entry on the platform, with the settings in the platform's file",
    )
    .option(
      "--metrics <port/path>",
      "port and path where Prometheus metrics are served",
    );
}
