/** Work at the gate, between its arrival and its end. */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";
import type * as claimTasks from "./claim_journal_driver.ts";
import * as sinks from "./sink.ts";

/** Messages of refusals that need more than "not handed over". */
const REFUSAL_MESSAGES: Partial<Record<kernel.ErrorKind, string>> = {
  "key-reused": "this idempotency key was used with another request",
  "key-in-flight": "a request with this idempotency key is still running",
  "already-run":
    "the request with this idempotency key has run; its answer is no longer held",
  "outcome-unknown":
    "a request with this idempotency key may have run; its end is not known",
  "claim-unavailable":
    "the idempotency key could not be claimed; nothing was handed over",
  "account-over-share": "the queue is full and this account is over its share",
};
const NOT_HANDED_OVER = "refused before any byte went to the upstream";

/** Work between its arrival and its end. */
export interface ActiveWork {
  readonly frame: mesh.FrameOf<"work">;
  readonly connection: mesh.MeshConnection;
  readonly deadlineAtMs: number;
  readonly abort: AbortController;
  readonly sink: sinks.AttemptSink;
  phase: "claiming" | "queued" | "reserved" | "running" | "ended";
  claimTask: claimTasks.ClaimJournalDriver | undefined;
  onCommit: (() => void) | undefined;
}

/** What a caller is told of a refusal. */
export function describeRefusal(kind: kernel.ErrorKind): string {
  return REFUSAL_MESSAGES[kind] ?? NOT_HANDED_OVER;
}

/** Opens work that an entry sent. */
export function openWork(
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
    claimTask: undefined,
    onCommit: undefined,
  };
}

/** Why work may not be handed over under a view, if it may not. */
export function checkWork(
  work: ActiveWork,
  view: decisions.AdmissionState,
): kernel.ErrorKind | undefined {
  const { call, account } = work.frame;
  const { deadlineAtMs } = work;
  if (call.type === "service") {
    const { service } = call;
    if (!view.loaded.includes(service)) return "no-upstream";
    return decisions.checkAdmission(view, {
      type: "service",
      account,
      service,
      deadlineAtMs,
    });
  }
  const { model, version } = call;
  return decisions.checkAdmission(view, {
    type: "model",
    account,
    model,
    version,
    deadlineAtMs,
  });
}

/** What a call asks for, as it is named in the time line. */
export function nameTarget(call: mesh.FrameOf<"work">["call"]): string {
  return call.type === "model" ? `${call.model}@${call.version}` : call.service;
}

/** Tells the entry that work was refused or failed. */
export function sendRefusal(
  work: ActiveWork,
  kind: kernel.ErrorKind,
  message: string,
): void {
  const { attemptId } = work.frame;
  work.connection.send({ type: "refused", attemptId, kind, message });
}

/** Sends the kept answer of a call that has run before. */
export function sendKeptAnswer(
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
