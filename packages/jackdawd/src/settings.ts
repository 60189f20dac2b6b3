/** Settings of the daemon, from flags and `JACKDAW_*` variables. All invalid settings are reported at once. */
import * as fs from "node:fs";
import * as bundle from "@jackdawbank/bundle";
import * as kernel from "@jackdawbank/kernel";
import * as commander from "commander";
import * as neverthrow from "neverthrow";
import * as z from "zod";

const DEFAULT_DRAIN_TIMEOUT_MS = 30_000;
const MIN_SECRET_CHARS = 16;
const MAX_PORT = 65_535;
/** An idle process needs about as much. */
const MIN_MEMORY_MB = 128;
const MIN_FILE_DESCRIPTORS = 256;

/** A host and port to listen on or to send to. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

const addressSchema = z.string().transform((text, context): Address => {
  const separator = text.lastIndexOf(":");
  const port = Number(text.slice(separator + 1));
  const isValid = separator > 0 && Number.isInteger(port) && port >= 0 &&
    port <= MAX_PORT;
  if (!isValid) {
    context.addIssue({ code: "custom", message: "must be host:port" });
  }
  return { host: text.slice(0, separator), port };
});
const urlSchema = z.url({
  protocol: /^https?$/,
  error: "must be an http:// or https:// URL",
});
const millisecondsSchema = z.coerce.number("must be a number of milliseconds")
  .int().min(0);
const secretSchema = z.string({ error: "is required" }).min(
  MIN_SECRET_CHARS,
  `must have at least ${MIN_SECRET_CHARS} characters`,
);
const signersSchema = z.string({ error: "is required" }).transform(
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
      context.addIssue({
        code: "custom",
        message: "must contain at least one public key",
      });
    }
    return signers;
  },
);

const commonFields = {
  processId: z.string({ error: "is required" }).regex(
    /^[A-Za-z0-9._-]{1,64}$/,
    "must be 1 to 64 letters, digits, '.', '_' or '-'",
  ),
  dataCentre: z.string({ error: "is required" }).min(1).max(64),
  adminListen: addressSchema,
  store: urlSchema,
  signers: signersSchema,
  meshSecret: secretSchema,
  statsd: addressSchema.optional(),
  logJson: z.stringbool().or(z.boolean()).default(false),
  logLevel: z.coerce.number().int().min(0).max(5).default(3),
  drainTimeoutMs: millisecondsSchema.default(DEFAULT_DRAIN_TIMEOUT_MS),
  memoryMb: z.coerce.number().int().min(MIN_MEMORY_MB).optional(),
  fileDescriptors: z.coerce.number().int().min(MIN_FILE_DESCRIPTORS).optional(),
};

const entrySchema = z.object({
  ...commonFields,
  listen: addressSchema,
  vmList: urlSchema,
  ratings: urlSchema.optional(),
});
const upstreamSchema = z.object({
  ...commonFields,
  meshListen: addressSchema,
  upstreamUrl: urlSchema,
  type: z.enum(["model", "service"], { error: "must be 'model' or 'service'" }),
  service: z.string().optional(),
}).refine(
  (settings) => settings.type === "model" || settings.service !== undefined,
  {
    path: ["service"],
    error: "is required if --type is service",
  },
);

export type EntrySettings = z.infer<typeof entrySchema>;
export type UpstreamSettings = z.infer<typeof upstreamSchema>;
export type CommonSettings = Pick<EntrySettings, keyof typeof commonFields>;

function createOption(
  flags: string,
  variable: string,
  description: string,
): commander.Option {
  return new commander.Option(flags, description).env(variable);
}

function addCommonOptions(command: commander.Command): commander.Command {
  return command
    .addOption(
      createOption(
        "--process-id <name>",
        "JACKDAW_PROCESS_ID",
        "id of this VM in the platform's VM list",
      ),
    )
    .addOption(
      createOption(
        "--data-centre <name>",
        "JACKDAW_DATA_CENTRE",
        "data centre of this VM",
      ),
    )
    .addOption(
      createOption(
        "--admin-listen <host:port>",
        "JACKDAW_ADMIN_LISTEN",
        "address of the admin HTTP listener",
      )
        .default("127.0.0.1:0"),
    )
    .addOption(
      createOption(
        "--store <url>",
        "JACKDAW_STORE",
        "URL of the platform's key-value store",
      ),
    )
    .addOption(
      createOption(
        "--signers <keys>",
        "JACKDAW_SIGNERS",
        "public keys of accepted bundle signers, separated by commas",
      ),
    )
    .addOption(
      createOption(
        "--mesh-secret <text>",
        "JACKDAW_MESH_SECRET",
        "secret shared by all processes; prefer --mesh-secret-file",
      ),
    )
    .addOption(
      createOption(
        "--mesh-secret-file <path>",
        "JACKDAW_MESH_SECRET_FILE",
        "file that holds the mesh secret",
      ),
    )
    .addOption(
      createOption(
        "--statsd <host:port>",
        "JACKDAW_STATSD",
        "StatsD address for metrics; none are sent if absent",
      ),
    )
    .addOption(
      createOption(
        "--log-json",
        "JACKDAW_LOG_JSON",
        "write the log as JSON lines",
      ),
    )
    .addOption(
      createOption(
        "--log-level <0-5>",
        "JACKDAW_LOG_LEVEL",
        "0 errors, 1 warnings, 3 information, 4 debug",
      ),
    )
    .addOption(
      createOption(
        "--drain-timeout-ms <ms>",
        "JACKDAW_DRAIN_TIMEOUT_MS",
        "time limit for requests in flight when stopping, in milliseconds",
      )
        .default(String(DEFAULT_DRAIN_TIMEOUT_MS)),
    )
    .addOption(
      createOption(
        "--memory-mb <count>",
        "JACKDAW_MEMORY_MB",
        "memory of this process, in MB, which bounds what it holds for callers",
      ),
    )
    .addOption(
      createOption(
        "--file-descriptors <count>",
        "JACKDAW_FILE_DESCRIPTORS",
        "file descriptors of this process, which bound its connections",
      ),
    );
}

/** Declares the command `jackdawd entry`. */
export function createEntryCommand(): commander.Command {
  return addCommonOptions(new commander.Command("entry"))
    .description("run an entry process, which accepts requests from callers")
    .addOption(
      createOption(
        "--listen <host:port>",
        "JACKDAW_LISTEN",
        "address of the HTTP listener for callers",
      )
        .default("127.0.0.1:8080"),
    )
    .addOption(
      createOption(
        "--vm-list <url>",
        "JACKDAW_VM_LIST",
        "URL of the platform's VM list",
      ),
    )
    .addOption(
      createOption(
        "--ratings <url>",
        "JACKDAW_RATINGS",
        "URL of the platform's ratings service; without it, cascades follow the bundle's static rules",
      ),
    );
}

