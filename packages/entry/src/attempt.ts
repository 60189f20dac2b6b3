/**
 * One attempt of a request at one upstream process. A missing or reordered frame
 * makes the response incomplete. A response counts as complete only if its final
 * frame matches the chunks that were received.
 */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as mesh from "@jackdawbank/mesh";

/** Chunks read after which the upstream process is granted credit for as many more. */
const CREDIT_GRANT_FRAMES = mesh.INITIAL_CREDIT_FRAMES / 2;

/**
 * The upstream's gate enforces the deadline as well and knows whether the call
 * ran, so its refusal is awaited for this long after the deadline.
 */
const GATE_RESPONSE_GRACE_MS = 150;

/** Event that an attempt starts with. */
export type AttemptStart =
  | {
    readonly type: "head";
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly isReplay: boolean;
  }
  | { readonly type: "reserved" }
  | AttemptFailure;

/** An attempt that ended without a complete response. */
export interface AttemptFailure {
  readonly type: "failed";
  readonly kind: kernel.ErrorKind;
  readonly message: string;
}

/** Event after the response head. */
export type AttemptBodyEvent =
  | { readonly type: "chunk"; readonly data: Uint8Array }
  | { readonly type: "final"; readonly usage: mesh.Usage }
  | AttemptFailure;

type AttemptEvent = AttemptStart | AttemptBodyEvent;

function createFailure(
  kind: kernel.ErrorKind,
  message: string,
): AttemptFailure {
  return { type: "failed", kind, message };
}

/** Assembles the response of one attempt from its frames. */
export class Attempt {
  readonly attemptId: string;
  readonly connection: mesh.MeshConnection;
  /** Whether the call runs only after it was reserved and committed. */
  readonly #isTwoPhase: boolean;
  readonly #onEnd: () => void;
  readonly #events: AttemptEvent[] = [];
  #digest = decisions.EMPTY_ANSWER_DIGEST;
  #notifyReader: (() => void) | undefined;
  #framesSinceCredit = 0;
  #isEnded = false;
  #isCommitted = false;
  #hasReceivedHead = false;

  constructor(
    call: { readonly attemptId: string; readonly isTwoPhase: boolean },
    connection: mesh.MeshConnection,
    onEnd: () => void,
  ) {
    this.attemptId = call.attemptId;
    this.connection = connection;
    this.#isTwoPhase = call.isTwoPhase;
    this.#onEnd = onEnd;
  }

  /** Whether a two-phase call has been committed, so that it may have run. */
  get isCommitted(): boolean {
    return this.#isCommitted;
  }

  handleFrame(frame: mesh.Frame): void {
    if (this.#isEnded) return;
    switch (frame.type) {
      case "reserved":
        return this.#push({ type: "reserved" });
      case "head": {
        const { status, headers, isReplay } = frame;
        this.#hasReceivedHead = true;
        return this.#push({ type: "head", status, headers, isReplay });
      }
      case "chunk":
        return this.#handleChunk(frame);
      case "final":
        return this.#handleFinal(frame);
      case "refused":
        return this.#finish(createFailure(frame.kind, frame.message));
      default:
        return;
    }
  }

  /** Ends the attempt with an error kind that depends on how far the attempt got. */
  handleConnectionLoss(): void {
    const kind = this.#hasReceivedHead
      ? "answer-incomplete"
      : this.#isCommitted
      ? "outcome-unknown"
      : this.#mayHaveRun
      ? "upstream-lost"
      : "upstream-unreachable";
    this.#finish(
      createFailure(kind, "the connection to the upstream process closed"),
    );
  }

  /** A call without a reservation may run as soon as it has been sent. */
  get #mayHaveRun(): boolean {
    return !this.#isTwoPhase || this.#isCommitted || this.#hasReceivedHead;
  }

  /** Lets a two-phase call run; without a response its outcome is unknown from here on. */
  commit(): boolean {
    this.#isCommitted = true;
    return this.connection.send({ type: "commit", attemptId: this.attemptId });
  }

  /** Cancels the attempt, here and at the upstream process. */
  cancel(kind: kernel.ErrorKind = "cancelled"): void {
    if (this.#isEnded) return;
    this.connection.send({ type: "cancel", attemptId: this.attemptId });
    this.#finish(createFailure(kind, "cancelled"));
  }

  /** Reads the first event, or the one after a reservation. */
  async waitForStart(timeoutMs: number): Promise<AttemptStart> {
    const event = await this.#readEvent(timeoutMs);
    if (
      event.type === "head" || event.type === "reserved" ||
      event.type === "failed"
    ) return event;
    return createFailure(
      "answer-incomplete",
      "the response started without a head",
    );
  }

  /** Reads the next event after the response head. */
  async readBodyEvent(timeoutMs: number): Promise<AttemptBodyEvent> {
    const event = await this.#readEvent(timeoutMs);
    if (event.type === "head" || event.type === "reserved") {
      return createFailure(
        "answer-incomplete",
        "a head or reservation arrived after the response head",
      );
    }
    if (event.type === "chunk") this.#grantCredit();
    return event;
  }

  #handleChunk(frame: mesh.FrameOf<"chunk">): void {
    if (
      !this.#hasReceivedHead ||
      !decisions.isNextFrame(this.#digest, frame.number)
    ) {
      this.#finish(
        createFailure(
          "answer-incomplete",
          "a response frame is missing or out of order",
        ),
      );
      return;
    }
    this.#digest = decisions.extendAnswerDigest(this.#digest, frame.data);
    this.#push({ type: "chunk", data: frame.data });
  }

  #handleFinal(frame: mesh.FrameOf<"final">): void {
    const isComplete = this.#hasReceivedHead &&
      decisions.isCompleteAnswer(this.#digest, frame);
    this.#finish(
      isComplete ? { type: "final", usage: frame.usage } : createFailure(
        "answer-incomplete",
        "the response does not match its final frame",
      ),
    );
  }

  #grantCredit(): void {
    this.#framesSinceCredit += 1;
    if (this.#framesSinceCredit < CREDIT_GRANT_FRAMES) return;
    this.connection.send({
      type: "credit",
      attemptId: this.attemptId,
      frames: this.#framesSinceCredit,
    });
    this.#framesSinceCredit = 0;
  }

  async #readEvent(timeoutMs: number): Promise<AttemptEvent> {
    const queued = this.#events.shift();
    if (queued !== undefined) return queued;
    let timer: NodeJS.Timeout | undefined;
    await new Promise<void>((resolve) => {
      this.#notifyReader = resolve;
      timer = setTimeout(
        resolve,
        Math.max(0, timeoutMs) + GATE_RESPONSE_GRACE_MS,
      );
    });
    clearTimeout(timer);
    this.#notifyReader = undefined;
    const event = this.#events.shift();
    if (event !== undefined) return event;
    const kind = this.#mayHaveRun
      ? "deadline-after-run"
      : "deadline-before-run";
    this.cancel(kind);
    return this.#events.shift() ?? createFailure(kind, "the deadline passed");
  }

  #push(event: AttemptEvent): void {
    this.#events.push(event);
    this.#notifyReader?.();
  }

  #finish(event: AttemptEvent): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#push(event);
    this.#onEnd();
  }
}
