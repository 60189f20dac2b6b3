/** Bytes without end in place of a response, or of a part of it. */
import type * as net from "node:net";

/** The part of the response that never ends. */
export type EndlessPart =
  | "garbage"
  | "header-line"
  | "headers"
  | "informational"
  | "body"
  | "chunk-extension"
  | "failure-body"
  | "event"
  | "blank-lines"
  | "chunk-size"
  | "chunks-of-a-byte"
  | "trailers"
  | "comments"
  | "comment-chunks"
  | "small-events"
  | "small-event-chunks";

/** Large enough to exceed any bound within a second. */
const BLOCK_BYTES = 65_536;

const UNITS_PER_CHUNK = 1_000;

interface EndlessText {
  /** Sent once. */
  readonly start: string;
  /** Repeated until the connection is closed. */
  readonly unit: string;
}

function renderHead(
  status: number,
  headers: Readonly<Record<string, string>>,
): string {
  const lines = Object.entries(headers).map(([name, value]) =>
    `${name}: ${value}\r\n`
  );
  return `HTTP/1.1 ${status} Status\r\n${lines.join("")}`;
}

function renderChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function buildText(
  part: EndlessPart,
  signedHeaders: Readonly<Record<string, string>>,
): EndlessText {
  const head = renderHead(200, {
    ...signedHeaders,
    "content-type": "text/event-stream",
  });
  const chunked = "transfer-encoding: chunked\r\n\r\n";
  const chunk = renderChunk("x".repeat(0x1000));
  const comment = ": k\n\n";
  const event = "data: x\n\n";
  switch (part) {
    case "garbage":
      return { start: "", unit: "\u0000?" };
    case "header-line":
      return { start: `${head}x-long: `, unit: "x" };
    case "headers":
      return { start: head, unit: "x-more: 1\r\n" };
    case "informational":
      return { start: "", unit: "HTTP/1.1 103 Early Hints\r\n\r\n" };
    case "body":
    case "event":
      return { start: `${head}${chunked}`, unit: chunk };
    case "chunk-extension":
      return { start: `${head}${chunked}1;`, unit: "x" };
    case "failure-body":
      return {
        start: `${renderHead(500, signedHeaders)}${chunked}`,
        unit: chunk,
      };
    case "blank-lines":
      return { start: "", unit: "\r\n" };
    case "chunk-size":
      return { start: `${head}${chunked}`, unit: "0" };
    case "chunks-of-a-byte":
      return { start: `${head}${chunked}`, unit: renderChunk("x") };
    case "trailers":
      return { start: `${head}${chunked}0\r\n`, unit: "x-more: 1\r\n" };
    case "comments":
      return {
        start: `${head}${chunked}`,
        unit: renderChunk(comment.repeat(UNITS_PER_CHUNK)),
      };
    case "comment-chunks":
      return { start: `${head}${chunked}`, unit: renderChunk(comment) };
    case "small-events":
      return {
        start: `${head}${chunked}`,
        unit: renderChunk(event.repeat(UNITS_PER_CHUNK)),
      };
    case "small-event-chunks":
      return { start: `${head}${chunked}`, unit: renderChunk(event) };
  }
}

/** Writes to the socket, as fast as it is read, until it closes. */
export function sendEndlessBytes(
  socket: net.Socket,
  part: EndlessPart,
  signedHeaders: Readonly<Record<string, string>>,
): void {
  const { start, unit } = buildText(part, signedHeaders);
  const block = unit.repeat(Math.ceil(BLOCK_BYTES / unit.length));
  const writeMore = () => {
    while (!socket.destroyed && socket.write(block));
  };
  socket.on("drain", writeMore);
  socket.write(start);
  writeMore();
}
