/**
 * Admission of requests: route, account and service, and whether this process's
 * view of the configuration is recent enough to answer for them.
 */
import type * as bundle from "@jackdawbank/bundle";
import * as bundles from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import type * as control from "./control_task.ts";
import type * as ports from "./ports.ts";
import type * as requests from "./request.ts";

/** A view older than this may lack routes and keys: they are not called unknown. */
const UNKNOWN_MAX_AGE_MS = 2_500;
/** What a caller whose request finds no replica should wait. */
const NO_REPLICA_RETRY_MS = 400;
/** What a caller should wait for a view that is current again. */
const STALE_RETRY_MS = 500;

/** A refusal with the delay after which the caller may come back. */
export interface Refusal {
  readonly error: kernel.AppError;
  readonly retryAfterMs?: number;
}

function refusal(
  kind: kernel.ErrorKind,
  message: string,
  retryAfterMs?: number,
): Refusal {
  const error = kernel.makeError(kind, message);
  return retryAfterMs === undefined ? { error } : { error, retryAfterMs };
}

/** The refusal of a request for which no replica is left. */
export function refuseNoReplica(service: string): Refusal {
  const reason = `no replica of '${service}' is left to try`;
  return refusal("no-upstream", reason, NO_REPLICA_RETRY_MS);
}

/** Admits requests by the configuration in force. */
export class Admission {
  readonly #control: control.ControlTask;
  readonly #settings: ports.RouterSettings;

  constructor(control: control.ControlTask, settings: ports.RouterSettings) {
    this.#control = control;
    this.#settings = settings;
  }

  /** Checks route, account and the age of what this process knows. */
  admit(
    request: requests.IncomingRequest,
  ): neverthrow.Result<requests.AdmittedRequest, Refusal> {
    const { index } = this.#control;
    if (index === undefined || !this.#control.hasRead) {
      return neverthrow.err(
        refusal("no-bundle", "no configuration is known yet", STALE_RETRY_MS),
      );
    }
    const path = request.target.split("?", 1)[0] as string;
    const route = bundles.findRoute(index, request.hostName, path);
    if (route === undefined) {
      return neverthrow.err(
        this.#refuseUnknown("not-found", "no route matches"),
      );
    }
    const account = this.#findAccount(index, route, request);
    if (account.isErr()) return neverthrow.err(account.error);
    const { fields } = request;
    const seed = fields.session ?? request.requestId;
    const fraction = decisions.hashFraction(seed);
    const service = chooseTarget(route, fraction);
    if (service === undefined) {
      return neverthrow.err(
        refusal("no-upstream", "the route has no service", NO_REPLICA_RETRY_MS),
      );
    }
    const waitMs = Math.min(route.timeoutMs, fields.deadlineMs ?? Infinity);
    return neverthrow.ok({
      ...request,
      route,
      service,
      account: account.value,
      deadlineAtMs: request.receivedAtMs + waitMs,
      fraction: hashForVersion(seed),
    });
  }

  /** Whether the request may still be sent on. */
  checkFresh(request: requests.AdmittedRequest): Refusal | undefined {
    if (request.account === undefined) return undefined;
    const { revocationBoundMs } = this.#settings;
    const limitMs = decisions.computeMaxKeyedAgeMs(revocationBoundMs);
    if (this.#control.ageMs <= limitMs) return undefined;
    return refusal(
      "stale-configuration",
      "the configuration could not be confirmed for too long",
      STALE_RETRY_MS,
    );
  }

  #findAccount(
    index: bundle.RouteIndex,
    route: bundle.Route,
    request: requests.IncomingRequest,
  ): neverthrow.Result<bundle.RouteTableAccount | undefined, Refusal> {
    if (index.table.accounts.length === 0 || route.isPublic) {
      return neverthrow.ok(undefined);
    }
    const { keySha256 } = request.fields;
    const account = keySha256 === undefined
      ? undefined
      : index.accountByKeySha256.get(keySha256);
    return account === undefined
      ? neverthrow.err(
        this.#refuseUnknown("unauthenticated", "the key is not known"),
      )
      : neverthrow.ok(account);
  }

  /** What is unknown here may be in a configuration that has not arrived. */
  #refuseUnknown(kind: kernel.ErrorKind, message: string): Refusal {
    const limitMs = Math.min(
      UNKNOWN_MAX_AGE_MS,
      decisions.computeMaxKeyedAgeMs(this.#settings.revocationBoundMs),
    );
    return this.#control.ageMs > limitMs
      ? refusal(
        "stale-configuration",
        `${message}, and the configuration is not current`,
        STALE_RETRY_MS,
      )
      : refusal(kind, message);
  }
}

/** Stable fraction that decides a session's version, apart from its service. */
export function hashForVersion(seed: string): number {
  return decisions.hashFraction(`version/${seed}`);
}

/** The service of a request by the weights of its route. */
export function chooseTarget(
  route: bundle.Route,
  fraction: number,
): string | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = fraction * total;
  for (const { service, weight } of route.targets) {
    if (left < weight) return service;
    left -= weight;
  }
  return route.targets.at(-1)?.service;
}
