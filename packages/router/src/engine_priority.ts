/** Urgency of a request: its rank among requests, and its priority at an engine. */
import type * as requests from "./request.ts";
import type * as sends from "./send.ts";

/** Engine priority of the most urgent requests; retries are scheduled one level ahead. */
const BASE_ENGINE_PRIORITY = 2;
const MAX_ENGINE_PRIORITY = 9;

/** Rank of a request; 0 is the most urgent. */
export function getPriority(
  { account, route }: Pick<requests.AdmittedRequest, "account" | "route">,
): number {
  return account?.priority ?? route.priority;
}

/** Scheduling priority at the engine; `undefined` for replicas that are no engines. */
export function chooseEnginePriority(
  request: requests.AdmittedRequest,
  options: Pick<sends.SendOptions, "model" | "earlierSends">,
): number | undefined {
  if (options.model === undefined) return undefined;
  const retryBoost = options.earlierSends > 0 ? 1 : 0;
  return Math.max(
    0,
    Math.min(
      MAX_ENGINE_PRIORITY,
      BASE_ENGINE_PRIORITY + getPriority(request) - retryBoost,
    ),
  );
}
