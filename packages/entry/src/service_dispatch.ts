/** Dispatch of calls of plain services, claimed where they may not run twice. */
import type * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as contexts from "./dispatch_context.ts";
import * as keys from "./idempotency.ts";
import type * as requests from "./requests.ts";

type ServiceOutcome =
  | { readonly type: "started"; readonly answer: requests.StartedResponse }
  | {
    readonly type: "failed";
    readonly error: kernel.AppError;
    readonly isCommitted: boolean;
    readonly attemptId: string;
  };

/** Starts service calls of one entry. */
export class ServiceDispatch {
  readonly #context: contexts.DispatchContext;

  constructor(context: contexts.DispatchContext) {
    this.#context = context;
  }

  /** Starts a call of a plain service. */
  async start(
    request: requests.ServiceRequest,
  ): Promise<kernel.Outcome<requests.StartedResponse>> {
    const name = `service:${request.service.name}`;
    const excluded = new Set<string>();
    const voided: string[] = [];
    const claim = keys.buildClaim(request);
    this.#context.budget(name).recordFirstAttempt(this.#context.retryRatio);
    let last = kernel.makeError(
      "no-upstream",
      `no replica of '${request.service.name}' is usable`,
    );
    for (let redirects = 0; redirects < contexts.MAX_REDIRECTS;) {
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
      if (!this.#context.mayRetry(name, last.kind, excluded.size)) {
        return neverthrow.err(last);
      }
    }
    return neverthrow.err(last);
  }

  #pickServiceReplica(
    name: string,
    claim: keys.CallClaim | undefined,
    excluded: ReadonlySet<string>,
  ): decisions.Replica | undefined {
    const { fleet } = this.#context.options;
    if (claim === undefined) {
      return fleet.pickReplica(name, { affinityKey: undefined, excluded });
    }
    return fleet.pickHomeReplica(name, `${name}/${claim.partition}`, excluded);
  }

  async #tryService(input: {
    readonly request: requests.ServiceRequest;
    readonly claim: keys.CallClaim | undefined;
    readonly replica: decisions.Replica;
    readonly voided: readonly string[];
  }): Promise<ServiceOutcome> {
    const { request, claim, replica, voided } = input;
    const isRepeatable = keys.isRepeatable(request);
    const attempt = this.#context.options.fleet.startAttempt(replica.id, {
      ...this.#context.buildWork(request),
      isTwoPhase: !isRepeatable,
      call: {
        type: "service",
        service: request.service.name,
        method: request.method,
        path: request.path,
        headers: keys.buildServiceHeaders(request),
        isRepeatable,
        ...(claim === undefined
          ? {}
          : { claim: { ...claim, voided: [...voided] } }),
      },
    }, this.#context.openShare(`service:${request.service.name}`, request));
    if (attempt === undefined) {
      this.#context.shares.recordEnd(
        `service:${request.service.name}`,
        request.account.name,
      );
      const error = kernel.makeError(
        "upstream-unreachable",
        "the connection is closed",
      );
      return { type: "failed", error, isCommitted: false, attemptId: "none" };
    }
    let start = await contexts.waitStart(
      attempt,
      request,
      this.#context.services.clock,
    );
    if (start.type === "reserved") {
      attempt.commit();
      start = await contexts.waitStart(
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
      : kernel.makeError("internal", "the call was reserved twice");
    return { type: "failed", error, isCommitted, attemptId };
  }
}
