/** State of work at the gate, its admission check, and the frames that refuse it or replay a response. */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";
import type * as claimDrivers from "./claim_journal_driver.ts";
import * as sinks from "./attempt_sink.ts";

/** Messages for refusals that need more than the default message. */
const REFUSAL_MESSAGES: Partial<Record<kernel.ErrorKind, string>> = {
  "key-reused": "this idempotency key was used with another request",
  "key-in-flight": "a request with this idempotency key is still running",
  "already-run":
    "the request with this idempotency key has run; its response is not available",
  "outcome-unknown":
    "a request with this idempotency key may have run; its outcome is not known",
  "claim-unavailable":
    "the idempotency key could not be claimed; the request was not run",
  "account-over-share":
    "the queue is full and this account exceeds its fair share",
};
const DEFAULT_REFUSAL_MESSAGE =
  "refused before any byte was sent to the upstream";

/** Work that has arrived and has not ended. */
export interface ActiveWork {
  readonly frame: mesh.FrameOf<"work">;
  readonly connection: mesh.MeshConnection;
  readonly deadlineAtMs: number;
  readonly abort: AbortController;
  readonly sink: sinks.AttemptSink;
  phase: "claiming" | "queued" | "reserved" | "running" | "ended";
  /** Driver of the journal that granted the work its claim. */
  driver: claimDrivers.ClaimJournalDriver | undefined;
  /** Called when the entry commits a reserved call. */
  onCommit: (() => void) | undefined;
}

/** Returns the message that a caller gets for a refusal. */
export function describeRefusal(kind: kernel.ErrorKind): string {
  return REFUSAL_MESSAGES[kind] ?? DEFAULT_REFUSAL_MESSAGE;
}

/** Creates the state of work that an entry sent. */
export function createWork(
  connection: mesh.MeshConnection,
  frame: mesh.FrameOf<"work">,
  nowMs: number,
): ActiveWork {
  return {
    frame,
    connection,
    deadlineAtMs: nowMs + frame.deadlineInMs,
    abort: new AbortController(),
    sink: new sinks.AttemptSink(connection, frame.attemptId),
    phase: "claiming",
    driver: undefined,
    onCommit: undefined,
  };
}

/** Returns the reason why work must not be sent to the upstream, if there is one. */
export function findRefusal(
  work: ActiveWork,
  state: decisions.AdmissionState,
): kernel.ErrorKind | undefined {
  const { call, account } = work.frame;
  const { deadlineAtMs } = work;
  if (call.type === "service") {
    const { service } = call;
    if (!state.loaded.includes(service)) return "no-upstream";
    return decisions.checkAdmission(state, {
      type: "service",
      account,
      service,
      deadlineAtMs,
    });
  }
  const { model, version } = call;
  return decisions.checkAdmission(state, {
    type: "model",
    account,
    model,
    version,
    deadlineAtMs,
  });
}

/** Name of a call's model version or service in the timeline. */
export function formatTarget(call: mesh.FrameOf<"work">["call"]): string {
  return call.type === "model" ? `${call.model}@${call.version}` : call.service;
}

/** Fields of a timeline event about work. */
export function describeEvent(
  work: ActiveWork,
  revision: number,
  detail: string | undefined,
): kernel.EventFields {
  const { requestId, attemptId, account, call } = work.frame;
  return {
    requestId,
    attemptId,
    account,
    target: formatTarget(call),
    revision,
    ...(detail === undefined ? {} : { detail }),
  };
}

/** Tells the entry that work was refused or has failed. */
export function sendRefusal(
  work: ActiveWork,
  kind: kernel.ErrorKind,
  message: string,
): void {
  const { attemptId } = work.frame;
  work.connection.send({ type: "refused", attemptId, kind, message });
}

/** Replays the stored response of a call that has run before. */
export function sendStoredAnswer(
  work: ActiveWork,
  answer: decisions.StoredAnswer,
  body: Uint8Array,
): void {
  const { sink } = work;
  sink.onHead(answer.status, { "content-type": answer.contentType }, true);
  const sent = body.byteLength === 0 ? Promise.resolve() : sink.onChunk(body);
  void sent.then(() =>
    sink.sendFinal({ promptTokens: 0, completionTokens: 0 })
  );
}
