/**
 * Dispatches a request: chooses version and replica and waits for the start of
 * the response, with retries within a budget and the request's deadline.
 */
import * as kernel from "@jackdawbank/kernel";
import * as contexts from "./dispatch_context.ts";
import * as models from "./model_dispatch.ts";
import type * as requests from "./requests.ts";
import * as serviceCalls from "./service_dispatch.ts";

export type { CascadePolicy, DispatcherOptions } from "./dispatch_context.ts";

/** Dispatches requests of one entry. */
export class Dispatcher {
  readonly #context: contexts.DispatchContext;
  readonly #models: models.ModelDispatch;
  readonly #services: serviceCalls.ServiceDispatch;

  constructor(
    services: kernel.KernelServices,
    options: contexts.DispatcherOptions,
  ) {
    this.#context = new contexts.DispatchContext(services, options);
    this.#models = new models.ModelDispatch(this.#context);
    this.#services = new serviceCalls.ServiceDispatch(this.#context);
  }

  /**
   * Starts a chat request on a replica that is not in `failedReplicaIds`; replicas
   * that fail are added. If a cascade's cheap model refused the request without
   * running it, the large model is tried.
   */
  async startChat(
    request: requests.ModelRequest,
    failedReplicaIds: Set<string> = new Set(),
  ): Promise<kernel.Outcome<requests.StartedResponse>> {
    const index = this.#context.options.holder.index;
    if (index === undefined) {
      return kernel.fail("no-bundle", "no bundle has been loaded yet");
    }
    const cascade = index.cascadeByName.get(request.model);
    const model = cascade === undefined
      ? request.model
      : this.#context.options.policy.chooseModel(request, cascade, index);
    const outcome = await this.#models.start(request, model, failedReplicaIds);
    const hasCheapModelRefused = outcome.isErr() && cascade !== undefined &&
      model === cascade.cheap &&
      kernel.findErrorResponse(outcome.error.kind).notRun === true;
    if (!hasCheapModelRefused) return outcome;
    this.#context.recordEvent("cascade.moved-up", request, cascade.large);
    return await this.#models.start(request, cascade.large, failedReplicaIds);
  }

  startServiceCall(
    request: requests.ServiceRequest,
  ): Promise<kernel.Outcome<requests.StartedResponse>> {
    return this.#services.start(request);
  }

  /** Takes a retry for a response that broke off before any of it was sent to the caller. */
  takeRetry(
    item: string,
    kind: kernel.ErrorKind,
    attemptsMade: number,
  ): boolean {
    return this.#context.takeRetry(item, kind, attemptsMade);
  }
}
