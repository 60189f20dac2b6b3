/**
 * Accounts for the bytes that this process holds for callers. When it holds too
 * many, requests that may be given up give way; see `chooseYielding`.
 */
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import * as garbage from "./garbage_collection.ts";

/** Objects of a connection and its parser, and the head that it may be sending. */
const CONNECTION_BYTES = 12_288;
/** Objects of a request beside its head and its body. */
const REQUEST_BYTES = 10_240;
/** Strings and table entries of one header line beside its bytes. */
const HEADER_LINE_BYTES = 160;
/** Share of the limit for bytes that callers sent ahead of requests that are parsed. */
const AHEAD_SHARE = 0.25;
/** Share of the heap for requests above which no request is parsed behind an unanswered one. */
const READ_AHEAD_SHARE = 0.5;
/** Yielding goes on below the limit, so that it is not repeated for each chunk. */
const YIELD_TO_SHARE = 0.85;
/** Fewer bytes than this are no progress, however often they come. */
const PROGRESS_BYTES = 16_384;
const EXPIRY_CHECK_INTERVAL_MS = 500;
/** Requests after which the size of the heap is looked at, beside that interval. */
const REQUESTS_BETWEEN_HEAP_CHECKS = 256;

/** Head of a request, as it is accounted for. */
export interface HeadSize {
  /** Bytes of the target and the headers. */
  readonly bytes: number;
  readonly lines: number;
}

const EMPTY_HEAD: HeadSize = { bytes: 0, lines: 0 };

/** Why a request is given up. */
export type YieldReason = "memory" | "time-out";

/** What is held for one request, from its head to the end of its response. */
export class RequestHold implements decisions.Hold {
  readonly caller: string;
  readonly openedAtMs: number;
  /** Bytes of the request's head. */
  readonly headBytes: number;
  /** Bytes of the heap for its head and its objects. */
  readonly heapBytes: number;
  readonly #budget: MemoryBudget;
  #stage: decisions.HoldStage = "receiving";
  #isClosed = false;
  /** Whether it was given up, so that its bytes are free as soon as its connection is closed. */
  #isGivenUp = false;
  #bodyBytes = 0;
  #answerBytes = 0;
  #progressAtMs: number;
  #unseenBytes = 0;
  /** Longest time without progress in this stage, and the end of the stage. */
  #maxPauseMs = Infinity;
  #stageEndsAtMs = Infinity;
  #onYield: (reason: YieldReason) => void = () => {};

  constructor(
    budget: MemoryBudget,
    request: { readonly caller: string; readonly head: HeadSize },
  ) {
    this.#budget = budget;
    this.caller = request.caller;
    const { bytes, lines } = request.head;
    this.headBytes = bytes;
    this.heapBytes = REQUEST_BYTES + bytes + lines * HEADER_LINE_BYTES;
    this.openedAtMs = budget.nowMs;
    this.#progressAtMs = budget.nowMs;
  }

  get stage(): decisions.HoldStage {
    return this.#stage;
  }

  get isGivenUp(): boolean {
    return this.#isGivenUp;
  }

  get heldBytes(): number {
    return this.heapBytes + this.#bodyBytes + this.#answerBytes;
  }

  /** Bytes held of the request's body. */
  get bodyBytes(): number {
    return this.#bodyBytes;
  }

  get progressAtMs(): number {
    return this.#progressAtMs;
  }

  get nowMs(): number {
    return this.#budget.nowMs;
  }

  /** Begins a stage; `onYield` is called once if the request must be given up in it. */
  begin(
    stage: decisions.HoldStage,
    options: {
      readonly maxPauseMs?: number;
      readonly maxDurationMs?: number;
      readonly onYield?: (reason: YieldReason) => void;
    } = {},
  ): void {
    const nowMs = this.#budget.nowMs;
    this.#budget.move(this, stage);
    this.#stage = stage;
    this.#progressAtMs = nowMs;
    this.#unseenBytes = 0;
    this.#maxPauseMs = options.maxPauseMs ?? Infinity;
    this.#stageEndsAtMs = nowMs + (options.maxDurationMs ?? Infinity);
    this.#onYield = options.onYield ?? (() => {});
  }

  /** Sets the bytes held of the body; returns false if this process holds too much. */
  setBodyBytes(bytes: number): boolean {
    const addedBytes = bytes - this.#bodyBytes;
    this.#bodyBytes = bytes;
    return this.#addToBudget(addedBytes);
  }

  /** Sets the bytes held of the answer; returns false if this process holds too much. */
  setAnswerBytes(bytes: number): boolean {
    const addedBytes = bytes - this.#answerBytes;
    this.#answerBytes = bytes;
    return this.#addToBudget(addedBytes);
  }

  /** Records that so many bytes were received or taken; few of them are no progress. */
  recordProgress(bytes: number): void {
    this.#unseenBytes += bytes;
    if (this.#unseenBytes < PROGRESS_BYTES) return;
    this.#unseenBytes = 0;
    this.#progressAtMs = this.#budget.nowMs;
  }

  isExpired(nowMs: number): boolean {
    return nowMs >= this.#stageEndsAtMs ||
      nowMs - this.#progressAtMs >= this.#maxPauseMs;
  }

  yield(reason: YieldReason): void {
    this.#isGivenUp = true;
    const onYield = this.#onYield;
    this.#onYield = () => {};
    this.#stageEndsAtMs = Infinity;
    this.#maxPauseMs = Infinity;
    this.setBodyBytes(0);
    this.setAnswerBytes(0);
    this.#budget.reportYield(this, reason);
    onYield(reason);
  }

  close(): void {
    this.#budget.remove(this);
    this.#isClosed = true;
  }

  /** After its end, a request may still be told of bytes that arrive for it. */
  #addToBudget(bytes: number): boolean {
    return this.#isClosed || this.#budget.add(this.#stage, bytes);
  }
}

