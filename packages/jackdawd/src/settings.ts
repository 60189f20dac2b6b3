/** Settings of the daemon: flags and `JACKDAW_*` variables, all faults reported at once. */
import * as fs from "node:fs";
import * as bundle from "@jackdawbank/bundle";
import * as commander from "commander";
import * as neverthrow from "neverthrow";
import * as z from "zod";

const DEFAULT_DRAIN_TIMEOUT_MS = 30_000;
const MIN_SECRET_CHARS = 16;
const LAST_PORT = 65_535;

/** An address to listen on. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

const addressSchema = z.string().transform((text, context): Address => {
  const at = text.lastIndexOf(":");
  const port = Number(text.slice(at + 1));
  const isValid = at > 0 && Number.isInteger(port) && port >= 0 &&
    port <= LAST_PORT;
  if (!isValid) {
    context.addIssue({ code: "custom", message: "must be host:port" });
  }
  return { host: text.slice(0, at), port };
});
const urlSchema = z.url({
  protocol: /^https?$/,
  error: "must be an http:// or https:// URL",
});
const millisecondsSchema = z.coerce.number("must be a number of milliseconds")
  .int().min(0);
const secretSchema = z.string({ error: "is needed" }).min(
  MIN_SECRET_CHARS,
  `must have at least ${MIN_SECRET_CHARS} characters`,
);
const signersSchema = z.string({ error: "is needed" }).transform(
  (text, context) => {
    const signers = new Map<string, bundle.Signer>();
    for (
      const key of text.split(",").map((part) => part.trim()).filter((part) =>
        part !== ""
      )
    ) {
      const signer = bundle.parseSigner(key);
      if (signer.isErr()) {
        context.addIssue({ code: "custom", message: signer.error.message });
      } else signers.set(signer.value.signerId, signer.value);
    }
    if (signers.size === 0) {
      context.addIssue({ code: "custom", message: "names no signer" });
    }
    return signers;
  },
);

const commonShape = {
  processId: z.string({ error: "is needed" }).regex(
    /^[A-Za-z0-9._-]{1,64}$/,
    "must be 1 to 64 letters, digits, '.', '_' or '-'",
  ),
  dataCentre: z.string({ error: "is needed" }).min(1).max(64),
  adminListen: addressSchema,
  store: urlSchema,
  signers: signersSchema,
  meshSecret: secretSchema,
  statsd: addressSchema.optional(),
  logJson: z.stringbool().or(z.boolean()).default(false),
  logLevel: z.coerce.number().int().min(0).max(5).default(3),
  drainTimeoutMs: millisecondsSchema.default(DEFAULT_DRAIN_TIMEOUT_MS),
};

const entrySchema = z.object({
  ...commonShape,
  listen: addressSchema,
  vmList: urlSchema,
  ratings: urlSchema.optional(),
});
const upstreamSchema = z.object({
  ...commonShape,
  meshListen: addressSchema,
  upstreamUrl: urlSchema,
  type: z.enum(["model", "service"], { error: "must be 'model' or 'service'" }),
  service: z.string().optional(),
}).refine(
  (settings) => settings.type === "model" || settings.service !== undefined,
  {
    path: ["service"],
    error: "is needed when type is 'service'",
  },
);

export type EntrySettings = z.infer<typeof entrySchema>;
export type UpstreamSettings = z.infer<typeof upstreamSchema>;
export type CommonSettings = Pick<EntrySettings, keyof typeof commonShape>;

function option(
  flags: string,
  variable: string,
  description: string,
): commander.Option {
  return new commander.Option(flags, description).env(variable);
}

function addCommonOptions(command: commander.Command): commander.Command {
  return command
    .addOption(
      option(
        "--process-id <name>",
        "JACKDAW_PROCESS_ID",
        "id of this VM in the VM list",
      ),
    )
    .addOption(
      option(
        "--data-centre <name>",
        "JACKDAW_DATA_CENTRE",
        "data centre of this VM",
      ),
    )
    .addOption(
      option(
        "--admin-listen <host:port>",
        "JACKDAW_ADMIN_LISTEN",
        "admin HTTP listener",
      )
        .default("127.0.0.1:0"),
    )
    .addOption(
      option(
        "--store <url>",
        "JACKDAW_STORE",
        "the platform's key-value service",
      ),
    )
    .addOption(
      option(
        "--signers <keys>",
        "JACKDAW_SIGNERS",
        "public keys that may sign bundles, with commas",
      ),
    )
    .addOption(
      option(
        "--mesh-secret <text>",
        "JACKDAW_MESH_SECRET",
        "secret shared by all processes; prefer the file",
      ),
    )
    .addOption(
      option(
        "--mesh-secret-file <path>",
        "JACKDAW_MESH_SECRET_FILE",
        "file that holds the mesh secret",
      ),
    )
    .addOption(
      option(
        "--statsd <host:port>",
        "JACKDAW_STATSD",
        "where metrics go; none when absent",
      ),
    )
    .addOption(option("--log-json", "JACKDAW_LOG_JSON", "log as JSON lines"))
    .addOption(
      option(
        "--log-level <0-5>",
        "JACKDAW_LOG_LEVEL",
        "0 errors, 1 warnings, 3 information, 4 debug",
      ),
    )
    .addOption(
      option(
        "--drain-timeout-ms <ms>",
        "JACKDAW_DRAIN_TIMEOUT_MS",
        "longest wait for work in flight, in milliseconds",
      )
        .default(String(DEFAULT_DRAIN_TIMEOUT_MS)),
    );
}

/** Builds `jackdawd entry`. */
export function createEntryCommand(): commander.Command {
  return addCommonOptions(new commander.Command("entry"))
    .description("run an entry: speaks to callers")
    .addOption(
      option("--listen <host:port>", "JACKDAW_LISTEN", "callers' HTTP listener")
        .default("127.0.0.1:8080"),
    )
    .addOption(
      option("--vm-list <url>", "JACKDAW_VM_LIST", "the platform's VM list"),
    )
    .addOption(
      option(
        "--ratings <url>",
        "JACKDAW_RATINGS",
        "the platform's ratings; without it the bundle's static rules decide",
      ),
    );
}

