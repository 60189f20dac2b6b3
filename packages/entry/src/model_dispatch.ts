/** Dispatch of model calls: chooses version and replica, retries within the budget. */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as contexts from "./dispatch_context.ts";
import type * as requests from "./requests.ts";

/** Predicted work per slot from which a replica gets no requests of accounts over their share. */
const SATURATED_LOAD = 4;
const NEWER_BUNDLE_TIMEOUT_MS = 300;
const NEWER_BUNDLE_POLL_INTERVAL_MS = 5;
const MIN_SERVER_ERROR_STATUS = 500;
const TOO_MANY_REQUESTS_STATUS = 429;

/** Errors that count as failures of the version that ran. */
const UPSTREAM_FAULT_KINDS: ReadonlySet<kernel.ErrorKind> = new Set([
  "upstream-failed",
  "answer-incomplete",
  "deadline-after-run",
]);
/** Refusals that a newer bundle at the upstream process can cause. */
const STALE_BUNDLE_KINDS: ReadonlySet<kernel.ErrorKind> = new Set([
  "version-withdrawn",
  "model-not-allowed",
  "unknown-model",
  "unauthenticated",
]);

/** The version chosen for a request; `name` is `model@version`. */
interface VersionTarget {
  readonly name: string;
  readonly model: string;
  readonly version: string;
  readonly movedFrom: string | undefined;
}

type AttemptOutcome =
  | { readonly type: "started"; readonly answer: requests.StartedResponse }
  | {
    readonly type: "failed";
    readonly error: kernel.AppError;
    readonly replicaId: string | undefined;
  };

/** Starts model calls of one entry. */
export class ModelDispatch {
  readonly #context: contexts.DispatchContext;

  constructor(context: contexts.DispatchContext) {
    this.#context = context;
  }

