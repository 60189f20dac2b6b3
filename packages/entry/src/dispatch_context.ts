/**
 * What the dispatch of models and of services shares: retry budgets, shares of
 * accounts, and the work frame of a request.
 */
import type * as bundle from "@jackdawbank/bundle";
import type * as config from "@jackdawbank/config";
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import type * as attempts from "./attempt.ts";
import type * as fleets from "./fleet.ts";
import type * as requests from "./requests.ts";

/** Tries that a newer bundle or a moved claim may cost, beside the retry budget. */
export const MAX_REDIRECTS = 4;
const MAX_ATTEMPTS = 3;

/** Refusals after which another upstream may do better. */
const RETRYABLE_KINDS: ReadonlySet<kernel.ErrorKind> = new Set([
  "no-upstream",
  "overloaded",
  "leaving",
  "upstream-unreachable",
  "upstream-failed",
  "answer-incomplete",
]);
/** What a dispatcher needs from its process. */
export interface DispatcherOptions {
  readonly holder: config.BundleHolder;
  readonly fleet: fleets.Fleet;
  readonly policy: CascadePolicy;
}

/** Chooses the model that a cascade's request starts on. */
export interface CascadePolicy {
  chooseModel(
    request: requests.ModelRequest,
    cascade: bundle.Cascade,
    index: decisions.BundleIndex,
  ): string;
  /** An attempt on `model@version` failed at its upstream. */
  recordFailure(request: requests.ModelRequest, item: string): void;
}

/** State that all dispatches of one entry share. */
export class DispatchContext {
  readonly services: kernel.KernelServices;
  readonly options: DispatcherOptions;
  readonly shares = new decisions.InFlightShares();
  readonly #budgets = new Map<string, decisions.RetryBudget>();

  constructor(services: kernel.KernelServices, options: DispatcherOptions) {
    this.services = services;
    this.options = options;
  }

  /** Counts work in flight for the account; the result ends the count. */
  openShare(name: string, request: requests.CallerRequest): () => void {
    const { name: account, shareWeight } = request.account;
    this.shares.recordStart(name, account, shareWeight);
    return () => this.shares.recordEnd(name, account);
  }

  /** The frame of a request, but for its call. */
  buildWork(
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

  /** Whether a failed attempt may be followed by another, and takes it. */
  mayRetry(
    name: string,
    kind: kernel.ErrorKind,
    attemptsMade: number,
  ): boolean {
    if (!RETRYABLE_KINDS.has(kind) || attemptsMade >= MAX_ATTEMPTS) {
      return false;
    }
    const isGranted = this.budget(name).takeRetry();
    this.services.metrics.increment(
      isGranted ? "retry.taken" : "retry.budget-empty",
    );
    return isGranted;
  }

  /** The retry budget of a version or service. */
  budget(name: string): decisions.RetryBudget {
    const held = this.#budgets.get(name);
    if (held !== undefined) return held;
    const budget = new decisions.RetryBudget();
    this.#budgets.set(name, budget);
    return budget;
  }

  /** Retries allowed for each request. */
  get retryRatio(): number {
    return this.options.holder.index?.bundle.limits.retryRatio ?? 0;
  }

  record(name: string, request: requests.CallerRequest, target: string): void {
    const { requestId } = request;
    this.services.timeline.record(name, {
      requestId,
      account: request.account.name,
      target,
    });
  }
}

/** Waits for an upstream's first word; a caller that goes cancels the attempt. */
export async function waitStart(
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
