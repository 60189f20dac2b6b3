/** Parses and validates the YAML bundle file that operators edit; each issue has its line and column. */
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as yaml from "yaml";
import * as check from "./check.ts";
import * as schema from "./schema.ts";

/** Size limit of a bundle, set by the largest value that the platform's store accepts. */
export const MAX_BUNDLE_BYTES = 1_000_000;

/** An issue with its position in the file; lines and columns count from 1. */
export interface LocatedIssue extends check.ValidationIssue {
  readonly line: number;
  readonly column: number;
}

interface ParsedFile {
  readonly document: yaml.Document.Parsed;
  readonly lines: yaml.LineCounter;
}

/** Returns the offset of the value at a path, or of its nearest existing parent. */
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

function locateIssue(
  file: ParsedFile,
  issue: check.ValidationIssue,
): LocatedIssue {
  const position = file.lines.linePos(
    findOffset(file.document, issue.path),
  );
  return { ...issue, line: position.line, column: position.col };
}

function listIssues(data: unknown): readonly check.ValidationIssue[] {
  const parsed = schema.bundleSchema.safeParse(data);
  if (parsed.success) return check.validateBundle(parsed.data);
  return parsed.error.issues.map((issue) => ({
    path: issue.path.map((part) =>
      typeof part === "number" ? part : String(part)
    ),
    reason: issue.message,
  }));
}

/** Parses and validates a bundle file; the error lists every issue. */
export function parseBundleText(
  text: string,
): neverthrow.Result<schema.Bundle, readonly LocatedIssue[]> {
  if (Buffer.byteLength(text) > MAX_BUNDLE_BYTES) {
    const reason = `the bundle is larger than ${MAX_BUNDLE_BYTES} bytes`;
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
  const issues = listIssues(data);
  if (issues.length > 0) {
    return neverthrow.err(
      issues.map((issue) => locateIssue({ document, lines }, issue)),
    );
  }
  return neverthrow.ok(schema.bundleSchema.parse(data));
}

/** Validates bundle data that is already parsed; the error message joins all issues. */
export function parseBundleData(data: unknown): kernel.Outcome<schema.Bundle> {
  const issues = listIssues(data);
  if (issues.length === 0) {
    return neverthrow.ok(schema.bundleSchema.parse(data));
  }
  const reasons = issues.map((issue) =>
    `${issue.path.join(".")}: ${issue.reason}`
  );
  return kernel.fail("bundle-invalid", reasons.join("; "));
}

/** Renders a bundle as the YAML file that operators edit. */
export function renderBundle(bundle: schema.Bundle): string {
  return yaml.stringify(bundle);
}

/** Renders an issue as `line:column path: reason`. */
export function renderIssue(issue: LocatedIssue): string {
  const path = issue.path.length === 0 ? "bundle" : issue.path.join(".");
  return `${issue.line}:${issue.column} ${path}: ${issue.reason}`;
}