  /** Tries replicas of one model that are not in `failedReplicaIds`; those that fail are added. */
  async start(
    request: requests.ModelRequest,
    model: string,
    failedReplicaIds: Set<string>,
  ): Promise<kernel.Outcome<requests.StartedResponse>> {
    let redirects = 0;
    let isFirstAttempt = failedReplicaIds.size === 0;
    let lastError: kernel.AppError | undefined;
    for (;;) {
      const index = this.#context.options.holder.index;
      if (index === undefined) {
        return kernel.fail("no-bundle", "no bundle has been loaded yet");
      }
      const target = this.#chooseVersion(request, model, index);
      if (target.isErr()) return neverthrow.err(target.error);
      const { name } = target.value;
      if (isFirstAttempt) {
        this.#context.getRetryBudget(name).recordFirstAttempt(
          index.bundle.limits.retryRatio,
        );
      }
      isFirstAttempt = false;
      const revision = index.bundle.revision;
      const outcome = await this.#tryReplica(
        request,
        target.value,
        failedReplicaIds,
      );
      if (outcome.type === "started") return neverthrow.ok(outcome.answer);
      lastError = outcome.error;
      if (STALE_BUNDLE_KINDS.has(lastError.kind)) {
        redirects += 1;
        const isNewer = await this.#waitForNewerBundle(revision);
        if (isNewer && redirects < contexts.MAX_REDIRECTS) continue;
        return neverthrow.err(lastError);
      }
      if (UPSTREAM_FAULT_KINDS.has(lastError.kind)) {
        this.#context.options.policy.recordFailure(request, name);
      }
      if (outcome.replicaId === undefined) return neverthrow.err(lastError);
      failedReplicaIds.add(outcome.replicaId);
      if (
        !this.#context.takeRetry(name, lastError.kind, failedReplicaIds.size)
      ) {
        return neverthrow.err(lastError);
      }
      this.#context.recordEvent("request.retried", request, name);
    }
  }

  #chooseVersion(
    request: requests.ModelRequest,
    modelName: string,
    index: decisions.BundleIndex,
  ): kernel.Outcome<VersionTarget> {
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
        `no version of '${modelName}' is available to this account`,
      );
    }
    const { version, movedFrom } = chosen;
    const name = decisions.formatVersionName(modelName, version);
    return neverthrow.ok({ name, model: modelName, version, movedFrom });
  }

  async #tryReplica(
    request: requests.ModelRequest,
    target: VersionTarget,
    failedReplicaIds: ReadonlySet<string>,
  ): Promise<AttemptOutcome> {
    const { fleet } = this.#context.options;
    const replica = fleet.pickReplica(target.name, {
      affinityKey: request.hasSessionHeader
        ? request.pin.sessionId
        : request.prefixKey,
      excluded: failedReplicaIds,
    });
    if (replica === undefined) {
      return createFailure("no-upstream", `no replica serves '${target.name}'`);
    }
    if (this.#shouldRefuseEarly(target.name, replica, request)) {
      return createFailure(
        "overloaded",
        `'${target.name}' is full and this account is over its share`,
      );
    }
    const attempt = fleet.startAttempt(replica.id, {
      ...this.#context.buildWorkFrame(request),
      isTwoPhase: false,
      call: {
        type: "model",
        model: target.model,
        version: target.version,
        isStreamed: request.isStreamed,
        wantsUsage: request.wantsUsage,
      },
    }, this.#context.countInFlight(target.name, request));
    if (attempt === undefined) {
      this.#context.accountShares.recordEnd(target.name, request.account.name);
      return createFailure(
        "upstream-unreachable",
        "the connection to the upstream process is closed",
        replica.id,
      );
    }
    const start = await contexts.waitForStart(
      attempt,
      request,
      this.#context.services.clock,
    );
    if (start.type === "failed") {
      return createFailure(start.kind, start.message, replica.id);
    }
    if (start.type === "reserved") {
      return createFailure(
        "internal",
        "the upstream process sent a reservation for a model call",
        replica.id,
      );
    }
    if (isRetryableStatus(start.status)) {
      attempt.cancel();
      return createFailure(
        "upstream-failed",
        `the upstream answered with HTTP status ${start.status}`,
        replica.id,
      );
    }
    const { name: item, movedFrom } = target;
    const { pin } = request;
    return {
      type: "started",
      answer: { attempt, ...start, item, movedFrom, pin },
    };
  }

  /**
   * Whether an account over its share has its request refused before it is sent:
   * the replica is saturated, or the request would start only after its deadline.
   */
  #shouldRefuseEarly(
    name: string,
    replica: decisions.Replica,
    request: requests.CallerRequest,
  ): boolean {
    if (!this.#context.accountShares.isOverShare(name, request.account.name)) {
      return false;
    }
    const leftMs = request.deadlineAtMs -
      this.#context.services.clock.monotonicMs();
    return decisions.predictLoad(replica) >= SATURATED_LOAD ||
      decisions.predictStartMs(replica) > leftMs;
  }

  /** Waits for the newer bundle, which the upstream process sends with its refusal. */
  async #waitForNewerBundle(revision: number): Promise<boolean> {
    const { holder } = this.#context.options;
    const deadlineAtMs = this.#context.services.clock.monotonicMs() +
      NEWER_BUNDLE_TIMEOUT_MS;
    while (
      holder.revision <= revision &&
      this.#context.services.clock.monotonicMs() < deadlineAtMs
    ) {
      await kernel.sleep(NEWER_BUNDLE_POLL_INTERVAL_MS);
    }
    return holder.revision > revision;
  }
}

/** Whether a status is a failure of one engine, so that another replica may succeed. */
function isRetryableStatus(status: number): boolean {
  return status >= MIN_SERVER_ERROR_STATUS ||
    status === TOO_MANY_REQUESTS_STATUS;
}

function createFailure(
  kind: kernel.ErrorKind,
  message: string,
  replicaId?: string,
): AttemptOutcome {
  return { type: "failed", error: kernel.makeError(kind, message), replicaId };
}
