/**
 * State and helpers shared by the dispatch of models and of services: retry
 * budgets, the accounts' shares of work in flight, and the work frame.
 */
import type * as bundle from "@jackdawbank/bundle";
import type * as config from "@jackdawbank/config";
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import type * as attempts from "./attempt.ts";
import type * as fleets from "./fleet.ts";
import type * as requests from "./requests.ts";

/** Limit of repeats after a newer bundle or a moved claim; they do not use the retry budget. */
export const MAX_REDIRECTS = 4;
const MAX_ATTEMPTS = 3;

/** Errors after which another replica may succeed. */
const RETRYABLE_KINDS: ReadonlySet<kernel.ErrorKind> = new Set([
  "no-upstream",
  "overloaded",
  "leaving",
  "upstream-unreachable",
  "upstream-lost",
  "upstream-failed",
  "answer-incomplete",
]);

export interface DispatcherOptions {
  readonly holder: config.BundleHolder;
  readonly fleet: fleets.Fleet;
  readonly policy: CascadePolicy;
}

/** Chooses the model that a request for a cascade is sent to first. */
export interface CascadePolicy {
  chooseModel(
    request: requests.ModelRequest,
    cascade: bundle.Cascade,
    index: decisions.BundleIndex,
  ): string;
  /** Records that an attempt on `item` (`model@version`) failed at its upstream. */
  recordFailure(request: requests.ModelRequest, item: string): void;
}

/** State shared by all dispatches of one entry. */
export class DispatchContext {
  readonly services: kernel.KernelServices;
  readonly options: DispatcherOptions;
  readonly accountShares = new decisions.InFlightShares();
  readonly #retryBudgets = new Map<string, decisions.RetryBudget>();

  constructor(services: kernel.KernelServices, options: DispatcherOptions) {
    this.services = services;
    this.options = options;
  }

  /** Counts a request as in flight for its account, until the returned function is called. */
  countInFlight(name: string, request: requests.CallerRequest): () => void {
    const { name: account, shareWeight } = request.account;
    this.accountShares.recordStart(name, account, shareWeight);
    return () => this.accountShares.recordEnd(name, account);
  }

  /** Builds the work frame of a request, without its call. */
  buildWorkFrame(
    request: requests.CallerRequest,
  ): Omit<fleets.WorkFrameContent, "isTwoPhase" | "call"> {
    const { requestId, account, body } = request;
    return {
      requestId,
      account: account.name,
      shareWeight: account.shareWeight,
      priority: account.priority,
      deadlineInMs: request.deadlineAtMs - this.services.clock.monotonicMs(),
      body,
    };
  }

  /** Takes a retry from the budget if the error, the attempts made and the budget allow one. */
  takeRetry(
    name: string,
    kind: kernel.ErrorKind,
    attemptsMade: number,
  ): boolean {
    if (!RETRYABLE_KINDS.has(kind) || attemptsMade >= MAX_ATTEMPTS) {
      return false;
    }
    const isGranted = this.getRetryBudget(name).takeRetry();
    this.services.metrics.increment(
      isGranted ? "retry.taken" : "retry.budget-empty",
    );
    return isGranted;
  }

  /** Returns the retry budget of a version or service; creates it on first use. */
  getRetryBudget(name: string): decisions.RetryBudget {
    const existing = this.#retryBudgets.get(name);
    if (existing !== undefined) return existing;
    const budget = new decisions.RetryBudget();
    this.#retryBudgets.set(name, budget);
    return budget;
  }

  /** Retries that each first attempt adds to the budget. */
  get retryRatio(): number {
    return this.options.holder.index?.bundle.limits.retryRatio ?? 0;
  }

  recordEvent(
    name: string,
    request: requests.CallerRequest,
    target: string,
  ): void {
    const { requestId } = request;
    this.services.timeline.record(name, {
      requestId,
      account: request.account.name,
      target,
    });
  }
}

/** Waits for the first event of an attempt; cancels it if the caller disconnects. */
export async function waitForStart(
  attempt: attempts.Attempt,
  request: requests.CallerRequest,
  clock: kernel.Clock,
): Promise<attempts.AttemptStart> {
  const cancel = () => attempt.cancel();
  request.signal.addEventListener("abort", cancel, { once: true });
  if (request.signal.aborted) cancel();
  const start = await attempt.waitForStart(
    request.deadlineAtMs - clock.monotonicMs(),
  );
  request.signal.removeEventListener("abort", cancel);
  return start;
}
