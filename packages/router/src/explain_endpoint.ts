/** The question where a request would go, over HTTP on the address of the metrics. */
import type * as http from "node:http";
import * as kernel from "@jackdawbank/kernel";
import * as explanations from "./explanation.ts";

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_METHOD_NOT_ALLOWED = 405;
const HTTP_TOO_LARGE = 413;
const HTTP_TOO_MANY = 429;
const HTTP_INTERNAL = 500;
/** Questions that are read at the same time; further ones are refused. */
const MAX_OPEN_QUESTIONS = 4;
/** Time in which a question must have arrived. */
const READ_TIMEOUT_MS = 2_000;

/** Reads questions, and answers them in JSON. */
export class ExplainEndpoint {
  readonly path = "/explain";
  readonly #explainer: explanations.Explainer;
  #open = 0;

  constructor(explainer: explanations.Explainer) {
    this.#explainer = explainer;
  }

  async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    if (request.method !== "POST") {
      answer(response, HTTP_METHOD_NOT_ALLOWED, { error: "use POST" });
      return;
    }
    if (this.#open >= MAX_OPEN_QUESTIONS) {
      answer(response, HTTP_TOO_MANY, { error: "too many questions" });
      return;
    }
    this.#open += 1;
    const timer = setTimeout(() => request.destroy(), READ_TIMEOUT_MS);
    try {
      const text = await readBounded(request);
      if (text === undefined) {
        const limit = explanations.MAX_QUESTION_BYTES;
        const error = `the question exceeds ${limit} bytes`;
        answer(response, HTTP_TOO_LARGE, { error });
        return;
      }
      const explained = explanations.parseQuestion(text).andThen((question) =>
        this.#explainer.explain(question)
      );
      explained.match(
        (explanation) => answer(response, HTTP_OK, explanation),
        (error) => answer(response, HTTP_BAD_REQUEST, { error }),
      );
    } catch (thrown) {
      if (request.destroyed && !request.complete) {
        // The operator's connection broke.
        response.destroy();
        return;
      }
      const error = kernel.describeThrown(thrown);
      answer(response, HTTP_INTERNAL, { error });
    } finally {
      clearTimeout(timer);
      this.#open -= 1;
    }
  }
}

/** Reads a body; `undefined` if it is too large. */
async function readBounded(
  request: http.IncomingMessage,
): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  // The answer needs the connection also where the rest is not read.
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    bytes += (chunk as Buffer).length;
    if (bytes > explanations.MAX_QUESTION_BYTES) return undefined;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString("utf8");
}

function answer(
  response: http.ServerResponse,
  status: number,
  data: unknown,
): void {
  response.writeHead(status, {
    "content-type": "application/json",
    connection: "close",
  });
  response.end(`${JSON.stringify(data)}\n`);
}