/** Declares the command `jackdawd upstream`. */
export function createUpstreamCommand(): commander.Command {
  return addCommonOptions(new commander.Command("upstream"))
    .description(
      "run the process that admits requests and forwards them to the upstream on this VM",
    )
    .addOption(
      createOption(
        "--mesh-listen <host:port>",
        "JACKDAW_MESH_LISTEN",
        "address of the mesh listener for entries",
      )
        .default("127.0.0.1:0"),
    )
    .addOption(
      createOption(
        "--upstream-url <url>",
        "JACKDAW_UPSTREAM_URL",
        "URL of the upstream on this VM",
      ),
    )
    .addOption(
      createOption(
        "--type <type>",
        "JACKDAW_TYPE",
        "type of the upstream: model or service",
      ).default(
        "model",
      ),
    )
    .addOption(
      createOption(
        "--service <name>",
        "JACKDAW_SERVICE",
        "name of the service in the bundle",
      ),
    );
}

/**
 * Reads the mesh secret from its file, unless the secret itself is given. The
 * error says why the file cannot be read.
 */
function readMeshSecret(
  raw: Readonly<Record<string, unknown>>,
): neverthrow.Result<unknown, string> {
  const path = raw["meshSecretFile"];
  if (raw["meshSecret"] !== undefined || typeof path !== "string") {
    return neverthrow.ok(raw["meshSecret"]);
  }
  try {
    return neverthrow.ok(fs.readFileSync(path, "utf8").trim());
  } catch (thrown) {
    return neverthrow.err(
      `--mesh-secret-file cannot be read: ${kernel.describeThrown(thrown)}`,
    );
  }
}

function formatFlag(path: readonly PropertyKey[]): string {
  const name = String(path[0] ?? "").replaceAll(
    /[A-Z]/g,
    (letter) => `-${letter.toLowerCase()}`,
  );
  return `--${name}`;
}

function parseSettings<Schema extends z.ZodType>(
  schema: Schema,
  raw: Readonly<Record<string, unknown>>,
): neverthrow.Result<z.infer<Schema>, readonly string[]> {
  const meshSecret = readMeshSecret(raw);
  const parsed = schema.safeParse({
    ...raw,
    meshSecret: meshSecret.unwrapOr(undefined),
  });
  if (parsed.success) return neverthrow.ok(parsed.data);
  return neverthrow.err(
    parsed.error.issues.map((issue) =>
      issue.path[0] === "meshSecret" && meshSecret.isErr()
        ? meshSecret.error
        : `${formatFlag(issue.path)} ${describeIssue(issue)}`
    ),
  );
}

function describeIssue(issue: z.core.$ZodIssue): string {
  return issue.code === "invalid_type" && issue.message.includes("undefined")
    ? "is required"
    : issue.message;
}

/** Parses the settings of an entry; the error lists every invalid setting. */
export function parseEntrySettings(
  raw: Readonly<Record<string, unknown>>,
): neverthrow.Result<EntrySettings, readonly string[]> {
  return parseSettings(entrySchema, raw);
}

/** Parses the settings of an upstream process; the error lists every invalid setting. */
export function parseUpstreamSettings(
  raw: Readonly<Record<string, unknown>>,
): neverthrow.Result<UpstreamSettings, readonly string[]> {
  return parseSettings(upstreamSchema, raw);
}