/** Most that a process holds for its callers. */
export class MemoryBudget {
  readonly limitBytes: number;
  readonly #clock: kernel.Clock;
  readonly #onYield: (hold: decisions.Hold, reason: YieldReason) => void;
  readonly #garbage: garbage.GarbageCollection;
  #requestsSinceHeapCheck = 0;
  readonly #holds = new Set<RequestHold>();
  readonly #bytesByStage: Record<decisions.HoldStage, number> = {
    receiving: 0,
    running: 0,
    answering: 0,
  };
  readonly #timer: NodeJS.Timeout;
  #connections = 0;
  #aheadBytes = 0;
  readonly #callerHeapBytes: number;
  #heapBytes = 0;
  #isYielding = false;

  constructor(options: {
    readonly limitBytes: number;
    /** Size above which the heap is collected early; absent if the memory is unknown. */
    readonly heapBytes?: number;
    /** Most bytes of the heap for heads and objects of requests; unlimited if absent. */
    readonly callerHeapBytes?: number;
    readonly clock: kernel.Clock;
    readonly onYield: (hold: decisions.Hold, reason: YieldReason) => void;
  }) {
    this.limitBytes = options.limitBytes;
    this.#callerHeapBytes = options.callerHeapBytes ?? Infinity;
    this.#clock = options.clock;
    this.#onYield = options.onYield;
    this.#garbage = new garbage.GarbageCollection(options.heapBytes);
    this.#timer = setInterval(
      () => this.#expire(),
      EXPIRY_CHECK_INTERVAL_MS,
    ).unref();
  }

  get nowMs(): number {
    return this.#clock.monotonicMs();
  }

  get heldBytes(): number {
    const { receiving, running, answering } = this.#bytesByStage;
    return receiving + running + answering + this.#aheadBytes +
      this.#connections * CONNECTION_BYTES;
  }

  /** Bytes that callers sent ahead, of which no request has been parsed. */
  get aheadBytes(): number {
    return this.#aheadBytes;
  }

  get bytesByStage(): Readonly<Record<decisions.HoldStage, number>> {
    return this.#bytesByStage;
  }

  openConnection(): void {
    this.#connections += 1;
  }

  closeConnection(): void {
    this.#connections -= 1;
  }

  /** Adds bytes that a caller sent ahead; returns false if they should give way. */
  addAhead(bytes: number): boolean {
    this.#aheadBytes += bytes;
    return this.#aheadBytes <= AHEAD_SHARE * this.limitBytes &&
      !this.isExceeded;
  }

  /** Whether more is held than the limit allows, also after others gave way. */
  get isExceeded(): boolean {
    return this.heldBytes > this.limitBytes;
  }

  /** Whether a further request must be refused. */
  get isFull(): boolean {
    return this.isExceeded || this.#heapBytes > this.#callerHeapBytes;
  }

  /** Whether a request may be parsed before the one ahead of it is answered. */
  get mayReadAhead(): boolean {
    return !this.isExceeded &&
      this.#heapBytes < READ_AHEAD_SHARE * this.#callerHeapBytes;
  }

  /** Bytes of the heap for heads and objects of requests. */
  get heapBytes(): number {
    return this.#heapBytes;
  }

  /** Begins to account for a request of a caller; others may give way to it. */
  open(caller: string, head = EMPTY_HEAD): RequestHold {
    const hold = new RequestHold(this, { caller, head });
    this.#heapBytes += hold.heapBytes;
    this.add(hold.stage, hold.heldBytes);
    this.#holds.add(hold);
    this.#requestsSinceHeapCheck += 1;
    if (this.#requestsSinceHeapCheck >= REQUESTS_BETWEEN_HEAP_CHECKS) {
      this.#checkHeap();
    }
    return hold;
  }

  remove(hold: RequestHold): void {
    if (!this.#holds.delete(hold)) return;
    this.#heapBytes -= hold.heapBytes;
    this.#bytesByStage[hold.stage] -= hold.heldBytes;
    this.#garbage.recordReleased(hold.heldBytes);
  }

  move(hold: RequestHold, stage: decisions.HoldStage): void {
    if (!this.#holds.has(hold)) return;
    this.#bytesByStage[hold.stage] -= hold.heldBytes;
    this.#bytesByStage[stage] += hold.heldBytes;
  }

  /** Adds bytes to a stage; returns false if the limit is exceeded and nothing gives way. */
  add(stage: decisions.HoldStage, bytes: number): boolean {
    this.#bytesByStage[stage] += bytes;
    if (bytes < 0) this.#garbage.recordReleased(-bytes);
    if (bytes <= 0 || !this.isExceeded) return true;
    this.#yieldHolds();
    return !this.isExceeded;
  }

  reportYield(hold: RequestHold, reason: YieldReason): void {
    this.#onYield(hold, reason);
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #yieldHolds(): void {
    if (this.#isYielding) return;
    this.#isYielding = true;
    const neededBytes = this.heldBytes - this.limitBytes * YIELD_TO_SHARE;
    const chosen = decisions.chooseYielding(
      [...this.#holds].filter(({ isGivenUp }) => !isGivenUp),
      neededBytes,
      this.nowMs,
    );
    for (const hold of chosen) hold.yield("memory");
    this.#isYielding = false;
  }

  #checkHeap(): void {
    this.#requestsSinceHeapCheck = 0;
    this.#garbage.checkHeap();
  }

  #expire(): void {
    this.#checkHeap();
    const { nowMs } = this;
    for (const hold of [...this.#holds]) {
      if (hold.isExpired(nowMs)) hold.yield("time-out");
    }
  }
}
