/**
 * One attempt of a request at one upstream. Frames that are not the next of
 * this attempt make its answer incomplete; nothing of it reaches the caller as
 * a whole answer without a matching final frame.
 */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as mesh from "@jackdawbank/mesh";

/** Frames after which more credit is granted. */
const CREDIT_STEP_FRAMES = mesh.INITIAL_CREDIT_FRAMES / 2;

/** The gate keeps the deadline too and knows more: its answer is waited for. */
const ANSWER_GRACE_MS = 150;

/** First word of an upstream on an attempt. */
export type AttemptStart =
  | {
    readonly type: "head";
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly isReplay: boolean;
  }
  | { readonly type: "reserved" }
  | AttemptFailure;

/** An attempt that ended without a whole answer. */
export interface AttemptFailure {
  readonly type: "failed";
  readonly kind: kernel.ErrorKind;
  readonly message: string;
}

/** Next piece of an answer. */
export type AttemptBodyEvent =
  | { readonly type: "chunk"; readonly data: Uint8Array }
  | { readonly type: "final"; readonly usage: mesh.Usage }
  | AttemptFailure;

type AttemptEvent = AttemptStart | AttemptBodyEvent;

function failure(kind: kernel.ErrorKind, message: string): AttemptFailure {
  return { type: "failed", kind, message };
}

/** An attempt in progress. */
export class Attempt {
  readonly attemptId: string;
  readonly connection: mesh.MeshConnection;
  readonly #onEnd: () => void;
  readonly #events: AttemptEvent[] = [];
  #digest = decisions.EMPTY_ANSWER_DIGEST;
  #wake: (() => void) | undefined;
  #unacknowledged = 0;
  #isEnded = false;
  #isCommitted = false;
  #hasHead = false;

  constructor(
    attemptId: string,
    connection: mesh.MeshConnection,
    onEnd: () => void,
  ) {
    this.attemptId = attemptId;
    this.connection = connection;
    this.#onEnd = onEnd;
  }

  /** Whether the upstream may have been given the request. */
  get isCommitted(): boolean {
    return this.#isCommitted;
  }

  /** Takes a frame of this attempt. */
  handleFrame(frame: mesh.Frame): void {
    if (this.#isEnded) return;
    switch (frame.type) {
      case "reserved":
        return this.#push({ type: "reserved" });
      case "head": {
        const { status, headers, isReplay } = frame;
        this.#hasHead = true;
        return this.#push({ type: "head", status, headers, isReplay });
      }
      case "chunk":
        return this.#takeChunk(frame);
      case "final":
        return this.#takeFinal(frame);
      case "refused":
        return this.#finish(failure(frame.kind, frame.message));
      default:
        return;
    }
  }

  /** The connection closed: whether the request ran depends on what had been sent. */
  handleConnectionLoss(): void {
    const kind = this.#hasHead
      ? "answer-incomplete"
      : this.#isCommitted
      ? "outcome-unknown"
      : "upstream-unreachable";
    this.#finish(
      failure(kind, "the connection to the upstream process closed"),
    );
  }

  /** Lets a two-phase call run; from here on silence means "unknown". */
  commit(): boolean {
    this.#isCommitted = true;
    return this.connection.send({ type: "commit", attemptId: this.attemptId });
  }

  /** Tells the upstream that the answer is no longer wanted. */
  cancel(kind: kernel.ErrorKind = "cancelled"): void {
    if (this.#isEnded) return;
    this.connection.send({ type: "cancel", attemptId: this.attemptId });
    this.#finish(failure(kind, "cancelled"));
  }

  /** The first word, or the next after a reservation. */
  async waitForStart(timeoutMs: number): Promise<AttemptStart> {
    const event = await this.#next(timeoutMs);
    if (
      event.type === "head" || event.type === "reserved" ||
      event.type === "failed"
    ) return event;
    return failure("answer-incomplete", "the answer began without its head");
  }

  /** The next piece of the answer. */
  async readBodyEvent(timeoutMs: number): Promise<AttemptBodyEvent> {
    const event = await this.#next(timeoutMs);
    if (event.type === "head" || event.type === "reserved") {
      return failure("answer-incomplete", "the answer has two heads");
    }
    if (event.type === "chunk") this.#acknowledge();
    return event;
  }

  #takeChunk(frame: mesh.FrameOf<"chunk">): void {
    if (!this.#hasHead || !decisions.isNextFrame(this.#digest, frame.number)) {
      this.#finish(
        failure("answer-incomplete", "a piece of the answer is missing"),
      );
      return;
    }
    this.#digest = decisions.extendAnswerDigest(this.#digest, frame.data);
    this.#push({ type: "chunk", data: frame.data });
  }

  #takeFinal(frame: mesh.FrameOf<"final">): void {
    const isWhole = this.#hasHead &&
      decisions.isCompleteAnswer(this.#digest, frame);
    this.#finish(
      isWhole ? { type: "final", usage: frame.usage } : failure(
        "answer-incomplete",
        "the answer does not match its final frame",
      ),
    );
  }

  #acknowledge(): void {
    this.#unacknowledged += 1;
    if (this.#unacknowledged < CREDIT_STEP_FRAMES) return;
    this.connection.send({
      type: "credit",
      attemptId: this.attemptId,
      frames: this.#unacknowledged,
    });
    this.#unacknowledged = 0;
  }

  async #next(timeoutMs: number): Promise<AttemptEvent> {
    const held = this.#events.shift();
    if (held !== undefined) return held;
    let timer: NodeJS.Timeout | undefined;
    await new Promise<void>((resolve) => {
      this.#wake = resolve;
      timer = setTimeout(resolve, Math.max(0, timeoutMs) + ANSWER_GRACE_MS);
    });
    clearTimeout(timer);
    this.#wake = undefined;
    const event = this.#events.shift();
    if (event !== undefined) return event;
    const hasStarted = this.#isCommitted || this.#hasHead;
    const kind = hasStarted ? "deadline-after-run" : "deadline-before-run";
    this.cancel(kind);
    return this.#events.shift() ?? failure(kind, "the deadline passed");
  }

  #push(event: AttemptEvent): void {
    this.#events.push(event);
    this.#wake?.();
  }

  #finish(event: AttemptEvent): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#push(event);
    this.#onEnd();
  }
}
