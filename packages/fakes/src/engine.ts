/**
 * Stand-in for a model engine: the OpenAI-style API with server-sent events,
 * reported state, and a record of every run.
 */
import * as hono from "hono";
import * as listening from "./listen.ts";

/** How the engine behaves; replaced in part through its control address. */
export interface EngineSettings {
  /** `model@version` names. */
  readonly serves: readonly string[];
  readonly capacity: number;
  readonly firstTokenMs: number;
  readonly tokenMs: number;
  readonly tokens: number;
  /** Characters that each word is padded to. */
  readonly wordChars: number;
  /** Status for every run; 200 for an answer. */
  readonly status: number;
  /** Age of the load that is reported. */
  readonly reportLagMs: number;
  /** Streams break off after so many tokens; 0 for never. */
  readonly breakAfterTokens: number;
}

/** One run as the engine saw it. */
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

/** The engine. */
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
        running: this.#countRunningThen(),
      });
    });
    app.post("/v1/chat/completions", (context) => this.#chat(context));
    return app;
  }

  /** Runs that were under way when the lagging report was made. */
  #countRunningThen(): number {
    const thenMs = Date.now() - this.#settings.reportLagMs;
    return this.#runs.filter((run) =>
      run.atMs <= thenMs && run.outcome === "running"
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
      ? this.#answerStreamed(request, { run, words })
      : await this.#answerWhole(context, request, { run, words });
  }

  #buildWords(prompt: string, request: ChatRequest): readonly string[] {
    const count = request.max_tokens ?? this.#settings.tokens;
    return Array.from(
      { length: count },
      (_, at) => {
        const word = at === 0 ? `${prompt}:${request.model}` : ` t${at}`;
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

  async #answerWhole(
    context: hono.Context,
    request: ChatRequest,
    work: { readonly run: EngineRun; readonly words: readonly string[] },
  ): Promise<Response> {
    const { firstTokenMs, tokenMs } = this.#settings;
    await sleep(firstTokenMs + tokenMs * work.words.length);
    if (context.req.raw.signal.aborted) {
      work.run.outcome = "cancelled";
      return new Response(null, { status: 499 });
    }
    work.run.outcome = "done";
    return context.json({
      id: `chatcmpl-${work.run.requestId}`,
      object: "chat.completion",
      created: 0,
      model: request.model,
      choices: [{
        index: 0,
        message: { role: "assistant", content: work.words.join("") },
        finish_reason: "stop",
      }],
      usage: this.#buildUsage(work.run.prompt, work.words),
    });
  }

  #answerStreamed(
    request: ChatRequest,
    work: { readonly run: EngineRun; readonly words: readonly string[] },
  ): Response {
    const { run, words } = work;
    const { firstTokenMs, tokenMs } = this.#settings;
    const encoder = new TextEncoder();
    let at = 0;
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
        const delayMs = at === 0 ? firstTokenMs : tokenMs;
        if (delayMs > 0) await sleep(delayMs);
        if (run.outcome === "cancelled") return;
        const { breakAfterTokens } = this.#settings;
        if (breakAfterTokens > 0 && at >= breakAfterTokens) {
          run.outcome = "broken";
          controller.error(new Error("broken on order"));
          return;
        }
        if (at < words.length) {
          const delta = { role: "assistant", content: words[at] };
          send(
            controller,
            JSON.stringify(
              buildChunk([{ index: 0, delta, finish_reason: null }]),
            ),
          );
          at += 1;
          return;
        }
        const end = [{ index: 0, delta: {}, finish_reason: "stop" }];
        send(controller, JSON.stringify(buildChunk(end)));
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

/** Starts the stand-in. */
export function startEngine(
  settings: Partial<EngineSettings>,
  port = 0,
): Promise<listening.FakeServer> {
  return listening.listen(new FakeEngine(settings).buildApp(), port);
}
