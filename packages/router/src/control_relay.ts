/**
 * Passes changes of the control plane on to the processes that do not watch it
 * themselves. It keeps the latest changes, encoded, and answers long polls over
 * HTTP; how current the answers are is not said here but in the peers' reports.
 * What is kept fits into one answer. A poll for more is refused, and its sender
 * asks the control plane.
 */
import type * as http from "node:http";
import type * as ports from "./ports.ts";
import * as sides from "./side_listener.ts";
import * as telemetry from "./telemetry.ts";

/** A longer answer would hold up a slow link; the receiver asks the control plane instead. */
const MAX_ANSWER_CHARS = 32_768;
/** Longest text of an answer beside its items. */
const ENVELOPE_CHARS = 64;
const MAX_KEPT_CHARS = MAX_ANSWER_CHARS - ENVELOPE_CHARS;
/** A change that was longer where it is stored is not encoded, which would only show that it is too long. */
const MAX_STORED_CHARS = 4 * MAX_ANSWER_CHARS;
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

/** Changes up to a revision. */
interface KeptChanges {
  readonly revision: number;
  /** Items as JSON, each followed by a comma. */
  readonly text: string;
}

/** What a relay holds at the moment. */
export interface RelayState {
  readonly keptChanges: number;
  readonly keptChars: number;
  /** Polls that wait for a change. */
  readonly polls: number;
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

/** Encodes the items of an update; `undefined` if they are too long to be kept. */
function encodeItems(
  { items, storedChars = 0 }: ports.ControlUpdate,
): string | undefined {
  if (storedChars > MAX_STORED_CHARS) return undefined;
  let text = "";
  for (const item of items) {
    text += `${JSON.stringify(item)},`;
    if (text.length > MAX_KEPT_CHARS) return undefined;
  }
  return text;
}

/** Serves the changes that one process knows. */
export class ControlRelay {
  readonly #options: ControlRelayOptions;
  readonly #server: http.Server;
  readonly #kept: KeptChanges[] = [];
  #keptChars = 0;
  /** Revision of the newest known change; absent before the first full read. */
  #revision: number | undefined;
  /** All changes after this revision, up to the newest, are kept. */
  #keptAfter = Infinity;
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

  get state(): RelayState {
    return {
      keptChanges: this.#kept.length,
      keptChars: this.#keptChars,
      polls: this.#waiting.size,
    };
  }

  /** Forgets all changes up to a revision, as after a full read; ends the polls. */
  reset(revision: number): void {
    this.#kept.length = 0;
    this.#keptChars = 0;
    this.#keptAfter = revision;
    this.#revision = revision;
    for (const answer of [...this.#waiting]) answer();
  }

  /** Keeps changes and answers the polls that wait for them. */
  record(afterRevision: number, update: ports.ControlUpdate): void {
    if (this.#revision === undefined || update.revision <= this.#revision) {
      return;
    }
    const isGap = afterRevision > this.#revision;
    const text = isGap ? undefined : encodeItems(update);
    if (text === undefined) return this.reset(update.revision);
    this.#revision = update.revision;
    if (text === "") return;
    this.#kept.push({ revision: update.revision, text });
    this.#keptChars += text.length;
    while (this.#keptChars > MAX_KEPT_CHARS) this.#forgetOldest();
    for (const answer of [...this.#waiting]) answer();
  }

  #forgetOldest(): void {
    const oldest = this.#kept.shift();
    if (oldest === undefined) return;
    this.#keptChars -= oldest.text.length;
    this.#keptAfter = oldest.revision;
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
      this.#encodeChanges(after) !== "";
  }

  /** Items after a revision as JSON, separated by commas; `undefined` if some are not kept. */
  #encodeChanges(after: number): string | undefined {
    if (after < this.#keptAfter) return undefined;
    return this.#kept.filter(({ revision }) => revision > after)
      .map(({ text }) => text).join("").slice(0, -1);
  }

  #answer(response: http.ServerResponse, after: number): void {
    const items = this.#encodeChanges(after);
    if (items === undefined) return this.#refuse(response, HTTP_GONE);
    const revision = Math.max(after, this.#revision ?? after);
    this.#options.onAnswer(items === "" ? "empty" : "changes");
    response.writeHead(HTTP_OK, { "content-type": "application/json" });
    response.end(`{"items":[${items}],"revision":${revision}}`);
  }

  #refuse(response: http.ServerResponse, status: number): void {
    this.#options.onAnswer("refused");
    response.writeHead(status).end();
  }
}
