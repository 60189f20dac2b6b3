/** Budgets of each service for sending requests more than once. */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import type * as ports from "./ports.ts";

/** Share of the retry slack that a process uses while it knows no peers. */
const SOLE_PROCESS_SLACK_SHARE = 0.1;

/** Retry budgets of one process. */
export class RetryBudgets {
  readonly #clock: kernel.Clock;
  readonly #settings: ports.RouterSettings;
  readonly #countProcesses: () => number;
  readonly #budgetByService = new Map<string, decisions.SlidingRetryBudget>();

  constructor(
    clock: kernel.Clock,
    settings: ports.RouterSettings,
    countProcesses: () => number,
  ) {
    this.#clock = clock;
    this.#settings = settings;
    this.#countProcesses = countProcesses;
  }

  /** Whether a retry stays within a share of the service's retry budget. */
  canRetry(service: string, share: number): boolean {
    const processes = this.#countProcesses();
    return this.#get(service).canSendExtra(this.#clock.monotonicMs(), {
      share,
      slackShare: processes > 1 ? 1 / processes : SOLE_PROCESS_SLACK_SHARE,
    });
  }

  recordSend(service: string, earlierSends: number): void {
    const budget = this.#get(service);
    const nowMs = this.#clock.monotonicMs();
    if (earlierSends === 0) budget.recordRequest(nowMs);
    else budget.recordExtraSend(nowMs);
  }

  #get(service: string): decisions.SlidingRetryBudget {
    const existing = this.#budgetByService.get(service);
    if (existing !== undefined) return existing;
    const { retryWindowMs, retryRatio, retrySlack } = this.#settings;
    const budget = new decisions.SlidingRetryBudget({
      windowMs: retryWindowMs,
      ratio: retryRatio,
      slack: retrySlack,
    });
    this.#budgetByService.set(service, budget);
    return budget;
  }
}
