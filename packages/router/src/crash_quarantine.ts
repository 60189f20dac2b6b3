/**
 * Keeps requests away from replicas that crash them: those that have a part of their
 * prompt in common, and those that are one request, sent again. The evidence is pooled
 * with the peers'. A verdict is stored in the control plane, so that processes that
 * start later know it; it is in force before that.
 */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as peers from "@jackdawbank/peers";
import type * as admissions from "./admission.ts";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import type * as requests from "./request.ts";
import * as identities from "./request_identity.ts";
import type * as telemetry from "./telemetry.ts";

/** Time for which a part is refused; operators mend engines and prompts in the meantime. */
export const QUARANTINE_MS = 600_000;
/** The same for a request, doubled each time; a sound one may have been near the crashes. */
export const FIRST_REQUEST_QUARANTINE_MS = 60_000;
/** Longest Retry-After of a refused request, which would be refused again sooner. */
const MAX_RETRY_AFTER_MS = 60_000;
/** Time for which peers are told what is known of a suspected part. */
const SUSPICION_MS = 15_000;
/** Shortest time for which a verdict is stored again. */
const MIN_STORED_MS = 5_000;
/** Interval between attempts to store a verdict. */
const WRITE_INTERVAL_MS = 1_000;
/** A process that has seen none of the crashes leaves the writing to the others for this time. */
const OTHERS_WRITE_MS = 2_500;
const MAX_SUSPECTS = 64;
/** Bounds what many deadly parts of one caller could fill. */
const MAX_QUARANTINED = 1_024;

/** A part of prompts, or a request, by its id. */
interface Quarantined {
  readonly sinceMs: number;
  readonly durationMs: number;
  writeAtMs: number;
  isStored: boolean;
}

/** Dependencies of the quarantine. */
export interface CrashQuarantineOptions {
  readonly clock: kernel.Clock;
  readonly controlPlane: Pick<ports.ControlPlane, "writeQuarantine">;
  readonly log: logs.DecisionLog;
  readonly telemetry: telemetry.Telemetry;
  readonly random: () => number;
  /** Called when peers should be told of suspected parts. */
  readonly onSuspicion: () => void;
}

/** An answer counts as much as so many crashes: it clears a request that peers suspect. */
const MIN_ANSWERED_RANK = 2;
/** Longer IDs are replaced by a hash, since callers choose them. */
const MAX_ID_CHARS = 48;

/** IDs of the parts that other requests may share: all but the last. */
function listSharedIds(request: requests.AdmittedRequest): readonly string[] {
  return request.fields.promptParts.slice(0, -1).map(({ id }) =>
    id.length <= MAX_ID_CHARS && !isRequestId(id)
      ? id
      : `${decisions.hashText(id)}-${id.length}`
  );
}

function isRequestId(id: string): boolean {
  return id.startsWith(identities.REQUEST_ID_PREFIX);
}

/** The higher, the more peers need to know it. */
function rankTally({ crashes, begun }: peers.PartTally): number {
  return begun > 0
    ? Math.max(crashes.length, MIN_ANSWERED_RANK)
    : crashes.length;
}

/** What is quarantined, and the evidence on what is suspected. */
export class CrashQuarantine {
  readonly #options: CrashQuarantineOptions;
  readonly #blame = new decisions.CrashBlame();
  readonly #requestBlame = new decisions.CrashBlame(decisions.REQUEST_LIMITS);
  /** Monotonic time of the newest suspicion by part, newest last. */
  readonly #suspectedParts = new Map<string, number>();
  readonly #suspectedRequests = new Map<string, number>();
  readonly #quarantined = new Map<string, Quarantined>();
  /** Requests that were quarantined and not answered since, with the time for the next crash. */
  readonly #relapses = new Map<string, number>();
  #writeTimer: NodeJS.Timeout | undefined;
  #isClosed = false;

  constructor(options: CrashQuarantineOptions) {
    this.#options = options;
  }

  countParts(): number {
    return this.#quarantined.size - this.countRequests();
  }

