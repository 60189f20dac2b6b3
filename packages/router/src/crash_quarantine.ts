/**
 * Keeps requests away from replicas if a part of their prompt crashes replicas. The
 * evidence is pooled with the peers'. A verdict is stored in the control plane, so
 * that processes that start later know it; it is in force before that.
 */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as peers from "@jackdawbank/peers";
import type * as admissions from "./admission.ts";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import type * as requests from "./request.ts";
import type * as telemetry from "./telemetry.ts";

/** Time for which a part is refused; operators mend engines and prompts in the meantime. */
export const QUARANTINE_MS = 600_000;
/** Retry-After of a refused request, which would be refused again sooner. */
const RETRY_AFTER_MS = 60_000;
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

interface QuarantinedPart {
  readonly sinceMs: number;
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

/** Longer IDs are replaced by a hash, since callers choose them. */
const MAX_ID_CHARS = 48;

/** IDs of the parts that other requests may share: all but the last. */
function listSharedIds(request: requests.AdmittedRequest): readonly string[] {
  return request.fields.promptParts.slice(0, -1).map(({ id }) =>
    id.length <= MAX_ID_CHARS ? id : `${decisions.hashText(id)}-${id.length}`
  );
}

/** The quarantined parts, and the evidence on suspected ones. */
export class CrashQuarantine {
  readonly #options: CrashQuarantineOptions;
  readonly #blame = new decisions.CrashBlame();
  /** Monotonic time of the newest suspicion by part, newest last. */
  readonly #suspects = new Map<string, number>();
  readonly #parts = new Map<string, QuarantinedPart>();
  #writeTimer: NodeJS.Timeout | undefined;
  #isClosed = false;

  constructor(options: CrashQuarantineOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#parts.size;
  }

  /** Refuses a request with a quarantined part. */
  check(request: requests.AdmittedRequest): admissions.Refusal | undefined {
    if (this.#parts.size === 0) return undefined;
    const id = listSharedIds(request).find((each) => this.#isQuarantined(each));
    if (id === undefined) return undefined;
    return {
      error: kernel.makeError(
        "prompt-quarantined",
        `replicas crash on part '${id}' of the prompt`,
      ),
      retryAfterMs: RETRY_AFTER_MS,
    };
  }

  /** Records that the answer to a request began. */
  recordBegun(request: requests.AdmittedRequest): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#blame.recordBegun(listSharedIds(request), nowMs);
  }

  /** Records that a replica broke off a request before its answer began. */
  recordCrash(
    request: requests.AdmittedRequest,
    crash: { readonly replicaKey: number; readonly hadHead: boolean },
  ): void {
    const { clock, telemetry, onSuspicion } = this.#options;
    const atMs = clock.monotonicMs();
    const ids = listSharedIds(request);
    if (ids.length === 0) return;
    telemetry.countEvent("prompt.crash");
    const deadly = this.#blame.recordCrash(ids, { ...crash, atMs });
    const known = ids.find((id) => this.#isQuarantined(id));
    if (known !== undefined) this.#blame.condemn(known, atMs);
    else if (deadly !== undefined) this.#quarantine(deadly, "crashes");
    const suspected = ids.filter((id) =>
      crash.hadHead || this.#blame.readOwn(id, atMs).crashes.length > 1
    );
    for (const id of suspected) this.#suspect(id, atMs);
    if (suspected.length > 0) onSuspicion();
  }

  /** What peers should know, the newest suspicion last. */
  listTallies(): readonly peers.PartTally[] {
    const nowMs = this.#options.clock.monotonicMs();
    return [...this.#suspects].flatMap(([id, suspectedAtMs]) => {
      if (nowMs - suspectedAtMs > SUSPICION_MS) return [];
      const evidence = this.#blame.readOwn(id, nowMs);
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
      this.#blame.recordPeer(name, partId, peers.readTally(tally, nowMs));
      if (this.#isQuarantined(partId)) this.#blame.condemn(partId, nowMs);
    }
    // The most specific parts come last; those before them are judged by what is left.
    for (const { partId } of tallies.toReversed()) {
      const suspectedAtMs = this.#suspects.get(partId) ?? -Infinity;
      if (nowMs - suspectedAtMs > SUSPICION_MS) {
        this.#suspect(partId, nowMs);
        isNew ||= this.#blame.readOwn(partId, nowMs).begun > 0;
      }
      if (this.#blame.findDeadly([partId], nowMs) !== undefined) {
        this.#quarantine(partId, "crashes that peers saw");
      }
    }
    if (isNew) this.#options.onSuspicion();
  }

  /** Applies a verdict that is stored in the control plane. */
  applyStored(partId: string): void {
    this.#quarantine(partId, "stored verdict");
    const part = this.#parts.get(partId);
    if (part !== undefined) part.isStored = true;
  }

  /** Lifts a quarantine whose stored verdict has expired or was removed. */
  lift(partId: string): void {
    if (!this.#parts.delete(partId)) return;
    this.#options.log.addNotable("prompt.released", { part: partId });
  }

  /** Writes the verdicts again that are missing after the control plane was restored. */
  keepMissing(items: readonly ports.ControlItem[]): void {
    const stored = new Set(
      items.flatMap((item) =>
        item.type === "quarantined-part" ? [item.partId] : []
      ),
    );
    const { clock, random } = this.#options;
    for (const [partId, part] of this.#parts) {
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

  #isQuarantined(partId: string): boolean {
    const part = this.#parts.get(partId);
    if (part === undefined) return false;
    const ageMs = this.#options.clock.monotonicMs() - part.sinceMs;
    if (ageMs <= QUARANTINE_MS) return true;
    this.lift(partId);
    return false;
  }

  #suspect(partId: string, nowMs: number): void {
    this.#suspects.delete(partId);
    this.#suspects.set(partId, nowMs);
    decisions.trimOldest(this.#suspects, MAX_SUSPECTS);
  }

  #quarantine(partId: string, cause: string): void {
    if (this.#isQuarantined(partId)) return;
    const { clock, log } = this.#options;
    const nowMs = clock.monotonicMs();
    this.#blame.condemn(partId, nowMs);
    const crashes = this.#blame.readOwn(partId, nowMs).crashes.length;
    const writeAtMs = nowMs + (crashes > 0 ? 0 : OTHERS_WRITE_MS);
    this.#parts.set(partId, { sinceMs: nowMs, writeAtMs, isStored: false });
    while (this.#parts.size > MAX_QUARANTINED) {
      const [oldest] = this.#parts.keys();
      this.lift(oldest as string);
    }
    log.addNotable("prompt.quarantined", {
      part: partId,
      cause,
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
    const { clock, controlPlane, log } = this.#options;
    const nowMs = clock.monotonicMs();
    const waiting = [...this.#parts].filter(([, part]) => !part.isStored);
    for (const [partId, part] of waiting) {
      if (part.isStored || part.writeAtMs > nowMs) continue;
      const leftMs = Math.max(
        MIN_STORED_MS,
        QUARANTINE_MS - (nowMs - part.sinceMs),
      );
      const written = await controlPlane.writeQuarantine(partId, leftMs);
      if (written.isOk()) part.isStored = true;
      log.addNotable("prompt.verdict-written", {
        part: partId,
        error: written.isErr() ? written.error.message : undefined,
      });
    }
    if (waiting.some(([, part]) => !part.isStored)) {
      this.#scheduleWrite(WRITE_INTERVAL_MS);
    }
  }
}
