/**
 * Takes a request from the choice of version and upstream to the start of its
 * answer, with retries inside a budget and a deadline.
 */
import type * as bundle from "@jackdawbank/bundle";
import type * as config from "@jackdawbank/config";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import type * as attempts from "./attempt.ts";
import type * as fleets from "./fleet.ts";
import * as keys from "./idempotency.ts";
import type * as requests from "./requests.ts";

/** Tries that a newer bundle or a moved claim may cost, beside the retry budget. */
const MAX_REDIRECTS = 4;
const MAX_ATTEMPTS = 3;
const SATURATION_LOAD = 4;
const REVISION_WAIT_MS = 300;
const REVISION_WAIT_STEP_MS = 5;

/** Refusals after which another upstream may do better. */
const RETRYABLE_KINDS: ReadonlySet<kernel.ErrorKind> = new Set([
  "no-upstream",
  "overloaded",
  "leaving",
  "upstream-unreachable",
  "upstream-failed",
  "answer-incomplete",
]);
/** Failures that speak against the version that ran. */
const UPSTREAM_FAULT_KINDS: ReadonlySet<kernel.ErrorKind> = new Set([
  "upstream-failed",
  "answer-incomplete",
  "deadline-after-run",
]);
/** Refusals that a newer bundle explains. */
const BUNDLE_KINDS: ReadonlySet<kernel.ErrorKind> = new Set([
  "version-withdrawn",
  "model-not-allowed",
  "unknown-model",
  "unauthenticated",
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

/** A chosen version, with the replica to try. */
interface Choice {
  readonly name: string;
  readonly model: string;
  readonly version: string;
  readonly movedFrom: string | undefined;
}

/** Dispatches requests of one entry. */
export class Dispatcher {
  readonly #services: kernel.KernelServices;
  readonly #options: DispatcherOptions;
  readonly #budgets = new Map<string, decisions.RetryBudget>();
  readonly #shares = new decisions.ShareLedger();

  constructor(services: kernel.KernelServices, options: DispatcherOptions) {
    this.#services = services;
    this.#options = options;
  }

  /** Starts a chat request; `skip` names upstreams that failed it before. */
  async startModel(
    request: requests.ModelRequest,
    skip: Set<string> = new Set(),
  ): Promise<kernel.Outcome<requests.StartedAnswer>> {
    const index = this.#options.holder.index;
    if (index === undefined) {
      return kernel.fail("no-bundle", "no bundle is held yet");
    }
    const cascade = index.cascadeByName.get(request.model);
    const model = cascade === undefined
      ? request.model
      : this.#options.policy.chooseModel(request, cascade, index);
    const first = await this.#tryModel(request, model, skip);
    const isRefusedCheap = first.isErr() && cascade !== undefined &&
      model === cascade.cheap &&
      kernel.findAnswer(first.error.kind).notRun === true;
    if (!isRefusedCheap) return first;
    this.#record("cascade.moved-up", request, cascade.large);
    return await this.#tryModel(request, cascade.large, skip);
  }

  /** Starts a call of a plain service. */
  async startService(
    request: requests.ServiceRequest,
  ): Promise<kernel.Outcome<requests.StartedAnswer>> {
    const name = `service:${request.service.name}`;
    const excluded = new Set<string>();
    const voided: string[] = [];
    const claim = keys.buildClaim(request);
    this.#budget(name).recordFirstAttempt(this.#retryRatio());
    let last = kernel.makeError(
      "no-upstream",
      `no replica of '${request.service.name}' is usable`,
    );
    for (let redirects = 0; redirects < MAX_REDIRECTS;) {
      const replica = this.#pickServiceReplica(name, claim, excluded);
      if (replica === undefined) return neverthrow.err(last);
      const outcome = await this.#tryService({
        request,
        claim,
        replica,
        voided,
      });
      if (outcome.type === "started") return neverthrow.ok(outcome.answer);
      last = outcome.error;
      if (outcome.isCommitted) return neverthrow.err(last);
      voided.push(outcome.attemptId);
      if (last.kind === "claim-moved") {
        redirects += 1;
        continue;
      }
      excluded.add(replica.id);
      if (!this.#mayRetry(name, last.kind, excluded.size)) {
        return neverthrow.err(last);
      }
    }
    return neverthrow.err(last);
  }

  /** Takes a retry of an answer that broke before the caller saw any of it. */
  takeRetry(
    item: string,
    kind: kernel.ErrorKind,
    attemptsMade: number,
  ): boolean {
    return this.#mayRetry(item, kind, attemptsMade);
  }

  async #tryModel(
    request: requests.ModelRequest,
    model: string,
    skip: Set<string>,
  ): Promise<kernel.Outcome<requests.StartedAnswer>> {
    let redirects = 0;
    let isFirst = skip.size === 0;
    let last: kernel.AppError | undefined;
    for (;;) {
      const index = this.#options.holder.index;
      if (index === undefined) {
        return kernel.fail("no-bundle", "no bundle is held yet");
      }
      const choice = this.#chooseVersion(request, model, index);
      if (choice.isErr()) return neverthrow.err(choice.error);
      const { name } = choice.value;
      if (isFirst) {
        this.#budget(name).recordFirstAttempt(index.bundle.limits.retryRatio);
      }
      isFirst = false;
      const revision = index.bundle.revision;
      const outcome = await this.#tryReplica(request, choice.value, skip);
      if (outcome.type === "started") return neverthrow.ok(outcome.answer);
      last = outcome.error;
      if (BUNDLE_KINDS.has(last.kind)) {
        redirects += 1;
        const isNewer = await this.#waitForNewer(revision);
        if (isNewer && redirects < MAX_REDIRECTS) continue;
        return neverthrow.err(last);
      }
      if (UPSTREAM_FAULT_KINDS.has(last.kind)) {
        this.#options.policy.recordFailure(request, name);
      }
      if (outcome.replicaId === undefined) return neverthrow.err(last);
      skip.add(outcome.replicaId);
      if (!this.#mayRetry(name, last.kind, skip.size)) {
        return neverthrow.err(last);
      }
      this.#record("request.retried", request, name);
    }
  }

  #chooseVersion(
    request: requests.ModelRequest,
    modelName: string,
    index: decisions.BundleIndex,
  ): kernel.Outcome<Choice> {
    const model = index.modelByName.get(modelName);
    if (model === undefined) {
      return kernel.fail(
        "unknown-model",
        `there is no model '${request.model}'`,
      );
    }
    const account = index.accountByName.get(request.account.name);
    const grant = account && decisions.findGrant(account, modelName);
    if (grant === undefined) {
      return kernel.fail(
        "model-not-allowed",
        `this account may not use '${request.model}'`,
      );
    }
    const chosen = decisions.chooseVersion(model, grant, request.pin);
    if (chosen === undefined) {
      return kernel.fail(
        "model-not-allowed",
        `no version of '${modelName}' is left to use`,
      );
    }
    const { version, movedFrom } = chosen;
    const name = decisions.nameVersion(modelName, version);
    return neverthrow.ok({ name, model: modelName, version, movedFrom });
  }

  async #tryReplica(
    request: requests.ModelRequest,
    choice: Choice,
    skip: ReadonlySet<string>,
  ): Promise<TryOutcome> {
    const { fleet } = this.#options;
    const replica = fleet.pick(choice.name, {
      affinityKey: request.hasSession
        ? request.pin.sessionId
        : request.prefixKey,
      excluded: skip,
    });
    if (replica === undefined) {
      return refuse("no-upstream", `no replica serves '${choice.name}'`);
    }
    if (this.#isHopeless(choice.name, replica, request)) {
      return refuse(
        "overloaded",
        `'${choice.name}' is full and this account is over its share`,
      );
    }
    const attempt = fleet.startAttempt(replica.id, {
      ...this.#buildWork(request),
      isTwoPhase: false,
      call: {
        type: "model",
        model: choice.model,
        version: choice.version,
        isStreamed: request.isStreamed,
        wantsUsage: request.wantsUsage,
      },
    }, this.#openShare(choice.name, request));
    if (attempt === undefined) {
      this.#shares.close(choice.name, request.account.name);
      return refuse(
        "upstream-unreachable",
        "the connection is closed",
        replica.id,
      );
    }
    const start = await waitStart(attempt, request, this.#services.clock);
    if (start.type === "failed") {
      return refuse(start.kind, start.message, replica.id);
    }
    if (start.type === "reserved") {
      return refuse("internal", "a model call was reserved", replica.id);
    }
    if (isRetryableStatus(start.status)) {
      attempt.cancel();
      return refuse(
        "upstream-failed",
        `the upstream answered ${start.status}`,
        replica.id,
      );
    }
    const { name: item, movedFrom } = choice;
    const { pin } = request;
    return {
      type: "started",
      answer: { attempt, ...start, item, movedFrom, pin },
    };
  }

  /** Refused early: what could start only after its deadline, or would not even be queued. */
  #isHopeless(
    name: string,
    replica: decisions.Replica,
    request: requests.CallerRequest,
  ): boolean {
    if (!this.#shares.isOverShare(name, request.account.name)) return false;
    const leftMs = request.deadlineAtMs - this.#services.clock.monotonicMs();
    return decisions.predictLoad(replica) >= SATURATION_LOAD ||
      decisions.predictStartMs(replica) > leftMs;
  }

  /** Counts work in flight for the account; the result ends the count. */
  #openShare(name: string, request: requests.CallerRequest): () => void {
    const { name: account, shareWeight } = request.account;
    this.#shares.open(name, account, shareWeight);
    return () => this.#shares.close(name, account);
  }

  #pickServiceReplica(
    name: string,
    claim: keys.CallClaim | undefined,
    excluded: ReadonlySet<string>,
  ): decisions.Replica | undefined {
    const { fleet } = this.#options;
    if (claim === undefined) {
      return fleet.pick(name, { affinityKey: undefined, excluded });
    }
    return fleet.pickHome(name, `${name}/${claim.partition}`, excluded);
  }

  async #tryService(input: {
    readonly request: requests.ServiceRequest;
    readonly claim: keys.CallClaim | undefined;
    readonly replica: decisions.Replica;
    readonly voided: readonly string[];
  }): Promise<ServiceOutcome> {
    const { request, claim, replica, voided } = input;
    const isRepeatable = keys.isRepeatable(request);
    const attempt = this.#options.fleet.startAttempt(replica.id, {
      ...this.#buildWork(request),
      isTwoPhase: !isRepeatable,
      call: {
        type: "service",
        service: request.service.name,
        method: request.method,
        path: request.path,
        headers: keys.buildHeaders(request),
        isRepeatable,
        ...(claim === undefined
          ? {}
          : { claim: { ...claim, voided: [...voided] } }),
      },
    }, this.#openShare(`service:${request.service.name}`, request));
    if (attempt === undefined) {
      this.#shares.close(
        `service:${request.service.name}`,
        request.account.name,
      );
      const error = kernel.makeError(
        "upstream-unreachable",
        "the connection is closed",
      );
      return { type: "failed", error, isCommitted: false, attemptId: "none" };
    }
    let start = await waitStart(attempt, request, this.#services.clock);
    if (start.type === "reserved") {
      attempt.commit();
      start = await waitStart(attempt, request, this.#services.clock);
    }
    if (start.type === "head") {
      const item = `service:${request.service.name}`;
      const answer = {
        attempt,
        ...start,
        item,
        movedFrom: undefined,
        pin: undefined,
      };
      return { type: "started", answer };
    }
    const { attemptId, isCommitted } = attempt;
    const error = start.type === "failed"
      ? kernel.makeError(start.kind, start.message)
      : kernel.makeError("internal", "the call was reserved twice");
    return { type: "failed", error, isCommitted, attemptId };
  }

  #buildWork(
    request: requests.CallerRequest,
  ): Omit<fleets.WorkRequest, "isTwoPhase" | "call"> {
    const { requestId, account, body } = request;
    return {
      requestId,
      account: account.name,
      shareWeight: account.shareWeight,
      priority: account.priority,
      deadlineInMs: request.deadlineAtMs - this.#services.clock.monotonicMs(),
      body,
    };
  }

  #mayRetry(
    name: string,
    kind: kernel.ErrorKind,
    attemptsMade: number,
  ): boolean {
    if (!RETRYABLE_KINDS.has(kind) || attemptsMade >= MAX_ATTEMPTS) {
      return false;
    }
    const isGranted = this.#budget(name).takeRetry();
    this.#services.metrics.increment(
      isGranted ? "retry.taken" : "retry.budget-empty",
    );
    return isGranted;
  }

  #budget(name: string): decisions.RetryBudget {
    const held = this.#budgets.get(name);
    if (held !== undefined) return held;
    const budget = new decisions.RetryBudget();
    this.#budgets.set(name, budget);
    return budget;
  }

  #retryRatio(): number {
    return this.#options.holder.index?.bundle.limits.retryRatio ?? 0;
  }

  /** The gate that knew a newer bundle has sent it along. */
  async #waitForNewer(revision: number): Promise<boolean> {
    const { holder } = this.#options;
    const endAtMs = this.#services.clock.monotonicMs() + REVISION_WAIT_MS;
    while (
      holder.revision <= revision &&
      this.#services.clock.monotonicMs() < endAtMs
    ) {
      await kernel.sleep(REVISION_WAIT_STEP_MS);
    }
    return holder.revision > revision;
  }

  #record(name: string, request: requests.CallerRequest, target: string): void {
    const { requestId } = request;
    this.#services.timeline.record(name, {
      requestId,
      account: request.account.name,
      target,
    });
  }
}