  countRequests(): number {
    return [...this.#quarantined.keys()].filter(isRequestId).length;
  }

  /** Refuses a request that is quarantined, or has a part that is. */
  check(request: requests.AdmittedRequest): admissions.Refusal | undefined {
    if (this.#quarantined.size === 0) return undefined;
    const ids = [
      ...listSharedIds(request),
      identities.identifyRequest(request),
    ];
    const id = ids.find((each) => this.#isQuarantined(each));
    if (id === undefined) return undefined;
    return {
      error: isRequestId(id)
        ? kernel.makeError(
          "request-quarantined",
          `replicas crash on this request, '${id}'`,
        )
        : kernel.makeError(
          "prompt-quarantined",
          `replicas crash on part '${id}' of the prompt`,
        ),
      retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, this.#findLeftMs(id)),
    };
  }

  /** Records that the answer to a request began. */
  recordBegun(request: requests.AdmittedRequest): void {
    const nowMs = this.#options.clock.monotonicMs();
    const id = identities.identifyRequest(request);
    this.#blame.recordBegun(listSharedIds(request), nowMs);
    this.#requestBlame.recordBegun([id], nowMs);
    this.#relapses.delete(id);
  }

  /** Records that a replica broke off a request before its answer began. */
  recordCrash(
    request: requests.AdmittedRequest,
    crash: { readonly replicaKey: number; readonly hadHead: boolean },
  ): void {
    const { clock, telemetry } = this.#options;
    const atMs = clock.monotonicMs();
    const ids = listSharedIds(request);
    telemetry.countEvent("request.crash");
    const known = ids.find((id) => this.#isQuarantined(id));
    // The request is judged first: a part is to blame only if others crash on it, too.
    if (known === undefined) {
      this.#recordRequestCrash(request, { ...crash, atMs });
    }
    if (ids.length > 0) this.#recordPartCrash(ids, known, { ...crash, atMs });
    this.#options.onSuspicion();
  }

  #recordPartCrash(
    ids: readonly string[],
    known: string | undefined,
    crash: decisions.BlamedCrash,
  ): void {
    const { atMs } = crash;
    this.#options.telemetry.countEvent("prompt.crash");
    const deadly = this.#blame.recordCrash(ids, crash);
    if (known !== undefined) this.#condemn(known, atMs);
    else if (deadly !== undefined) this.#quarantine(deadly, "crashes");
    const suspected = ids.filter((id) =>
      crash.hadHead || this.#blame.readOwn(id, atMs).crashes.length > 1
    );
    for (const id of suspected) this.#suspect(id, atMs);
  }

  /** Other processes may have seen the other crashes, so that peers are told of each. */
  #recordRequestCrash(
    request: requests.AdmittedRequest,
    crash: decisions.BlamedCrash,
  ): void {
    const id = identities.identifyRequest(request);
    const isDeadly = this.#requestBlame.recordCrash([id], crash) !== undefined;
    if (this.#isQuarantined(id)) this.#condemn(id, crash.atMs);
    else if (isDeadly) this.#quarantine(id, "crashes");
    else if (this.#relapses.has(id)) this.#quarantine(id, "crashed again");
    this.#suspect(id, crash.atMs);
  }

  /** What peers should know, the most important last: only so much is sent. */
  listTallies(): readonly peers.PartTally[] {
    const parts = this.#buildTallies(this.#suspectedParts);
    const lastParts = parts.slice(-peers.MAX_TALLIES / 2);
    // A crash ends many requests; the one that has caused it comes back.
    const requestTallies = this.#buildTallies(this.#suspectedRequests)
      .toSorted((a, b) => rankTally(a) - rankTally(b))
      .slice(lastParts.length - peers.MAX_TALLIES);
    return [
      ...parts.slice(0, parts.length - lastParts.length),
      ...requestTallies,
      ...lastParts,
    ];
  }

  #buildTallies(
    suspects: ReadonlyMap<string, number>,
  ): readonly peers.PartTally[] {
    const nowMs = this.#options.clock.monotonicMs();
    return [...suspects].flatMap(([id, suspectedAtMs]) => {
      if (nowMs - suspectedAtMs > SUSPICION_MS) return [];
      const evidence = this.#findBlame(id).readOwn(id, nowMs);
      return evidence.crashes.length === 0 && evidence.begun === 0
        ? []
        : [peers.buildTally(id, evidence, nowMs)];
    });
  }

  /** Adds what a peer knows, and tells it in turn what is known here. */
  recordPeerTallies({ name, tallies }: peers.PromptMessage): void {
    const nowMs = this.#options.clock.monotonicMs();
    let isNew = false;
    for (const tally of tallies) {
      const { partId } = tally;
      this.#findBlame(partId).recordPeer(
        name,
        partId,
        peers.readTally(tally, nowMs),
      );
      if (this.#isQuarantined(partId)) this.#condemn(partId, nowMs);
    }
    // Requests first; then the most specific parts, which come last. The others are judged by
    // what is left.
    const judged = [
      ...tallies.filter(({ partId }) => isRequestId(partId)),
      ...tallies.filter(({ partId }) => !isRequestId(partId)).toReversed(),
    ];
    for (const { partId, crashes } of judged) {
      const suspectedAtMs = this.#findSuspects(partId).get(partId) ?? -Infinity;
      const blame = this.#findBlame(partId);
      if (nowMs - suspectedAtMs > SUSPICION_MS) {
        this.#suspect(partId, nowMs);
        isNew ||= blame.readOwn(partId, nowMs).begun > 0;
      }
      if (blame.findDeadly([partId], nowMs) !== undefined) {
        this.#quarantine(partId, "crashes that peers saw");
      }
      const isNewCrash = crashes.some(({ ageMs }) => ageMs <= SUSPICION_MS);
      if (isNewCrash && this.#relapses.has(partId)) {
        this.#quarantine(partId, "crashed again, as peers saw");
      }
    }
    if (isNew) this.#options.onSuspicion();
  }

  /** Applies a verdict that is stored in the control plane. */
  applyStored(partId: string): void {
    this.#quarantine(partId, "stored verdict");
    const part = this.#quarantined.get(partId);
    if (part !== undefined) part.isStored = true;
  }

  /** Lifts a quarantine whose stored verdict has expired or was removed. */
  lift(partId: string): void {
    const lifted = this.#quarantined.get(partId);
    if (lifted === undefined) return;
    this.#quarantined.delete(partId);
    if (isRequestId(partId)) {
      const nextMs = Math.min(QUARANTINE_MS, 2 * lifted.durationMs);
      this.#relapses.set(partId, nextMs);
      decisions.trimOldest(this.#relapses, MAX_QUARANTINED);
    }
    this.#logVerdict("released", partId, {});
  }

  /** Writes the verdicts again that are missing after the control plane was restored. */
  keepMissing(items: readonly ports.ControlItem[]): void {
    const stored = new Set(
      items.flatMap((item) =>
        item.type === "quarantined-part" ? [item.partId] : []
      ),
    );
    const { clock, random } = this.#options;
    for (const [partId, part] of this.#quarantined) {
      if (stored.has(partId) || !part.isStored) continue;
      part.isStored = false;
      part.writeAtMs = clock.monotonicMs() + random() * OTHERS_WRITE_MS;
    }
    this.#scheduleWrite(0);
  }

  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#writeTimer);
  }

  #findBlame(id: string): decisions.CrashBlame {
    return isRequestId(id) ? this.#requestBlame : this.#blame;
  }

  #findSuspects(id: string): Map<string, number> {
    return isRequestId(id) ? this.#suspectedRequests : this.#suspectedParts;
  }

  /** Its crashes say nothing about other parts; about other requests at the same replica they do. */
  #condemn(id: string, nowMs: number): void {
    this.#blame.explain(this.#findBlame(id).listCrashes(id, nowMs));
  }