/** Builds `jackdawd upstream`. */
export function createUpstreamCommand(): commander.Command {
  return addCommonOptions(new commander.Command("upstream"))
    .description("run beside one upstream: the last gate")
    .addOption(
      option(
        "--mesh-listen <host:port>",
        "JACKDAW_MESH_LISTEN",
        "listener for entries",
      )
        .default("127.0.0.1:0"),
    )
    .addOption(
      option(
        "--upstream-url <url>",
        "JACKDAW_UPSTREAM_URL",
        "the upstream of this VM",
      ),
    )
    .addOption(
      option("--type <type>", "JACKDAW_TYPE", "model or service").default(
        "model",
      ),
    )
    .addOption(
      option(
        "--service <name>",
        "JACKDAW_SERVICE",
        "the service's name in the bundle",
      ),
    );
}

/** Reads the secret's file, unless the secret was given itself. */
function readSecretFile(
  raw: Readonly<Record<string, unknown>>,
): Readonly<Record<string, unknown>> {
  const path = raw["meshSecretFile"];
  if (raw["meshSecret"] !== undefined || typeof path !== "string") return raw;
  try {
    return { ...raw, meshSecret: fs.readFileSync(path, "utf8").trim() };
  } catch {
    return raw;
  }
}

function toFlag(path: readonly PropertyKey[]): string {
  const name = String(path[0] ?? "").replaceAll(
    /[A-Z]/g,
    (letter) => `-${letter.toLowerCase()}`,
  );
  return `--${name}`;
}

function check<S extends z.ZodType>(
  schema: S,
  raw: Readonly<Record<string, unknown>>,
): neverthrow.Result<z.infer<S>, readonly string[]> {
  const parsed = schema.safeParse(readSecretFile(raw));
  if (parsed.success) return neverthrow.ok(parsed.data);
  return neverthrow.err(
    parsed.error.issues.map((issue) =>
      `${toFlag(issue.path)} ${describeIssue(issue)}`
    ),
  );
}

function describeIssue(issue: z.core.$ZodIssue): string {
  return issue.code === "invalid_type" && issue.message.includes("undefined")
    ? "is needed"
    : issue.message;
}

/** Checks the settings of an entry; a failure lists every fault. */
export function parseEntrySettings(
  raw: Readonly<Record<string, unknown>>,
): neverthrow.Result<EntrySettings, readonly string[]> {
  return check(entrySchema, raw);
}

/** Checks the settings of an upstream process; a failure lists every fault. */
export function parseUpstreamSettings(
  raw: Readonly<Record<string, unknown>>,
): neverthrow.Result<UpstreamSettings, readonly string[]> {
  return check(upstreamSchema, raw);
}
