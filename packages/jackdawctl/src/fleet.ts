/** Calls the admin listeners of the processes in the VM list. */
import type * as bundle from "@jackdawbank/bundle";
import * as kernel from "@jackdawbank/kernel";
import type * as stores from "@jackdawbank/store";
import * as undici from "undici";

const CALL_TIMEOUT_MS = 1_000;
const MAX_PUSH_TARGETS = 16;

/** Status of one process as its admin listener reports it. */
export interface ProcessStatus {
  readonly processId: string;
  readonly role: string;
  readonly dataCentre: string;
  readonly isReachable: boolean;
  /** Revision of the active bundle; 0 if there is none or the process did not answer. */
  readonly revision: number;
  readonly status: unknown;
}

/** Returns the JSON reply, or `undefined` if the process does not answer or reports an error. */
async function callAdmin(
  vm: stores.Vm,
  path: string,
  body?: string,
): Promise<unknown> {
  try {
    const response = await undici.request(`http://${vm.adminAddress}${path}`, {
      method: body === undefined ? "GET" : "POST",
      ...(body === undefined
        ? {}
        : { body, headers: { "content-type": "application/json" } }),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    const data = await response.body.json();
    return response.statusCode < 300 ? data : undefined;
  } catch {
    return undefined;
  }
}

function getRevision(status: unknown): number {
  const parsed = status as
    | { readonly bundle?: { readonly revision?: number } }
    | undefined;
  return parsed?.bundle?.revision ?? 0;
}

/** Reads the status of every listed process. */
export function readStatuses(
  vms: readonly stores.Vm[],
): Promise<readonly ProcessStatus[]> {
  return Promise.all(vms.map(async (vm) => {
    const status = await callAdmin(vm, "/status");
    return {
      processId: vm.id,
      role: vm.role,
      dataCentre: vm.dataCentre,
      isReachable: status !== undefined,
      revision: getRevision(status),
      status,
    };
  }));
}

/** Reads the timelines of all processes and merges them by time. */
export async function readTimeline(
  vms: readonly stores.Vm[],
): Promise<readonly kernel.TimelineEvent[]> {
  const replies = await Promise.all(
    vms.map((vm) => callAdmin(vm, "/timeline")),
  );
  return replies
    .flatMap((reply) => {
      const parsed = reply as {
        readonly events?: readonly kernel.TimelineEvent[];
      } | undefined;
      return parsed?.events ?? [];
    })
    .toSorted(kernel.compareEvents);
}

/**
 * Sends an accepted bundle to some processes, which pass it on to the others. A
 * store that fails right after the acceptance then does not delay a withdrawal.
 * Returns the number of processes that accepted it.
 */
export async function pushBundle(
  vms: readonly stores.Vm[],
  signed: bundle.SignedBundle,
): Promise<number> {
  const targets = vms.toSorted((a, b) => a.role.localeCompare(b.role)).slice(
    0,
    MAX_PUSH_TARGETS,
  );
  const replies = await Promise.all(
    targets.map((vm) => callAdmin(vm, "/bundle", JSON.stringify(signed))),
  );
  return replies.filter((reply) => reply !== undefined).length;
}
