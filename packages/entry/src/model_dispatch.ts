/** Dispatch of model calls: version, replica, and retries within the budget. */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as contexts from "./dispatch_context.ts";
import type * as requests from "./requests.ts";

const SATURATION_LOAD = 4;
const REVISION_WAIT_MS = 300;
const REVISION_WAIT_STEP_MS = 5;
const SERVER_ERROR_FROM = 500;
const TOO_MANY_REQUESTS = 429;

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

/** A chosen version, with the replica to try. */
interface Choice {
  readonly name: string;
  readonly model: string;
  readonly version: string;
  readonly movedFrom: string | undefined;
}

type TryOutcome =
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

  /** Tries the replicas of one model; `skip` names those that failed before. */
  async start(
    request: requests.ModelRequest,
    model: string,
    skip: Set<string>,
  ): Promise<kernel.Outcome<requests.StartedResponse>> {
    let redirects = 0;
    let isFirst = skip.size === 0;
    let last: kernel.AppError | undefined;
    for (;;) {
      const index = this.#context.options.holder.index;
      if (index === undefined) {
        return kernel.fail("no-bundle", "no bundle is held yet");
      }
      const choice = this.#chooseVersion(request, model, index);
      if (choice.isErr()) return neverthrow.err(choice.error);
      const { name } = choice.value;
      if (isFirst) {
        this.#context.budget(name).recordFirstAttempt(
          index.bundle.limits.retryRatio,
        );
      }
      isFirst = false;
      const revision = index.bundle.revision;
      const outcome = await this.#tryReplica(request, choice.value, skip);
      if (outcome.type === "started") return neverthrow.ok(outcome.answer);
      last = outcome.error;
      if (BUNDLE_KINDS.has(last.kind)) {
        redirects += 1;
        const isNewer = await this.#waitForNewer(revision);
        if (isNewer && redirects < contexts.MAX_REDIRECTS) continue;
        return neverthrow.err(last);
      }
      if (UPSTREAM_FAULT_KINDS.has(last.kind)) {
        this.#context.options.policy.recordFailure(request, name);
      }
      if (outcome.replicaId === undefined) return neverthrow.err(last);
      skip.add(outcome.replicaId);
      if (!this.#context.mayRetry(name, last.kind, skip.size)) {
        return neverthrow.err(last);
      }
      this.#context.record("request.retried", request, name);
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
    const name = decisions.formatVersionName(modelName, version);
    return neverthrow.ok({ name, model: modelName, version, movedFrom });
  }

  async #tryReplica(
    request: requests.ModelRequest,
    choice: Choice,
    skip: ReadonlySet<string>,
  ): Promise<TryOutcome> {
    const { fleet } = this.#context.options;
    const replica = fleet.pickReplica(choice.name, {
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
      ...this.#context.buildWork(request),
      isTwoPhase: false,
      call: {
        type: "model",
        model: choice.model,
        version: choice.version,
        isStreamed: request.isStreamed,
        wantsUsage: request.wantsUsage,
      },
    }, this.#context.openShare(choice.name, request));
    if (attempt === undefined) {
      this.#context.shares.recordEnd(choice.name, request.account.name);
      return refuse(
        "upstream-unreachable",
        "the connection is closed",
        replica.id,
      );
    }
    const start = await contexts.waitStart(
      attempt,
      request,
      this.#context.services.clock,
    );
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
    if (!this.#context.shares.isOverShare(name, request.account.name)) {
      return false;
    }
    const leftMs = request.deadlineAtMs -
      this.#context.services.clock.monotonicMs();
    return decisions.predictLoad(replica) >= SATURATION_LOAD ||
      decisions.predictStartMs(replica) > leftMs;
  }

  /** The gate that knew a newer bundle has sent it along. */
  async #waitForNewer(revision: number): Promise<boolean> {
    const { holder } = this.#context.options;
    const endAtMs = this.#context.services.clock.monotonicMs() +
      REVISION_WAIT_MS;
    while (
      holder.revision <= revision &&
      this.#context.services.clock.monotonicMs() < endAtMs
    ) {
      await kernel.sleep(REVISION_WAIT_STEP_MS);
    }
    return holder.revision > revision;
  }
}

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
