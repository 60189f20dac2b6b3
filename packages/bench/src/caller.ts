/** HTTP client of tests and measurements; tells complete responses from truncated ones. */
import * as crypto from "node:crypto";
import * as undici from "undici";

/** A chat request. */
export interface ChatOptions {
  readonly model: string;
  readonly prompt?: string;
  readonly isStreamed?: boolean;
  readonly session?: string;
  readonly idempotencyKey?: string;
  readonly deadlineMs?: number;
  readonly maxTokens?: number;
  readonly signal?: AbortSignal;
}

/** Result of a call as the caller sees it. */
export interface CallResult {
  readonly status: number;
  /** Whether the whole body arrived; for chat, also with status 200 and a valid completion. */
  readonly isComplete: boolean;
  readonly text: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly errorKind: string | undefined;
  readonly notRun: true | "unknown" | undefined;
  readonly firstByteMs: number;
  readonly totalMs: number;
  readonly prompt: string;
}

interface ErrorBody {
  readonly error?: {
    readonly type?: string;
    readonly not_run?: true | "unknown";
  };
}

function flattenHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Readonly<Record<string, string>> {
  return Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [name, String(value ?? "")]),
  );
}

function parseError(text: string): ErrorBody {
  try {
    return JSON.parse(text) as ErrorBody;
  } catch {
    return {};
  }
}

/** Joins the text of a streamed response; `undefined` without its end marker. */
export function joinStreamedText(text: string): string | undefined {
  const lines = text.split("\n").filter((line) => line.startsWith("data: "));
  const data = lines.map((line) => line.slice("data: ".length));
  if (data.at(-1) !== "[DONE]") return undefined;
  return data.slice(0, -1).map((line) => {
    const chunk = JSON.parse(line) as {
      readonly choices: readonly {
        readonly delta: { readonly content?: string };
      }[];
    };
    return chunk.choices[0]?.delta.content ?? "";
  }).join("");
}

function parseCompletionText(text: string): string | undefined {
  try {
    const completion = JSON.parse(text) as {
      readonly choices: readonly {
        readonly message: { readonly content: string };
      }[];
    };
    return completion.choices[0]?.message.content;
  } catch {
    return undefined;
  }
}

/** Calls one entry with the key of one account. */
export class Caller {
  readonly #url: string;
  readonly #key: string;
  readonly #agent: undici.Agent;

  constructor(
    url: string,
    key: string,
    options: { readonly isKeepAliveDisabled?: boolean } = {},
  ) {
    this.#url = url;
    this.#key = key;
    this.#agent = new undici.Agent({
      pipelining: options.isKeepAliveDisabled === true ? 0 : 1,
    });
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async chat(options: ChatOptions): Promise<CallResult> {
    const prompt = options.prompt ?? `prompt-${crypto.randomUUID()}`;
    const result = await this.send("POST", "/v1/chat/completions", {
      body: JSON.stringify({
        model: options.model,
        messages: [{ role: "user", content: prompt }],
        ...(options.isStreamed === true ? { stream: true } : {}),
        ...(options.maxTokens === undefined
          ? {}
          : { max_tokens: options.maxTokens }),
      }),
      headers: {
        ...(options.session === undefined
          ? {}
          : { "x-jackdaw-session": options.session }),
        ...(options.idempotencyKey === undefined
          ? {}
          : { "idempotency-key": options.idempotencyKey }),
        ...(options.deadlineMs === undefined
          ? {}
          : { "x-jackdaw-deadline-ms": String(options.deadlineMs) }),
      },
      ...(options.signal === undefined ? {} : { signal: options.signal }),
    });
    const isStream =
      result.headers["content-type"]?.includes("event-stream") === true;
    const joined = isStream
      ? joinStreamedText(result.text)
      : parseCompletionText(result.text);
    return {
      ...result,
      prompt,
      isComplete: result.isComplete && result.status === 200 &&
        joined !== undefined,
      text: joined ?? result.text,
    };
  }

  /** Places an order; the order service counts its runs by `id`. */
  placeOrder(
    id: string,
    options: {
      readonly idempotencyKey?: string;
      readonly deadlineMs?: number;
      readonly body?: object;
    } = {},
  ): Promise<CallResult> {
    return this.send("POST", "/services/orders/orders", {
      body: JSON.stringify({ id, ...options.body }),
      headers: {
        ...(options.idempotencyKey === undefined
          ? {}
          : { "idempotency-key": options.idempotencyKey }),
        ...(options.deadlineMs === undefined
          ? {}
          : { "x-jackdaw-deadline-ms": String(options.deadlineMs) }),
      },
    });
  }

  async send(
    method: "GET" | "POST",
    path: string,
    options: {
      readonly body?: string;
      readonly headers?: Readonly<Record<string, string>>;
      readonly signal?: AbortSignal;
    } = {},
  ): Promise<CallResult> {
    const startedAtMs = performance.now();
    const elapsedMs = () => performance.now() - startedAtMs;
    let firstByteMs = Number.NaN;
    let text = "";
    let status = 0;
    let headers: Readonly<Record<string, string>> = {};
    let isComplete = false;
    try {
      const response = await undici.request(`${this.#url}${path}`, {
        method,
        dispatcher: this.#agent,
        headers: {
          "content-type": "application/json",
          authorization: `Bearer ${this.#key}`,
          ...options.headers,
        },
        ...(options.body === undefined ? {} : { body: options.body }),
        ...(options.signal === undefined ? {} : { signal: options.signal }),
      });
      status = response.statusCode;
      headers = flattenHeaders(response.headers);
      for await (const chunk of response.body) {
        if (Number.isNaN(firstByteMs)) firstByteMs = elapsedMs();
        text += String(chunk);
      }
      isComplete = true;
    } catch {
      isComplete = false;
    }
    const error = status >= 400 ? parseError(text).error : undefined;
    return {
      status,
      isComplete,
      text,
      headers,
      errorKind: error?.type,
      notRun: error?.not_run,
      firstByteMs,
      totalMs: elapsedMs(),
      prompt: "",
    };
  }
}
