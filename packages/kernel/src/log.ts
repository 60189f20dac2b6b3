/** Structured logs through consola: one line per event to standard error, optionally as JSON. */
import * as consola from "consola";

export type Logger = consola.ConsolaInstance;

export interface LogOptions {
  readonly processId: string;
  readonly isJson: boolean;
  /** consola's level: 0 errors, 1 warnings, 3 information, 4 debug. */
  readonly level: number;
}

/** Field names whose values are redacted. */
const SECRET_FIELDS = new Set([
  "authorization",
  "key",
  "apiKey",
  "secret",
  "meshSecret",
  "token",
]);

function redactSecrets(name: string, value: unknown): unknown {
  return SECRET_FIELDS.has(name) ? "[redacted]" : value;
}

function formatArgument(argument: unknown): string {
  return typeof argument === "string"
    ? argument
    : JSON.stringify(argument, redactSecrets);
}

/** Creates the logger of a process. */
export function createLogger(options: LogOptions): Logger {
  const reporter: consola.ConsolaReporter = {
    log(entry) {
      const message = entry.args.map(formatArgument).join(" ");
      const line = options.isJson
        ? JSON.stringify({
          time: entry.date.toISOString(),
          level: entry.type,
          processId: options.processId,
          message,
        })
        : `${entry.date.toISOString()} ${entry.type} ${options.processId} ${message}`;
      process.stderr.write(`${line.replaceAll("\n", " ")}\n`);
    },
  };
  return consola.createConsola({ level: options.level, reporters: [reporter] });
}
