/**
 * Bundles the programs that tests and measurements start. A bundled program starts in a fraction of the processor time that loading its
 * modules one by one takes, so that tests which start many also pass on a busy
 * machine.
 */
import * as url from "node:url";
import * as esbuild from "esbuild";
import * as processes from "./processes.ts";

const PACKAGES = url.fileURLToPath(new URL("../../", import.meta.url));
/** Modules in CommonJS format need `require`, which ES modules do not have. */
const REQUIRE_BANNER =
  "import { createRequire as __createRequire } from 'node:module'; " +
  "const require = __createRequire(import.meta.url);";

await esbuild.build({
  entryPoints: processes.PROGRAM_NAMES.map((name) => ({
    in: `${PACKAGES}${name}/src/main.ts`,
    out: name,
  })),
  outdir: processes.PROGRAM_FOLDER,
  outExtension: { ".js": ".mjs" },
  bundle: true,
  // Roles are imported when they are run. In one file, their modules would be wrapped
  // in functions, which does not work for modules that await at the top level.
  splitting: true,
  conditions: ["source"],
  platform: "node",
  target: "node20",
  format: "esm",
  // A native module that its user loads only if it is there.
  external: ["unix-dgram"],
  banner: { js: REQUIRE_BANNER },
  logLevel: "warning",
});
