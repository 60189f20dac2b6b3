/** Output and exit codes of `jackdawctl`. */
import * as kernel from "@jackdawbank/kernel";

/** Exit codes; keep the list in the text of `--help` up to date. */
export const EXIT_CODES = {
  ok: 0,
  failure: 1,
  invalid: 2,
  conflict: 3,
  unknown: 4,
} as const;

const EXIT_CODE_BY_ERROR_KIND: Partial<Record<kernel.ErrorKind, number>> = {
  "bad-request": EXIT_CODES.invalid,
  "bundle-invalid": EXIT_CODES.invalid,
  "bundle-unsigned": EXIT_CODES.invalid,
  "settings-invalid": EXIT_CODES.invalid,
  "unknown-model": EXIT_CODES.invalid,
  "bundle-conflict": EXIT_CODES.conflict,
  "bundle-stale": EXIT_CODES.conflict,
  "store-unavailable": EXIT_CODES.unknown,
  "store-nonsense": EXIT_CODES.unknown,
};

/** Prints data as one JSON line, or as text made by `render`. */
export function printData<T>(
  data: T,
  options: { readonly json?: boolean },
  render: (data: T) => string,
): void {
  const text = options.json === true ? JSON.stringify(data) : render(data);
  process.stdout.write(text.endsWith("\n") || text === "" ? text : `${text}\n`);
}

/** Prints a warning; the exit code stays. */
export function warn(message: string): void {
  process.stderr.write(`jackdawctl: warning: ${message}\n`);
}

/** Prints an error and sets the exit code. */
export function reportError(error: kernel.AppError): void {
  process.stderr.write(`jackdawctl: ${error.message}\n`);
  process.exitCode = EXIT_CODE_BY_ERROR_KIND[error.kind] ?? EXIT_CODES.failure;
}

/** Renders a header and rows as left-aligned columns. */
export function renderTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const all = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...all.map((row) => (row[column] ?? "").length))
  );
  return all
    .map((row) =>
      row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
        .trimEnd()
    )
    .join("\n");
}
