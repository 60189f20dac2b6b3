/**
 * Admission control: finds the route, account and service of a request, and
 * checks that the local configuration is recent enough to decide on it.
 */
import type * as bundle from "@jackdawbank/bundle";
import * as bundles from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import type * as control from "./control_task.ts";
import type * as ports from "./ports.ts";
import type * as requests from "./request.ts";

/** With an older view, an unknown route or key may be a new one and is not refused as unknown. */
const MAX_AGE_FOR_UNKNOWN_MS = 2_500;
/** Retry-After where no replica is available. */
const NO_REPLICA_RETRY_AFTER_MS = 400;
/** Retry-After where other bodies take the memory of all replicas. */
const NO_BODY_ROOM_RETRY_AFTER_MS = 1_000;
/** Retry-After while the local configuration is missing or out of date. */
const STALE_RETRY_AFTER_MS = 500;

/** A refused request, with the delay after which the caller may retry. */
export interface Refusal {
  readonly error: kernel.AppError;
  readonly retryAfterMs?: number;
}

function makeRefusal(
  kind: kernel.ErrorKind,
  message: string,
  retryAfterMs?: number,
): Refusal {
  const error = kernel.makeError(kind, message);
  return retryAfterMs === undefined ? { error } : { error, retryAfterMs };
}

/** Refusal of a request whose caller disconnected before it was sent; it is not answered. */
export const CALLER_GONE_REFUSAL: Refusal = makeRefusal(
  "cancelled",
  "the caller disconnected",
);

/** Refusal of a request that this process could not finish before it stops. */
export const LEAVING_REFUSAL: Refusal = makeRefusal(
  "leaving",
  "this process is stopping",
  0,
);

/** Refusal of a request whose deadline has passed before it could be sent. */
export const TOO_LATE_REFUSAL: Refusal = makeRefusal(
  "deadline-before-run",
  "the deadline passed before the request could be sent",
);

/** Creates the refusal of a request for which no replica is available. */
export function makeNoReplicaRefusal(
  service: string,
  retryAfterMs = NO_REPLICA_RETRY_AFTER_MS,
): Refusal {
  const reason = `no replica of '${service}' is available`;
  return makeRefusal("no-upstream", reason, retryAfterMs);
}

/** Creates the refusal of a request that no replica can begin before its deadline. */
export function makeNoRoomRefusal(
  service: string,
  retryAfterMs: number,
): Refusal {
  const reason = `no replica of '${service}' has room before the deadline`;
  return makeRefusal("overloaded", reason, retryAfterMs);
}

/** Creates the refusal of a request whose body no replica has memory for. */
export function makeNoBodyRoomRefusal(service: string): Refusal {
  const reason = `no replica of '${service}' has memory for the body`;
  return makeRefusal("overloaded", reason, NO_BODY_ROOM_RETRY_AFTER_MS);
}

/** Creates the refusal of a request whose prompt is larger than the memory of every replica. */
export function makeTooLargeRefusal(service: string): Refusal {
  const reason = `the prompt is larger than the memory of '${service}'`;
  return makeRefusal("overloaded", reason);
}

/** Admits requests by the current configuration. */
export class Admission {
  readonly #control: control.ControlTask;
  readonly #settings: ports.RouterSettings;

  constructor(control: control.ControlTask, settings: ports.RouterSettings) {
    this.#control = control;
    this.#settings = settings;
  }

  /** Finds the route, account and service of a request, or refuses it. */
  admit(
    request: requests.IncomingRequest,
  ): neverthrow.Result<requests.AdmittedRequest, Refusal> {
    const { routeIndex } = this.#control;
    if (routeIndex === undefined || !this.#control.hasView) {
      return neverthrow.err(
        makeRefusal(
          "no-bundle",
          "no configuration received yet",
          STALE_RETRY_AFTER_MS,
        ),
      );
    }
    const path = request.target.split("?", 1)[0] as string;
    const route = bundles.findRoute(routeIndex, request.hostName, path);
    if (route === undefined) {
      return neverthrow.err(
        this.#makeUnknownRefusal("not-found", "no route matches"),
      );
    }
    const account = this.#findAccount(routeIndex, route, request);
    if (account.isErr()) return neverthrow.err(account.error);
    const { fields } = request;
    const seed = fields.session ?? request.requestId;
    const serviceFraction = decisions.hashFraction(seed);
    const service = chooseService(route, serviceFraction);
    if (service === undefined) {
      return neverthrow.err(
        makeRefusal(
          "no-upstream",
          "the route has no target",
          NO_REPLICA_RETRY_AFTER_MS,
        ),
      );
    }
    const waitMs = Math.min(route.timeoutMs, fields.deadlineMs ?? Infinity);
    return neverthrow.ok({
      ...request,
      route,
      service,
      account: account.value,
      deadlineAtMs: request.receivedAtMs + waitMs,
      versionFraction: hashForVersion(seed),
    });
  }

  /**
   * Refuses requests with an account if the configuration was not confirmed
   * recently enough, as the account's key may have been revoked since, or if the key
   * is not in the configuration any more: it may have changed since the admission.
   */
  checkConfigurationAge(
    request: requests.AdmittedRequest,
  ): Refusal | undefined {
    if (request.account === undefined) return undefined;
    const { revocationBoundMs } = this.#settings;
    const limitMs = decisions.computeMaxKeyedAgeMs(revocationBoundMs);
    if (this.#control.viewAgeMs <= limitMs) {
      const { keySha256 = "" } = request.fields;
      const account = this.#control.routeIndex?.accountByKeySha256.get(
        keySha256,
      );
      return account?.name === request.account.name
        ? undefined
        : this.#makeUnknownRefusal("unauthenticated", "the key was revoked");
    }
    return makeRefusal(
      "stale-configuration",
      "the configuration was not confirmed recently enough",
      STALE_RETRY_AFTER_MS,
    );
  }

  #findAccount(
    routeIndex: bundle.RouteIndex,
    route: bundle.Route,
    request: requests.IncomingRequest,
  ): neverthrow.Result<bundle.RouteTableAccount | undefined, Refusal> {
    if (routeIndex.table.accounts.length === 0 || route.isPublic) {
      return neverthrow.ok(undefined);
    }
    const { keySha256 } = request.fields;
    const account = keySha256 === undefined
      ? undefined
      : routeIndex.accountByKeySha256.get(keySha256);
    return account === undefined
      ? neverthrow.err(
        this.#makeUnknownRefusal("unauthenticated", "the key is not known"),
      )
      : neverthrow.ok(account);
  }

  /** With an old configuration, the route or key may exist in a newer one. */
  #makeUnknownRefusal(kind: kernel.ErrorKind, message: string): Refusal {
    const limitMs = Math.min(
      MAX_AGE_FOR_UNKNOWN_MS,
      decisions.computeMaxKeyedAgeMs(this.#settings.revocationBoundMs),
    );
    return this.#control.viewAgeMs > limitMs
      ? makeRefusal(
        "stale-configuration",
        `${message}, and the configuration may be out of date`,
        STALE_RETRY_AFTER_MS,
      )
      : makeRefusal(kind, message);
  }
}

/** Hash in [0, 1) that decides a session's version, independent of the choice of its service. */
export function hashForVersion(seed: string): number {
  return decisions.hashFraction(`version/${seed}`);
}

/** Chooses the service of a request by the weights of its route's targets. */
export function chooseService(
  route: bundle.Route,
  fraction: number,
): string | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = fraction * total;
  for (const { service, weight } of route.targets) {
    if (remaining < weight) return service;
    remaining -= weight;
  }
  return route.targets.at(-1)?.service;
}
