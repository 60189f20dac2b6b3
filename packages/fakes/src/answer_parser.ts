/**
 * Parses the answers on one connection of a caller, byte by byte as strictly as
 * a caller may: whether an answer was complete must not be left to a library.
 */

/** A final answer; `isComplete` is false if the connection ended within it. */
export interface ParsedAnswer {
  readonly status: number;
  /** By lower-case name. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
  readonly isComplete: boolean;
}

export interface AnswerListener {
  /** Called for `100 Continue`. */
  readonly onContinue: () => void;
  readonly onHead: (headers: ReadonlyMap<string, string>) => void;
  readonly onAnswer: (answer: ParsedAnswer) => void;
}

type State =
  | "head"
  | "length"
  | "to-close"
  | "chunk-size"
  | "chunk"
  | "trailer";

const HTTP_CONTINUE = 100;
const HEAD_PATTERN = /^HTTP\/1\.[01] (\d{3})/;

/** Incremental parser; throws on bytes that are no answer. */
export class AnswerParser {
  readonly #listener: AnswerListener;
  #state: State = "head";
  #text = "";
  #status = 0;
  #headers: ReadonlyMap<string, string> = new Map();
  #parts: string[] = [];
  #leftBytes = 0;

  constructor(listener: AnswerListener) {
    this.#listener = listener;
  }

  push(chunk: Buffer): void {
    this.#text += chunk.toString("latin1");
    while (this.#step());
  }

  /** Ends the answers with their connection; returns an answer that is incomplete. */
  end(wasOrderly: boolean): ParsedAnswer | undefined {
    if (this.#state === "head") return undefined;
    if (this.#state === "to-close" && wasOrderly) {
      this.#finish(true);
      return undefined;
    }
    this.#state = "head";
    this.#text = "";
    return this.#build(false);
  }

  /** Whether bytes were received that belong to no finished answer. */
  get hasRest(): boolean {
    return this.#text !== "" || this.#state !== "head";
  }

  #step(): boolean {
    switch (this.#state) {
      case "head":
        return this.#readHead();
      case "length":
      case "chunk":
        return this.#readData();
      case "to-close":
        this.#parts.push(this.#text);
        this.#text = "";
        return false;
      case "chunk-size":
        return this.#readChunkSize();
      case "trailer":
        return this.#readTrailer();
    }
  }

  #readHead(): boolean {
    const end = this.#text.indexOf("\r\n\r\n");
    if (end < 0) return false;
    const lines = this.#text.slice(0, end).split("\r\n");
    this.#text = this.#text.slice(end + 4);
    const match = HEAD_PATTERN.exec(lines[0] ?? "");
    if (match === null) throw new Error(`no answer: ${lines[0]}`);
    this.#status = Number(match[1]);
    if (this.#status === HTTP_CONTINUE) {
      this.#listener.onContinue();
      return true;
    }
    this.#headers = new Map(
      lines.slice(1).map((line) => {
        const colon = line.indexOf(":");
        return [
          line.slice(0, colon).toLowerCase(),
          line.slice(colon + 1).trim(),
        ];
      }),
    );
    this.#parts = [];
    this.#listener.onHead(this.#headers);
    const length = this.#headers.get("content-length");
    if (this.#headers.get("transfer-encoding") === "chunked") {
      this.#state = "chunk-size";
    } else if (length === undefined) this.#state = "to-close";
    else {
      this.#leftBytes = Number(length);
      this.#state = "length";
      if (this.#leftBytes === 0) this.#finish(true);
    }
    return true;
  }

  #readData(): boolean {
    const part = this.#text.slice(0, this.#leftBytes);
    if (part === "") return false;
    this.#parts.push(part);
    this.#text = this.#text.slice(part.length);
    this.#leftBytes -= part.length;
    if (this.#leftBytes > 0) return false;
    if (this.#state === "length") this.#finish(true);
    else this.#state = "chunk-size";
    return true;
  }

  /** Reads the line with a chunk's size; an empty line ends the chunk before it. */
  #readChunkSize(): boolean {
    const end = this.#text.indexOf("\r\n");
    if (end < 0) return false;
    const line = this.#text.slice(0, end);
    this.#text = this.#text.slice(end + 2);
    if (line === "") return true;
    this.#leftBytes = parseInt(line, 16);
    if (!(this.#leftBytes >= 0)) throw new Error(`no chunk size: ${line}`);
    this.#state = this.#leftBytes === 0 ? "trailer" : "chunk";
    return true;
  }

  #readTrailer(): boolean {
    const end = this.#text.indexOf("\r\n");
    if (end < 0) return false;
    this.#text = this.#text.slice(end + 2);
    if (end === 0) this.#finish(true);
    return true;
  }

  #finish(isComplete: boolean): void {
    this.#state = "head";
    this.#listener.onAnswer(this.#build(isComplete));
  }

  #build(isComplete: boolean): ParsedAnswer {
    return {
      status: this.#status,
      headers: this.#headers,
      body: this.#parts.join(""),
      isComplete,
    };
  }
}
