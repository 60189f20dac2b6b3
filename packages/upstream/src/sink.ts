/** Sends one attempt's answer as numbered frames, no faster than credit allows. */
import * as decisions from "@jackdawbank/decisions";
import * as mesh from "@jackdawbank/mesh";
import type * as backends from "./backend.ts";

const MAX_KEPT_BODY_BYTES = 8_192;

/** Sink of one attempt. */
export class AttemptSink implements backends.ResponseSink {
  readonly #connection: mesh.MeshConnection;
  readonly #attemptId: string;
  readonly #kept: Uint8Array[] = [];
  #digest = decisions.EMPTY_ANSWER_DIGEST;
  #credit = mesh.INITIAL_CREDIT_FRAMES;
  #resume: (() => void) | undefined;
  #status = 0;
  #contentType = "";
  #keptBytes = 0;
  #isClosed = false;

  constructor(connection: mesh.MeshConnection, attemptId: string) {
    this.#connection = connection;
    this.#attemptId = attemptId;
  }

  get status(): number {
    return this.#status;
  }

  onHead(
    status: number,
    headers: Readonly<Record<string, string>>,
    isReplay = false,
  ): void {
    this.#status = status;
    this.#contentType = headers["content-type"] ?? "";
    this.#connection.send({
      type: "head",
      attemptId: this.#attemptId,
      status,
      headers: { ...headers },
      isReplay,
    });
  }

  async onChunk(data: Uint8Array): Promise<void> {
    this.#keep(data);
    while (this.#credit <= 0 && !this.#isClosed) {
      await new Promise<void>((resolve) => {
        this.#resume = resolve;
      });
    }
    if (this.#isClosed) return;
    this.#credit -= 1;
    this.#digest = decisions.extendAnswerDigest(this.#digest, data);
    this.#connection.send({
      type: "chunk",
      attemptId: this.#attemptId,
      number: this.#digest.count,
      data,
    });
  }

  addCredit(frames: number): void {
    this.#credit += frames;
    this.#wake();
  }

  sendFinal(usage: mesh.Usage): void {
    const { count, checksum } = this.#digest;
    this.#connection.send({
      type: "final",
      attemptId: this.#attemptId,
      count,
      checksum,
      usage,
    });
  }

  /** The answer as a claim keeps it; a large body is left out. */
  buildKeptAnswer(): decisions.StoredAnswer {
    const isSmall = this.#keptBytes <= MAX_KEPT_BODY_BYTES;
    return {
      status: this.#status,
      contentType: this.#contentType,
      body: isSmall ? Buffer.concat(this.#kept) : undefined,
    };
  }

  /** Lets a waiting writer go on; nothing more is sent. */
  close(): void {
    this.#isClosed = true;
    this.#wake();
  }

  #keep(data: Uint8Array): void {
    this.#keptBytes += data.byteLength;
    if (this.#keptBytes <= MAX_KEPT_BODY_BYTES) this.#kept.push(data);
  }

  #wake(): void {
    const resume = this.#resume;
    this.#resume = undefined;
    resume?.();
  }
}
