/** What operators ask of and tell the running processes, by the VM list. */
import type * as bundle from "@jackdawbank/bundle";
import * as kernel from "@jackdawbank/kernel";
import type * as stores from "@jackdawbank/store";
import * as undici from "undici";

const CALL_TIMEOUT_MS = 1_000;
const MAX_PUSHES = 16;

/** Status of one process, as its admin listener gives it. */
export interface ProcessStatus {
  readonly processId: string;
  readonly role: string;
  readonly dataCentre: string;
  readonly isReachable: boolean;
  readonly revision: number;
  readonly status: unknown;
}

async function call(
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

function readRevision(status: unknown): number {
  const parsed = status as
    | { readonly bundle?: { readonly revision?: number } }
    | undefined;
  return parsed?.bundle?.revision ?? 0;
}

/** Reads the status of every process in the list. */
export function readStatuses(
  vms: readonly stores.Vm[],
): Promise<readonly ProcessStatus[]> {
  return Promise.all(vms.map(async (vm) => {
    const status = await call(vm, "/status");
    return {
      processId: vm.id,
      role: vm.role,
      dataCentre: vm.dataCentre,
      isReachable: status !== undefined,
      revision: readRevision(status),
      status,
    };
  }));
}

/** Reads and merges the time lines of all processes. */
export async function readTimeline(
  vms: readonly stores.Vm[],
): Promise<readonly kernel.TimelineEvent[]> {
  const parts = await Promise.all(vms.map((vm) => call(vm, "/timeline")));
  return parts
    .flatMap((part) => {
      const parsed = part as {
        readonly events?: readonly kernel.TimelineEvent[];
      } | undefined;
      return parsed?.events ?? [];
    })
    .toSorted(kernel.compareEvents);
}

/**
 * Hands an accepted bundle to some processes, which pass it on: a store that
 * fails right after the acceptance does not delay a withdrawal.
 */
export async function pushBundle(
  vms: readonly stores.Vm[],
  signed: bundle.SignedBundle,
): Promise<number> {
  const targets = vms.toSorted((a, b) => a.role.localeCompare(b.role)).slice(
    0,
    MAX_PUSHES,
  );
  const replies = await Promise.all(
    targets.map((vm) => call(vm, "/bundle", JSON.stringify(signed))),
  );
  return replies.filter((reply) => reply !== undefined).length;
}
