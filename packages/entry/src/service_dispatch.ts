/** Dispatch of service calls, with a claim for calls that must not run twice. */
import type * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as contexts from "./dispatch_context.ts";
import * as idempotency from "./idempotency.ts";
import type * as requests from "./requests.ts";

type AttemptOutcome =
  | { readonly type: "started"; readonly answer: requests.StartedResponse }
  | {
    readonly type: "failed";
    readonly error: kernel.AppError;
    readonly isCommitted: boolean;
    /** Absent if the call was not sent. */
    readonly attemptId: string | undefined;
  };

/** Starts service calls of one entry. */
export class ServiceDispatch {
  readonly #context: contexts.DispatchContext;

  constructor(context: contexts.DispatchContext) {
    this.#context = context;
  }

  /** Starts a call; a committed call is never sent to another replica. */
  async start(
    request: requests.ServiceRequest,
  ): Promise<kernel.Outcome<requests.StartedResponse>> {
    const name = `service:${request.service.name}`;
    const failedReplicaIds = new Set<string>();
    // Attempts of this call that were never committed and never will be.
    const voidedAttemptIds: string[] = [];
    const claim = idempotency.buildClaim(request);
    this.#context.getRetryBudget(name).recordFirstAttempt(
      this.#context.retryRatio,
    );
    let lastError = kernel.makeError(
      "no-upstream",
      `no replica of '${request.service.name}' is usable`,
    );
    for (let redirects = 0; redirects < contexts.MAX_REDIRECTS;) {
      const replica = this.#pickReplica(name, claim, failedReplicaIds);
      if (replica === undefined) return neverthrow.err(lastError);
      const outcome = await this.#tryReplica({
        request,
        claim,
        replica,
        voided: voidedAttemptIds,
      });
      if (outcome.type === "started") return neverthrow.ok(outcome.answer);
      lastError = outcome.error;
      if (outcome.isCommitted) return neverthrow.err(lastError);
      if (outcome.attemptId !== undefined) {
        voidedAttemptIds.push(outcome.attemptId);
      }
      if (lastError.kind === "claim-moved") {
        redirects += 1;
        continue;
      }
      failedReplicaIds.add(replica.id);
      if (
        !this.#context.takeRetry(name, lastError.kind, failedReplicaIds.size)
      ) {
        return neverthrow.err(lastError);
      }
    }
    return neverthrow.err(lastError);
  }

  #pickReplica(
    name: string,
    claim: idempotency.CallClaim | undefined,
    excluded: ReadonlySet<string>,
  ): decisions.Replica | undefined {
    const { fleet } = this.#context.options;
    if (claim === undefined) {
      return fleet.pickReplica(name, { affinityKey: undefined, excluded });
    }
    return fleet.pickReplicaByKey(name, `${name}/${claim.partition}`, excluded);
  }

  async #tryReplica(input: {
    readonly request: requests.ServiceRequest;
    readonly claim: idempotency.CallClaim | undefined;
    readonly replica: decisions.Replica;
    readonly voided: readonly string[];
  }): Promise<AttemptOutcome> {
    const { request, claim, replica, voided } = input;
    const isRepeatable = idempotency.isRepeatable(request);
    const attempt = this.#context.options.fleet.startAttempt(replica.id, {
      ...this.#context.buildWorkFrame(request),
      isTwoPhase: !isRepeatable,
      call: {
        type: "service",
        service: request.service.name,
        method: request.method,
        path: request.path,
        headers: idempotency.buildServiceHeaders(request),
        isRepeatable,
        ...(claim === undefined
          ? {}
          : { claim: { ...claim, voided: [...voided] } }),
      },
    }, this.#context.countInFlight(`service:${request.service.name}`, request));
    if (attempt === undefined) {
      this.#context.accountShares.recordEnd(
        `service:${request.service.name}`,
        request.account.name,
      );
      const error = kernel.makeError(
        "upstream-unreachable",
        "the connection to the upstream process is closed",
      );
      return {
        type: "failed",
        error,
        isCommitted: false,
        attemptId: undefined,
      };
    }
    let start = await contexts.waitForStart(
      attempt,
      request,
      this.#context.services.clock,
    );
    if (start.type === "reserved") {
      attempt.commit();
      start = await contexts.waitForStart(
        attempt,
        request,
        this.#context.services.clock,
      );
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
      : kernel.makeError(
        "internal",
        "the upstream process reserved the call twice",
      );
    return { type: "failed", error, isCommitted, attemptId };
  }
}
