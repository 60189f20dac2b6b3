/**
 * Final admission check: whether work may be handed to the upstream now. Called
 * immediately before the hand-over rather than when work is queued, so that a
 * withdrawn version or a passed deadline also stops work that has been queued.
 */
import type * as kernel from "@jackdawbank/kernel";
import * as access from "./access.ts";

/** State of the process at the moment of the hand-over. */
export interface AdmissionState {
  readonly index: access.BundleIndex | undefined;
  readonly isLeaving: boolean;
  /** Age of the last confirmation that the revision in force is current. */
  readonly confirmedAgeMs: number;
  /** `model@version` names, or the service's name, that the upstream has loaded. */
  readonly loaded: readonly string[];
  readonly nowMs: number;
}

/** What is to be handed over. */
export type AdmissionWork =
  | {
    readonly type: "model";
    readonly account: string;
    readonly model: string;
    readonly version: string;
    readonly deadlineAtMs: number;
  }
  | {
    readonly type: "service";
    readonly account: string;
    readonly service: string;
    readonly deadlineAtMs: number;
  };

/** Returns why work may not be handed over, or `undefined` if it may. */
export function checkAdmission(
  state: AdmissionState,
  work: AdmissionWork,
): kernel.ErrorKind | undefined {
  if (state.isLeaving) return "leaving";
  if (state.index === undefined) return "no-bundle";
  if (state.nowMs >= work.deadlineAtMs) return "deadline-before-run";
  const account = state.index.accountByName.get(work.account);
  if (account === undefined) return "unauthenticated";
  if (work.type === "service") {
    if (!state.index.serviceByName.has(work.service)) return "unknown-service";
    return account.services.includes(work.service)
      ? undefined
      : "service-not-allowed";
  }
  return checkModelAdmission(state, state.index, work);
}

function checkModelAdmission(
  state: AdmissionState,
  index: access.BundleIndex,
  work: Extract<AdmissionWork, { type: "model" }>,
): kernel.ErrorKind | undefined {
  const model = index.modelByName.get(work.model);
  const version = model?.versions.find((other) =>
    other.version === work.version
  );
  if (version === undefined) return "unknown-model";
  if (version.state === "withdrawn") return "version-withdrawn";
  const account = index.accountByName.get(work.account);
  const grant = account === undefined
    ? undefined
    : access.findGrant(account, work.model);
  if (grant === undefined || !access.isVersionGranted(grant, work.version)) {
    return "model-not-allowed";
  }
  const isStale = state.confirmedAgeMs > index.bundle.limits.freshnessBoundMs;
  if (version.state === "rolling" && isStale) return "stale-configuration";
  if (!state.loaded.includes(`${work.model}@${work.version}`)) {
    return "no-upstream";
  }
  return undefined;
}