type TryOutcome =
  | { readonly type: "started"; readonly answer: requests.StartedAnswer }
  | {
    readonly type: "failed";
    readonly error: kernel.AppError;
    readonly replicaId: string | undefined;
  };

type ServiceOutcome =
  | { readonly type: "started"; readonly answer: requests.StartedAnswer }
  | {
    readonly type: "failed";
    readonly error: kernel.AppError;
    readonly isCommitted: boolean;
    readonly attemptId: string;
  };

const SERVER_ERROR_FROM = 500;
const TOO_MANY_REQUESTS = 429;

/** An engine's own failure, which another replica may not share. */
function isRetryableStatus(status: number): boolean {
  return status >= SERVER_ERROR_FROM || status === TOO_MANY_REQUESTS;
}

function refuse(
  kind: kernel.ErrorKind,
  message: string,
  replicaId?: string,
): TryOutcome {
  return { type: "failed", error: kernel.makeError(kind, message), replicaId };
}

/** Waits for an upstream's first word; a caller that goes cancels the attempt. */
async function waitStart(
  attempt: attempts.Attempt,
  request: requests.CallerRequest,
  clock: kernel.Clock,
): Promise<attempts.AttemptStart> {
  const cancel = () => attempt.cancel();
  request.signal.addEventListener("abort", cancel, { once: true });
  if (request.signal.aborted) cancel();
  const start = await attempt.waitStart(
    request.deadlineAtMs - clock.monotonicMs(),
  );
  request.signal.removeEventListener("abort", cancel);
  return start;
}
