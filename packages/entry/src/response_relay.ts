/** Carries started answers to callers: whole or streamed, billed when complete. */
import type * as billing from "@jackdawbank/billing";
import type * as config from "@jackdawbank/config";
import * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";
import * as neverthrow from "neverthrow";
import type * as dispatchers from "./dispatch.ts";
import * as keys from "./idempotency.ts";
import type * as learnings from "./learned_policy.ts";
import * as requests from "./requests.ts";

const SUCCESS_FROM = 200;
const SUCCESS_TO = 299;
const MICROS_PER_MILLI = 1_000;
const TOKENS_PER_PRICE = 1_000_000;
const END_OF_STREAM = new TextEncoder().encode("data: [DONE]\n\n");
const CANCELLED = kernel.makeError("cancelled", "the caller has gone");

/** What carrying answers needs from the process. */
export interface CarrierOptions {
  readonly holder: config.BundleHolder;
  readonly ledger: billing.BillLedger;
  readonly dispatcher: dispatchers.Dispatcher;
  readonly learning: learnings.Learning;
}

/** An answer whose final frame has arrived. */
type CompletedAnswer = requests.StartedResponse & {
  readonly usage: mesh.Usage;
};

/** Carries answers and bills them. */
export class AnswerCarrier {
  readonly #services: kernel.KernelServices;
  readonly #options: CarrierOptions;

  constructor(services: kernel.KernelServices, options: CarrierOptions) {
    this.#services = services;
    this.#options = options;
  }

  /** Gathers a whole chat answer; one that breaks is retried within the budget. */
  async gatherModel(
    request: requests.ModelRequest,
  ): Promise<kernel.Outcome<requests.CompleteResponse>> {
    const skip = new Set<string>();
    for (;;) {
      const started = await this.#options.dispatcher.startChat(request, skip);
      if (started.isErr()) return neverthrow.err(started.error);
      const whole = await this.gatherStarted(request, started.value);
      if (whole.isOk()) return whole;
      skip.add(started.value.attempt.connection.peer.processId);
      const { kind } = whole.error;
      if (
        !this.#options.dispatcher.takeRetry(started.value.item, kind, skip.size)
      ) return whole;
    }
  }

  /** Gathers a whole answer of a service; never retried once it was committed. */
  async gatherService(
    request: requests.ServiceRequest,
  ): Promise<kernel.Outcome<requests.CompleteResponse>> {
    const started = await this.#options.dispatcher.startServiceCall(request);
    if (started.isErr()) return neverthrow.err(started.error);
    const whole = await this.gatherStarted(request, started.value);
    const isUnclear = whole.isErr() && started.value.attempt.isCommitted;
    if (!isUnclear) return whole;
    return kernel.fail(
      "outcome-unknown",
      "the call was started; its answer did not arrive whole",
    );
  }

  /** Streams an answer as it is made; it ends cleanly only when it is whole. */
  stream(
    request: requests.ModelRequest,
    answer: requests.StartedResponse,
    onEnd: () => void,
  ): ReadableStream<Uint8Array> {
    let hasEnded = false;
    // A caller that goes away ends the stream from both sides.
    const end = (record: () => void) => {
      if (hasEnded) return;
      hasEnded = true;
      record();
      onEnd();
    };
    return new ReadableStream<Uint8Array>({
      pull: async (controller) => {
        const piece = await answer.attempt.readBodyEvent(
          this.#timeLeftMs(request),
        );
        switch (piece.type) {
          case "chunk":
            controller.enqueue(piece.data);
            return;
          case "final":
            end(() =>
              this.#complete(request, { ...answer, usage: piece.usage })
            );
            controller.enqueue(END_OF_STREAM);
            controller.close();
            return;
          case "failed":
            controller.error(new Error(piece.message));
            end(() => this.#recordBroken(request, answer, piece.kind));
        }
      },
      cancel: () => {
        end(() => this.#recordEnd("request.cancelled", request, answer.item));
        answer.attempt.cancel();
      },
    }, { highWaterMark: 1 });
  }

  /** Gathers an answer that has started; nothing is retried. */
  async gatherStarted(
    request: requests.CallerRequest,
    answer: requests.StartedResponse,
  ): Promise<kernel.Outcome<requests.CompleteResponse>> {
    const pieces: Uint8Array[] = [];
    const cancel = () => answer.attempt.cancel();
    request.signal.addEventListener("abort", cancel, { once: true });
    try {
      for (;;) {
        const piece = await answer.attempt.readBodyEvent(
          this.#timeLeftMs(request),
        );
        if (piece.type === "failed") {
          this.#recordBroken(request, answer, piece.kind);
          return kernel.fail(piece.kind, piece.message);
        }
        if (piece.type === "final") {
          if (request.signal.aborted) return neverthrow.err(CANCELLED);
          this.#complete(request, { ...answer, usage: piece.usage });
          return neverthrow.ok({
            ...answer,
            body: Buffer.concat(pieces),
            usage: piece.usage,
          });
        }
        pieces.push(piece.data);
      }
    } finally {
      request.signal.removeEventListener("abort", cancel);
    }
  }

  /** Bills a whole answer. A copy goes to its upstream process before the caller gets the end. */
  #complete(request: requests.CallerRequest, answer: CompletedAnswer): void {
    const { item, status, usage } = answer;
    this.#recordEnd("request.answered", request, `${item} ${status}`);
    if (status < SUCCESS_FROM || status > SUCCESS_TO) return;
    const account = request.account.name;
    const priceMicros = this.#priceMicros(answer);
    const keyDigest = keys.buildBillKeyDigest(
      account,
      item,
      request.idempotencyKey,
    );
    const bill = this.#options.ledger.add({
      account,
      item,
      ...usage,
      priceMicros,
      ...(keyDigest === undefined ? {} : { keyDigest }),
    });
    answer.attempt.connection.send({ type: "bill", bill });
    if (requests.isModelRequest(request)) {
      const latencyMs = this.#services.clock.monotonicMs() -
        request.arrivedAtMs;
      const { learning } = this.#options;
      learning.recordResult({
        request,
        item,
        isError: false,
        priceMicros,
        latencyMs,
      });
    }
  }

  #recordBroken(
    request: requests.CallerRequest,
    answer: requests.StartedResponse,
    kind: kernel.ErrorKind,
  ): void {
    this.#recordEnd("request.broken", request, kind);
    if (kind === "cancelled" || !requests.isModelRequest(request)) return;
    this.#options.learning.recordFailure(request, answer.item);
  }

  #priceMicros(answer: CompletedAnswer): number {
    const index = this.#options.holder.index;
    const [name = ""] = answer.item.split("@");
    const model = index?.modelByName.get(name);
    if (model !== undefined) {
      const milli =
        answer.usage.promptTokens * model.promptPriceMilliPerMillion +
        answer.usage.completionTokens * model.completionPriceMilliPerMillion;
      return Math.round(milli * MICROS_PER_MILLI / TOKENS_PER_PRICE);
    }
    const service = index?.serviceByName.get(name.replace("service:", ""));
    return (service?.pricePerCallMilli ?? 0) * MICROS_PER_MILLI;
  }

  #timeLeftMs(request: requests.CallerRequest): number {
    return request.deadlineAtMs - this.#services.clock.monotonicMs();
  }

  #recordEnd(
    name: string,
    request: requests.CallerRequest,
    detail: string,
  ): void {
    const { requestId } = request;
    this.#services.timeline.record(name, {
      requestId,
      account: request.account.name,
      detail,
    });
  }
}
