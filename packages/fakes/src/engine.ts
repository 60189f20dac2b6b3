/**
 * Stand-in for a model engine: an OpenAI-style API with server-sent events. It
 * reports its load with a lag and records every run.
 */
import * as hono from "hono";
import * as listening from "./listen.ts";

/** Behaviour of the engine; `POST /control` replaces single fields. */
export interface EngineSettings {
  /** `model@version` names. */
  readonly serves: readonly string[];
  readonly capacity: number;
  readonly firstTokenMs: number;
  readonly tokenMs: number;
  readonly tokens: number;
  /** Each word is padded to this length. */
  readonly wordChars: number;
  /** HTTP status of every response; all but 200 are error responses. */
  readonly status: number;
  /** Delay after which `/state` counts a run that has started. */
  readonly reportLagMs: number;
  /** Streams fail after this many tokens; 0 for never. */
  readonly breakAfterTokens: number;
}

/** A completion request as the engine received it. */
export interface EngineRun {
  readonly requestId: string;
  readonly model: string;
  readonly prompt: string;
  readonly atMs: number;
  outcome: "running" | "done" | "cancelled" | "broken";
}

const DEFAULT_SETTINGS: EngineSettings = {
  serves: [],
  capacity: 8,
  firstTokenMs: 10,
  tokenMs: 2,
  tokens: 8,
  wordChars: 0,
  status: 200,
  reportLagMs: 1_000,
  breakAfterTokens: 0,
};
const PROMPT_CHARS_PER_TOKEN = 4;

interface ChatRequest {
  readonly model: string;
  readonly messages: readonly { readonly content: string }[];
  readonly stream?: boolean;
  readonly stream_options?: { readonly include_usage?: boolean };
  readonly max_tokens?: number;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

export class FakeEngine {
  readonly #runs: EngineRun[] = [];
  #settings: EngineSettings;

  constructor(settings: Partial<EngineSettings>) {
    this.#settings = { ...DEFAULT_SETTINGS, ...settings };
  }

  buildApp(): hono.Hono {
    const app = new hono.Hono();
    app.post("/control", async (context) => {
      this.#settings = {
        ...this.#settings,
        ...await context.req.json() as Partial<EngineSettings>,
      };
      return context.json(this.#settings);
    });
    app.get("/control/runs", (context) => context.json({ runs: this.#runs }));
    app.get("/state", (context) => {
      const { serves, capacity } = this.#settings;
      return context.json({
        serves,
        capacity,
        running: this.#countReportedRuns(),
      });
    });
    app.post("/v1/chat/completions", (context) => this.#chat(context));
    return app;
  }

  /** Counts the runs that have been running for at least the report lag. */
  #countReportedRuns(): number {
    const startedBeforeMs = Date.now() - this.#settings.reportLagMs;
    return this.#runs.filter((run) =>
      run.atMs <= startedBeforeMs && run.outcome === "running"
    ).length;
  }

  async #chat(context: hono.Context): Promise<Response> {
    const request = await context.req.json() as ChatRequest;
    const prompt = String(request.messages.at(-1)?.content ?? "");
    const run: EngineRun = {
      requestId: context.req.header("x-request-id") ?? "",
      model: request.model,
      prompt,
      atMs: Date.now(),
      outcome: "running",
    };
    this.#runs.push(run);
    if (this.#settings.status !== 200) {
      run.outcome = "broken";
      return context.json(
        { error: { message: "engine failure" } },
        this.#settings.status as 500,
      );
    }
    const words = this.#buildWords(prompt, request);
    return request.stream === true
      ? this.#respondStreamed(request, { run, words })
      : await this.#respondBuffered(context, request, { run, words });
  }

  #buildWords(prompt: string, request: ChatRequest): readonly string[] {
    const count = request.max_tokens ?? this.#settings.tokens;
    return Array.from(
      { length: count },
      (_, index) => {
        const word = index === 0 ? `${prompt}:${request.model}` : ` t${index}`;
        return word.padEnd(this.#settings.wordChars);
      },
    );
  }

  #buildUsage(prompt: string, words: readonly string[]): unknown {
    const promptTokens = Math.ceil(prompt.length / PROMPT_CHARS_PER_TOKEN);
    return {
      prompt_tokens: promptTokens,
      completion_tokens: words.length,
      total_tokens: promptTokens + words.length,
    };
  }

  async #respondBuffered(
    context: hono.Context,
    request: ChatRequest,
    completion: { readonly run: EngineRun; readonly words: readonly string[] },
  ): Promise<Response> {
    const { firstTokenMs, tokenMs } = this.#settings;
    await sleep(firstTokenMs + tokenMs * completion.words.length);
    if (context.req.raw.signal.aborted) {
      completion.run.outcome = "cancelled";
      return new Response(null, { status: 499 });
    }
    completion.run.outcome = "done";
    return context.json({
      id: `chatcmpl-${completion.run.requestId}`,
      object: "chat.completion",
      created: 0,
      model: request.model,
      choices: [{
        index: 0,
        message: { role: "assistant", content: completion.words.join("") },
        finish_reason: "stop",
      }],
      usage: this.#buildUsage(completion.run.prompt, completion.words),
    });
  }

  #respondStreamed(
    request: ChatRequest,
    completion: { readonly run: EngineRun; readonly words: readonly string[] },
  ): Response {
    const { run, words } = completion;
    const { firstTokenMs, tokenMs } = this.#settings;
    const encoder = new TextEncoder();
    let tokenIndex = 0;
    const buildChunk = (choices: readonly unknown[], extra: object = {}) => ({
      id: `chatcmpl-${run.requestId}`,
      object: "chat.completion.chunk",
      created: 0,
      model: request.model,
      choices,
      ...extra,
    });
    const send = (
      controller: ReadableStreamDefaultController<Uint8Array>,
      data: string,
    ) => controller.enqueue(encoder.encode(`data: ${data}\n\n`));
    const stream = new ReadableStream<Uint8Array>({
      pull: async (controller) => {
        const delayMs = tokenIndex === 0 ? firstTokenMs : tokenMs;
        if (delayMs > 0) await sleep(delayMs);
        if (run.outcome === "cancelled") return;
        const { breakAfterTokens } = this.#settings;
        if (breakAfterTokens > 0 && tokenIndex >= breakAfterTokens) {
          run.outcome = "broken";
          controller.error(new Error("stream failed by breakAfterTokens"));
          return;
        }
        if (tokenIndex < words.length) {
          const delta = { role: "assistant", content: words[tokenIndex] };
          send(
            controller,
            JSON.stringify(
              buildChunk([{ index: 0, delta, finish_reason: null }]),
            ),
          );
          tokenIndex += 1;
          return;
        }
        const finalChoices = [{ index: 0, delta: {}, finish_reason: "stop" }];
        send(controller, JSON.stringify(buildChunk(finalChoices)));
        if (request.stream_options?.include_usage === true) {
          const usage = this.#buildUsage(run.prompt, words);
          send(controller, JSON.stringify(buildChunk([], { usage })));
        }
        send(controller, "[DONE]");
        run.outcome = "done";
        controller.close();
      },
      cancel: () => {
        run.outcome = "cancelled";
      },
    }, { highWaterMark: 1 });
    return new Response(stream, {
      headers: { "content-type": "text/event-stream" },
    });
  }
}

/** Starts the stand-in; port 0 picks a free port. */
export function startEngine(
  settings: Partial<EngineSettings>,
  port = 0,
): Promise<listening.FakeServer> {
  return listening.listen(new FakeEngine(settings).buildApp(), port);
}
