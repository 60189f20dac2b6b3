/**
 * Passes changes of the control plane on to the processes that do not watch it
 * themselves. It keeps the latest changes and answers long polls over HTTP; how
 * current the answers are is not said here but in the peers' reports.
 */
import type * as http from "node:http";
import type * as ports from "./ports.ts";
import * as sides from "./side_listener.ts";
import * as telemetry from "./telemetry.ts";

/** Changes with more items in total are not kept; who needs them asks the control plane. */
const MAX_KEPT_ITEMS = 1_024;
/** A longer answer would hold up a slow link; the receiver asks the control plane instead. */
const MAX_ANSWER_CHARS = 32_768;
const MAX_WAIT_MS = 30_000;
const MAX_CONNECTIONS = 256;
/** Longer than the longest poll. */
const IDLE_TIMEOUT_MS = MAX_WAIT_MS + 10_000;
/** Changes with the meaning of revisions and the layout, so that other builds are not asked. */
const PATH = "/changes/2";
const HTTP_OK = 200;
const HTTP_FORBIDDEN = 403;
const HTTP_NOT_FOUND = 404;
/** The answer to a poll that this process cannot serve. */
const HTTP_GONE = 410;

/** Changes after one revision, up to another. */
interface KeptChanges {
  readonly afterRevision: number;
  readonly update: ports.ControlUpdate;
}

/** Number and size of the changes that are kept. */
export interface KeptSize {
  readonly count: number;
  readonly chars: number;
}

export interface ControlRelayOptions {
  /** Whether a host is that of a process of the installation. */
  readonly isPeerHost: (host: string) => boolean;
  readonly onAnswer: (what: "changes" | "empty" | "refused") => void;
}

/** Path of a poll for the changes after a revision. */
export function buildRelayPath(afterRevision: number, waitMs: number): string {
  const query = new URLSearchParams({
    after: String(afterRevision),
    waitMs: String(waitMs),
  });
  return `${PATH}?${query}`;
}

/** Parses an answer; `undefined` if it is not one, or refuses the poll. */
export function parseRelayAnswer(
  status: number,
  text: string,
): ports.ControlUpdate | undefined {
  if (status !== HTTP_OK) return undefined;
  try {
    const data: unknown = JSON.parse(text);
    if (typeof data !== "object" || data === null) return undefined;
    const { revision, items } = data as Partial<ports.ControlUpdate>;
    const isValid = Number.isSafeInteger(revision) && Array.isArray(items) &&
      items.every((item) => typeof item?.type === "string");
    return isValid
      ? { revision: revision as number, items: items as ports.ControlItem[] }
      : undefined;
  } catch {
    return undefined;
  }
}

/** Serves the changes that one process knows. */
export class ControlRelay {
  readonly #options: ControlRelayOptions;
  readonly #server: http.Server;
  readonly #kept: KeptChanges[] = [];
  #keptItems = 0;
  #revision: number | undefined;
  readonly #waiting = new Set<() => void>();

  constructor(options: ControlRelayOptions) {
    this.#options = options;
    this.#server = sides.createSideServer(
      { maxConnections: MAX_CONNECTIONS, idleTimeoutMs: IDLE_TIMEOUT_MS },
      (request, response) => this.#handleRequest(request, response),
    );
  }

  listen(address: ports.Address): Promise<number> {
    return telemetry.listen(this.#server, address);
  }

  get keptSize(): KeptSize {
    return {
      count: this.#kept.length,
      chars: this.#kept.reduce(
        (sum, { update }) => sum + (update.storedChars ?? 0),
        0,
      ),
    };
  }

  /** Starts anew from a full read, after which earlier changes are not known; ends the polls. */
  reset(revision: number): void {
    this.#kept.length = 0;
    this.#keptItems = 0;
    this.#revision = revision;
    for (const answer of [...this.#waiting]) answer();
  }

  /** Keeps changes and answers the polls that wait for them. */
  record(afterRevision: number, update: ports.ControlUpdate): void {
    if (this.#revision === undefined || update.revision <= this.#revision) {
      return;
    }
    if (afterRevision > this.#revision) return this.reset(update.revision);
    this.#kept.push({ afterRevision, update });
    this.#keptItems += update.items.length;
    while (this.#keptItems > MAX_KEPT_ITEMS && this.#kept.length > 1) {
      this.#keptItems -= this.#kept.shift()?.update.items.length ?? 0;
    }
    this.#revision = update.revision;
    if (update.items.length === 0) return;
    for (const answer of [...this.#waiting]) answer();
  }

  close(): void {
    for (const answer of [...this.#waiting]) answer();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const host = request.socket.remoteAddress ?? "";
    if (!this.#options.isPeerHost(host.replace(/^::ffff:/, ""))) {
      return this.#refuse(response, HTTP_FORBIDDEN);
    }
    const url = new URL(request.url ?? "", "http://relay");
    if (url.pathname !== PATH) return this.#refuse(response, HTTP_NOT_FOUND);
    const after = Number(url.searchParams.get("after"));
    const waitMs = Number(url.searchParams.get("waitMs"));
    if (!Number.isSafeInteger(after) || !Number.isFinite(waitMs)) {
      return this.#refuse(response, HTTP_NOT_FOUND);
    }
    this.#answerWhenChanged(response, after, Math.min(MAX_WAIT_MS, waitMs));
  }

  #answerWhenChanged(
    response: http.ServerResponse,
    after: number,
    waitMs: number,
  ): void {
    const answer = () => {
      clearTimeout(timer);
      this.#waiting.delete(answer);
      if (response.destroyed) return;
      this.#answer(response, after);
    };
    const timer = setTimeout(answer, Math.max(0, waitMs));
    this.#waiting.add(answer);
    response.once("close", () => {
      clearTimeout(timer);
      this.#waiting.delete(answer);
    });
    if (this.#hasChangesAfter(after)) answer();
  }

  #hasChangesAfter(after: number): boolean {
    return this.#revision !== undefined &&
      (this.#findChanges(after)?.length ?? 1) > 0;
  }

  /** Items after a revision; `undefined` if some of them are no longer known. */
  #findChanges(after: number): readonly ports.ControlItem[] | undefined {
    const changes = this.#kept.filter(({ update }) => update.revision > after);
    const [first] = changes;
    const isKnown = first === undefined
      ? after >= (this.#revision ?? Infinity)
      : first.afterRevision <= after;
    return isKnown ? changes.flatMap(({ update }) => update.items) : undefined;
  }

  #answer(response: http.ServerResponse, after: number): void {
    const items = this.#findChanges(after);
    const text = items === undefined ? "" : JSON.stringify({
      items,
      revision: Math.max(after, this.#revision ?? after),
    });
    if (items === undefined || text.length > MAX_ANSWER_CHARS) {
      return this.#refuse(response, HTTP_GONE);
    }
    this.#options.onAnswer(items.length > 0 ? "changes" : "empty");
    response.writeHead(HTTP_OK, { "content-type": "application/json" });
    response.end(text);
  }

  #refuse(response: http.ServerResponse, status: number): void {
    this.#options.onAnswer("refused");
    response.writeHead(status).end();
  }
}