  #logVerdict(what: string, id: string, fields: logs.LogFields): void {
    const isRequest = isRequestId(id);
    this.#options.log.addNotable(
      `${isRequest ? "request" : "prompt"}.${what}`,
      { ...(isRequest ? { sameRequest: id } : { part: id }), ...fields },
    );
  }

  #findLeftMs(id: string): number {
    const quarantined = this.#quarantined.get(id);
    if (quarantined === undefined) return 0;
    const { sinceMs, durationMs } = quarantined;
    return durationMs - (this.#options.clock.monotonicMs() - sinceMs);
  }

  #isQuarantined(id: string): boolean {
    if (!this.#quarantined.has(id)) return false;
    if (this.#findLeftMs(id) >= 0) return true;
    this.lift(id);
    return false;
  }

  #suspect(id: string, nowMs: number): void {
    const suspects = this.#findSuspects(id);
    suspects.delete(id);
    suspects.set(id, nowMs);
    decisions.trimOldest(suspects, MAX_SUSPECTS);
  }

  #quarantine(id: string, cause: string): void {
    if (this.#isQuarantined(id)) return;
    const nowMs = this.#options.clock.monotonicMs();
    this.#condemn(id, nowMs);
    const crashes = this.#findBlame(id).readOwn(id, nowMs).crashes.length;
    const writeAtMs = nowMs + (crashes > 0 ? 0 : OTHERS_WRITE_MS);
    const durationMs = isRequestId(id)
      ? this.#relapses.get(id) ?? FIRST_REQUEST_QUARANTINE_MS
      : QUARANTINE_MS;
    this.#quarantined.set(id, {
      sinceMs: nowMs,
      durationMs,
      writeAtMs,
      isStored: false,
    });
    while (this.#quarantined.size > MAX_QUARANTINED) {
      const [oldest] = this.#quarantined.keys();
      this.lift(oldest as string);
    }
    this.#logVerdict("quarantined", id, {
      cause,
      durationMs,
      crashesSeenHere: crashes,
    });
    // A stored verdict is marked as such before the timer runs.
    this.#scheduleWrite(0);
  }

  #scheduleWrite(delayMs: number): void {
    if (this.#isClosed) return;
    this.#writeTimer ??= setTimeout(() => {
      this.#writeTimer = undefined;
      void this.#writeDue();
    }, delayMs);
    this.#writeTimer.unref();
  }

  async #writeDue(): Promise<void> {
    const { clock, controlPlane } = this.#options;
    const nowMs = clock.monotonicMs();
    const waiting = [...this.#quarantined].filter(([, part]) => !part.isStored);
    for (const [partId, part] of waiting) {
      if (part.isStored || part.writeAtMs > nowMs) continue;
      const leftMs = Math.max(MIN_STORED_MS, this.#findLeftMs(partId));
      const written = await controlPlane.writeQuarantine(partId, leftMs);
      if (written.isOk()) part.isStored = true;
      this.#logVerdict("verdict-written", partId, {
        error: written.isErr() ? written.error.message : undefined,
      });
    }
    if (waiting.some(([, part]) => !part.isStored)) {
      this.#scheduleWrite(WRITE_INTERVAL_MS);
    }
  }
}
