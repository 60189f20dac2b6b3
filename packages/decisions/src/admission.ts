/**
 * The last gate: whether work may be handed to the upstream now. Called at the
 * moment of hand-over, never when work is queued.
 */
import type * as kernel from "@jackdawbank/kernel";
import * as access from "./access.ts";

/** What the gate knows at the moment of hand-over. */
export interface AdmissionState {
  readonly index: access.BundleIndex | undefined;
  readonly isLeaving: boolean;
  /** Age of the last confirmation that the held revision is current. */
  readonly confirmedAgeMs: number;
  readonly loaded: readonly string[];
  readonly nowMs: number;
}

/** Work as the gate sees it. */
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

/** Tells why work may not be handed over; `undefined` when it may. */
export function checkAdmission(
  view: AdmissionState,
  work: AdmissionWork,
): kernel.ErrorKind | undefined {
  if (view.isLeaving) return "leaving";
  if (view.index === undefined) return "no-bundle";
  if (view.nowMs >= work.deadlineAtMs) return "deadline-before-run";
  const account = view.index.accountByName.get(work.account);
  if (account === undefined) return "unauthenticated";
  if (work.type === "service") {
    if (!view.index.serviceByName.has(work.service)) return "unknown-service";
    return account.services.includes(work.service)
      ? undefined
      : "service-not-allowed";
  }
  return refuseModel(view, view.index, work);
}

function refuseModel(
  view: AdmissionState,
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
  const isStale = view.confirmedAgeMs > index.bundle.limits.freshnessBoundMs;
  if (version.state === "rolling" && isStale) return "stale-configuration";
  if (!view.loaded.includes(`${work.model}@${work.version}`)) {
    return "no-upstream";
  }
  return undefined;
}
