/**
 * Takes a request from the choice of version and upstream to the start of its
 * answer, with retries inside a budget and a deadline.
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

  /** Starts a chat request; `skip` names upstreams that failed it before. */
  async startChat(
    request: requests.ModelRequest,
    skip: Set<string> = new Set(),
  ): Promise<kernel.Outcome<requests.StartedResponse>> {
    const index = this.#context.options.holder.index;
    if (index === undefined) {
      return kernel.fail("no-bundle", "no bundle is held yet");
    }
    const cascade = index.cascadeByName.get(request.model);
    const model = cascade === undefined
      ? request.model
      : this.#context.options.policy.chooseModel(request, cascade, index);
    const first = await this.#models.start(request, model, skip);
    const isRefusedCheap = first.isErr() && cascade !== undefined &&
      model === cascade.cheap &&
      kernel.findErrorResponse(first.error.kind).notRun === true;
    if (!isRefusedCheap) return first;
    this.#context.record("cascade.moved-up", request, cascade.large);
    return await this.#models.start(request, cascade.large, skip);
  }

  /** Starts a call of a plain service. */
  startServiceCall(
    request: requests.ServiceRequest,
  ): Promise<kernel.Outcome<requests.StartedResponse>> {
    return this.#services.start(request);
  }

  /** Takes a retry of an answer that broke before the caller saw any of it. */
  takeRetry(
    item: string,
    kind: kernel.ErrorKind,
    attemptsMade: number,
  ): boolean {
    return this.#context.mayRetry(item, kind, attemptsMade);
  }
}
