/**
 * Which of the requests that a process holds for its callers give way when it
 * holds too much: those that make no progress first, then those of the callers
 * with the most of them, then the oldest.
 */

/** Where a request is: its body arrives, it waits or runs, or its answer is being read. */
export type HoldStage = "receiving" | "running" | "answering";

/** What a process holds for one request. */
export interface Hold {
  readonly stage: HoldStage;
  /** Caller's address. */
  readonly caller: string;
  readonly heldBytes: number;
  readonly openedAtMs: number;
  /** When a substantial part was last received or taken. */
  readonly progressAtMs: number;
}

/** Without progress for this time, a request counts as stalled. */
const STALL_MS = 500;

/** Whether a request may be given up: one that runs may not, as its outcome would be unknown. */
export function canYield({ stage }: Hold): boolean {
  return stage !== "running";
}

/** Chooses requests that together hold at least so many bytes, or all that may be given up. */
export function chooseYielding<T extends Hold>(
  holds: Iterable<T>,
  neededBytes: number,
  nowMs: number,
): readonly T[] {
  const candidates = [...holds].filter((hold) =>
    canYield(hold) && hold.heldBytes > 0
  );
  const countByCaller = new Map<string, number>();
  for (const { caller } of candidates) {
    countByCaller.set(caller, (countByCaller.get(caller) ?? 0) + 1);
  }
  const ranked = candidates.map((hold) => ({
    hold,
    stalledMs: nowMs - hold.progressAtMs >= STALL_MS
      ? nowMs - hold.progressAtMs
      : 0,
    siblings: countByCaller.get(hold.caller) ?? 0,
  })).sort((a, b) =>
    b.stalledMs - a.stalledMs || b.siblings - a.siblings ||
    a.hold.openedAtMs - b.hold.openedAtMs
  );
  const chosen: T[] = [];
  let freedBytes = 0;
  for (const { hold } of ranked) {
    if (freedBytes >= neededBytes) break;
    chosen.push(hold);
    freedBytes += hold.heldBytes;
  }
  return chosen;
}
