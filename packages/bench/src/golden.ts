/**
 * Golden files of whole sessions: the merged time line of all processes, as
 * operators see it, without the values that differ between runs.
 */
import * as fs from "node:fs";
import * as url from "node:url";
import type * as kernel from "@jackdawbank/kernel";

/** Events without a request id that golden files include. */
const PROCESS_EVENTS: ReadonlySet<string> = new Set([
  "bundle.adopted",
  "gate.leaving",
  "process.draining",
  "fleet.marked-leaving",
  "claims.took-over",
  "claims.deposed",
]);

/**
 * Events that golden files omit because not every run has them: work is held
 * only if its entry's last check of the store is too long ago.
 */
const TIMING_DEPENDENT_EVENTS: ReadonlySet<string> = new Set(["gate.held"]);

/** Replaces random ids by names numbered in order of first appearance. */
class IdReplacer {
  readonly #names = new Map<string, string>();
  readonly #prefix: string;

  constructor(prefix: string) {
    this.#prefix = prefix;
  }

  replace(id: string): string {
    const known = this.#names.get(id);
    if (known !== undefined) return known;
    const name = `${this.#prefix}-${this.#names.size + 1}`;
    this.#names.set(id, name);
    return name;
  }
}

function renderEvent(
  event: kernel.TimelineEvent,
  attemptIds: IdReplacer,
): string {
  const { processId, name, attemptId, target, detail, revision } = event;
  const stableAttemptId = attemptId === undefined
    ? undefined
    : attemptIds.replace(attemptId);
  // The random end of an incarnation differs between runs.
  const stableDetail = detail?.replaceAll(/-[0-9a-f]{12}\b/g, "");
  const parts = [processId, name, stableAttemptId, target, stableDetail];
  const line = parts.filter((part) => part !== undefined).join(" ");
  return revision === undefined ? line : `${line} (revision ${revision})`;
}

/** Renders the events of each request in order, then those of each process. */
export function renderSession(events: readonly kernel.TimelineEvent[]): string {
  const requestIds = new IdReplacer("request");
  const attemptIds = new IdReplacer("attempt");
  const byRequest = new Map<string, string[]>();
  for (const event of events) {
    if (
      event.requestId === undefined || TIMING_DEPENDENT_EVENTS.has(event.name)
    ) {
      continue;
    }
    const name = requestIds.replace(event.requestId);
    const lines = byRequest.get(name) ?? [];
    lines.push(`  ${renderEvent(event, attemptIds)}`);
    byRequest.set(name, lines);
  }
  const processLines = events
    .filter((event) =>
      event.requestId === undefined && PROCESS_EVENTS.has(event.name)
    )
    .toSorted((a, b) =>
      a.processId.localeCompare(b.processId) || a.sequence - b.sequence
    )
    .map((event) => `  ${renderEvent(event, attemptIds)}`);
  const sections = [...byRequest].map(([name, lines]) =>
    [name, ...lines].join("\n")
  );
  return [...sections, ["processes", ...processLines].join("\n"), ""].join(
    "\n",
  );
}

/** Reads a golden file. With UPDATE_GOLDEN=1, writes `actual` to it first. */
export function readGolden(name: string, actual: string): string {
  const path = url.fileURLToPath(
    new URL(`../testdata/${name}.txt`, import.meta.url),
  );
  if (process.env["UPDATE_GOLDEN"] === "1") fs.writeFileSync(path, actual);
  return fs.readFileSync(path, "utf8");
}
