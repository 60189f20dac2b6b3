/** Relays responses to callers, collected or streamed, and bills them when complete. */
import type * as billing from "@jackdawbank/billing";
import type * as config from "@jackdawbank/config";
import * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";
import * as neverthrow from "neverthrow";
import type * as dispatchers from "./dispatch.ts";
import * as idempotency from "./idempotency.ts";
import type * as learnedPolicies from "./learned_policy.ts";
import * as requests from "./requests.ts";

const MIN_SUCCESS_STATUS = 200;
const MAX_SUCCESS_STATUS = 299;
const MICROS_PER_MILLI = 1_000;
const TOKENS_PER_PRICE_UNIT = 1_000_000;
const END_OF_STREAM = new TextEncoder().encode("data: [DONE]\n\n");
const CANCELLED = kernel.makeError(
  "cancelled",
  "the caller closed the connection",
);

export interface ResponseRelayOptions {
  readonly holder: config.BundleHolder;
  readonly ledger: billing.BillLedger;
  readonly dispatcher: dispatchers.Dispatcher;
  readonly learnedPolicy: learnedPolicies.LearnedPolicy;
}

/** A response whose final frame has arrived. */
type FinishedResponse = requests.StartedResponse & {
  readonly usage: mesh.Usage;
};

export class ResponseRelay {
  readonly #services: kernel.KernelServices;
  readonly #options: ResponseRelayOptions;

  constructor(services: kernel.KernelServices, options: ResponseRelayOptions) {
    this.#services = services;
    this.#options = options;
  }

  /** Collects a chat response; one that breaks off is retried within the budget. */
  async collectChat(
    request: requests.ModelRequest,
  ): Promise<kernel.Outcome<requests.CompleteResponse>> {
    const failedReplicaIds = new Set<string>();
    for (;;) {
      const started = await this.#options.dispatcher.startChat(
        request,
        failedReplicaIds,
      );
      if (started.isErr()) return neverthrow.err(started.error);
      const collected = await this.collectStarted(request, started.value);
      if (collected.isOk()) return collected;
      failedReplicaIds.add(started.value.attempt.connection.peer.processId);
      const { kind } = collected.error;
      if (
        !this.#options.dispatcher.takeRetry(
          started.value.item,
          kind,
          failedReplicaIds.size,
        )
      ) return collected;
    }
  }

  /** Collects a service's response; if it breaks off after the commit, the outcome is unknown. */
  async collectServiceCall(
    request: requests.ServiceRequest,
  ): Promise<kernel.Outcome<requests.CompleteResponse>> {
    const started = await this.#options.dispatcher.startServiceCall(request);
    if (started.isErr()) return neverthrow.err(started.error);
    const collected = await this.collectStarted(request, started.value);
    const isOutcomeUnknown = collected.isErr() &&
      started.value.attempt.isCommitted;
    if (!isOutcomeUnknown) return collected;
    return kernel.fail(
      "outcome-unknown",
      "the call was committed, but its response is incomplete",
    );
  }

  /** Streams a response as it arrives; the stream ends without an error only if it is complete. */
  stream(
    request: requests.ModelRequest,
    response: requests.StartedResponse,
    onEnd: () => void,
  ): ReadableStream<Uint8Array> {
    let hasEnded = false;
    // When the caller disconnects, both pull and cancel may end the stream.
    const endOnce = (record: () => void) => {
      if (hasEnded) return;
      hasEnded = true;
      record();
      onEnd();
    };
    return new ReadableStream<Uint8Array>({
      pull: async (controller) => {
        const event = await response.attempt.readBodyEvent(
          this.#computeTimeLeftMs(request),
        );
        switch (event.type) {
          case "chunk":
            controller.enqueue(event.data);
            return;
          case "final":
            endOnce(() =>
              this.#bill(request, { ...response, usage: event.usage })
            );
            controller.enqueue(END_OF_STREAM);
            controller.close();
            return;
          case "failed":
            controller.error(new Error(event.message));
            endOnce(() => this.#recordBroken(request, response, event.kind));
        }
      },
      cancel: () => {
        endOnce(() =>
          this.#recordEvent("request.cancelled", request, response.item)
        );
        response.attempt.cancel();
      },
    }, { highWaterMark: 1 });
  }

  /** Collects a response that has started, without retries. */
  async collectStarted(
    request: requests.CallerRequest,
    response: requests.StartedResponse,
  ): Promise<kernel.Outcome<requests.CompleteResponse>> {
    const chunks: Uint8Array[] = [];
    const cancel = () => response.attempt.cancel();
    request.signal.addEventListener("abort", cancel, { once: true });
    try {
      for (;;) {
        const event = await response.attempt.readBodyEvent(
          this.#computeTimeLeftMs(request),
        );
        if (event.type === "failed") {
          this.#recordBroken(request, response, event.kind);
          return kernel.fail(event.kind, event.message);
        }
        if (event.type === "final") {
          if (request.signal.aborted) return neverthrow.err(CANCELLED);
          this.#bill(request, { ...response, usage: event.usage });
          return neverthrow.ok({
            ...response,
            body: Buffer.concat(chunks),
            usage: event.usage,
          });
        }
        chunks.push(event.data);
      }
    } finally {
      request.signal.removeEventListener("abort", cancel);
    }
  }

  /** Bills a complete response. The upstream process gets a copy before the caller gets the end. */
  #bill(request: requests.CallerRequest, response: FinishedResponse): void {
    const { item, status, usage } = response;
    this.#recordEvent("request.answered", request, `${item} ${status}`);
    if (status < MIN_SUCCESS_STATUS || status > MAX_SUCCESS_STATUS) return;
    const account = request.account.name;
    const priceMicros = this.#priceMicros(response);
    const keyDigest = idempotency.buildBillKeyDigest(
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
    response.attempt.connection.send({ type: "bill", bill });
    if (requests.isModelRequest(request)) {
      const latencyMs = this.#services.clock.monotonicMs() -
        request.arrivedAtMs;
      const { learnedPolicy } = this.#options;
      learnedPolicy.recordResult({
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
    response: requests.StartedResponse,
    kind: kernel.ErrorKind,
  ): void {
    this.#recordEvent("request.broken", request, kind);
    if (kind === "cancelled" || !requests.isModelRequest(request)) return;
    this.#options.learnedPolicy.recordFailure(request, response.item);
  }

  #priceMicros(response: FinishedResponse): number {
    const index = this.#options.holder.index;
    const [name = ""] = response.item.split("@");
    const model = index?.modelByName.get(name);
    if (model !== undefined) {
      const milli =
        response.usage.promptTokens * model.promptPriceMilliPerMillion +
        response.usage.completionTokens * model.completionPriceMilliPerMillion;
      return Math.round(milli * MICROS_PER_MILLI / TOKENS_PER_PRICE_UNIT);
    }
    const service = index?.serviceByName.get(name.replace("service:", ""));
    return (service?.pricePerCallMilli ?? 0) * MICROS_PER_MILLI;
  }

  #computeTimeLeftMs(request: requests.CallerRequest): number {
    return request.deadlineAtMs - this.#services.clock.monotonicMs();
  }

  #recordEvent(
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
