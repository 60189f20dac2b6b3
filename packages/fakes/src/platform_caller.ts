/** HTTP client of callers on the platform: one connection per request unless an agent is given. */
import * as http from "node:http";
import * as samples from "./platform_sample.ts";

/** A response as the caller received it. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the connection closed before the response was complete. */
  readonly isTruncated: boolean;
}

export interface CallOptions {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** The sample account's key by default; `undefined` sends no key. */
  readonly key?: string | undefined;
  readonly signal?: AbortSignal;
  readonly agent?: http.Agent;
}

/** Headers of a caller that waits for long, whatever the machine's speed. */
export const PATIENT_HEADERS: Readonly<Record<string, string>> = {
  "x-jackdawbank-deadline-ms": "20000",
};

/** Head of a patient caller's request as raw text, without the line that announces its body. */
export function renderHead(route: string, extraLines = ""): string {
  const patience = Object.entries(PATIENT_HEADERS)
    .map(([name, value]) => `${name}: ${value}\r\n`).join("");
  return `POST ${route} HTTP/1.1\r\nhost: ${samples.HOST}\r\n` +
    `authorization: Token ${samples.KEY}\r\nx-jackdawbank-attempt-id: crowd\r\n` +
    `${patience}${extraLines}`;
}

/** Ids of the events of a stream's body, in order. */
export function listEventIds(body: string): readonly number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
}

/** Sends requests, each with its own attempt id. */
export class PlatformCaller {
  readonly #getPort: () => number;
  #attempts = 0;

  constructor(getPort: () => number) {
    this.#getPort = getPort;
  }

  call(
    path: string,
    options: CallOptions = {},
  ): Promise<CallerResponse> {
    this.#attempts += 1;
    const key = "key" in options ? options.key : samples.KEY;
    const request = http.request({
      host: "127.0.0.1",
      port: this.#getPort(),
      path,
      method: options.method ?? "GET",
      agent: options.agent ?? false,
      ...(options.signal === undefined ? {} : { signal: options.signal }),
      headers: {
        host: samples.HOST,
        "x-jackdawbank-attempt-id": `attempt-${this.#attempts}`,
        "x-jackdawbank-deadline-ms": "5000",
        ...(key === undefined ? {} : { authorization: `Token ${key}` }),
        ...options.headers,
      },
    });
    request.end(options.body);
    return receiveResponse(request);
  }
}

function receiveResponse(request: http.ClientRequest): Promise<CallerResponse> {
  return new Promise((resolve, reject) => {
    request.on("error", reject);
    request.on("response", (response) => {
      let body = "";
      response.setEncoding("utf8");
      response.on("data", (text: string) => body += text);
      response.on("error", () => {});
      response.on("close", () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body,
          isTruncated: !response.complete,
        }));
    });
  });
}
