/** Reads the bundle file that operators edit (YAML), with the place of every fault. */
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as yaml from "yaml";
import * as check from "./check.ts";
import * as schema from "./schema.ts";

/** Largest bundle text, bounded by the values that the platform's store holds. */
export const MAX_BUNDLE_BYTES = 1_000_000;

/** A fault with its place in the file; lines and columns count from 1. */
export interface LocatedIssue extends check.ValidationIssue {
  readonly line: number;
  readonly column: number;
}

interface ParsedText {
  readonly document: yaml.Document.Parsed;
  readonly lines: yaml.LineCounter;
}

function findOffset(
  document: yaml.Document.Parsed,
  path: check.ValidationIssue["path"],
): number {
  for (let depth = path.length; depth >= 0; depth -= 1) {
    const node = document.getIn(path.slice(0, depth), true);
    if (yaml.isNode(node) && node.range) return node.range[0];
  }
  return 0;
}

function placeFault(
  text: ParsedText,
  fault: check.ValidationIssue,
): LocatedIssue {
  const position = text.lines.linePos(findOffset(text.document, fault.path));
  return { ...fault, line: position.line, column: position.col };
}

function listSchemaFaults(data: unknown): readonly check.ValidationIssue[] {
  const parsed = schema.bundleSchema.safeParse(data);
  if (parsed.success) return check.validateBundle(parsed.data);
  return parsed.error.issues.map((issue) => ({
    path: issue.path.map((part) =>
      typeof part === "number" ? part : String(part)
    ),
    reason: issue.message,
  }));
}

/** Parses and checks a bundle file; a failure lists every fault. */
export function parseBundleText(
  text: string,
): neverthrow.Result<schema.Bundle, readonly LocatedIssue[]> {
  if (Buffer.byteLength(text) > MAX_BUNDLE_BYTES) {
    const reason = `the bundle is over ${MAX_BUNDLE_BYTES} bytes`;
    return neverthrow.err([{ path: [], reason, line: 1, column: 1 }]);
  }
  const lines = new yaml.LineCounter();
  const document = yaml.parseDocument(text, { lineCounter: lines });
  if (document.errors.length > 0) {
    return neverthrow.err(document.errors.map((error) => ({
      path: [],
      reason: error.message.split("\n")[0] ?? error.code,
      line: error.linePos?.[0].line ?? 1,
      column: error.linePos?.[0].col ?? 1,
    })));
  }
  const data: unknown = document.toJS({ maxAliasCount: 100 });
  const faults = listSchemaFaults(data);
  if (faults.length > 0) {
    return neverthrow.err(
      faults.map((fault) => placeFault({ document, lines }, fault)),
    );
  }
  return neverthrow.ok(schema.bundleSchema.parse(data));
}

/** Checks bundle data that came over the wire; the error joins all faults. */
export function parseBundleData(data: unknown): kernel.Outcome<schema.Bundle> {
  const faults = listSchemaFaults(data);
  if (faults.length === 0) {
    return neverthrow.ok(schema.bundleSchema.parse(data));
  }
  const reasons = faults.map((fault) =>
    `${fault.path.join(".")}: ${fault.reason}`
  );
  return kernel.fail("bundle-invalid", reasons.join("; "));
}

/** Renders a bundle as the file that operators edit. */
export function renderBundle(bundle: schema.Bundle): string {
  return yaml.stringify(bundle);
}

/** Renders a fault as `line:column path: reason`. */
export function renderIssue(fault: LocatedIssue): string {
  const path = fault.path.length === 0 ? "bundle" : fault.path.join(".");
  return `${fault.line}:${fault.column} ${path}: ${fault.reason}`;
}
