/** Sends the response of one attempt as numbered frames, with credit-based flow control. */
import * as decisions from "@jackdawbank/decisions";
import * as mesh from "@jackdawbank/mesh";
import type * as backends from "./backend.ts";

const MAX_STORED_BODY_BYTES = 8_192;

/** Response sink of one attempt. */
export class AttemptSink implements backends.ResponseSink {
  readonly #connection: mesh.MeshConnection;
  readonly #attemptId: string;
  readonly #bodyChunks: Uint8Array[] = [];
  #digest = decisions.EMPTY_ANSWER_DIGEST;
  #credit = mesh.INITIAL_CREDIT_FRAMES;
  #resume: (() => void) | undefined;
  #status = 0;
  #contentType = "";
  #bodyBytes = 0;
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
    this.#collectBody(data);
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
    this.#resumeWriter();
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

  /** Builds the response that is stored with a claim; a large body is omitted. */
  buildStoredAnswer(): decisions.StoredAnswer {
    const isSmall = this.#bodyBytes <= MAX_STORED_BODY_BYTES;
    return {
      status: this.#status,
      contentType: this.#contentType,
      body: isSmall ? Buffer.concat(this.#bodyChunks) : undefined,
    };
  }

  /** Stops sending and releases a writer that waits for credit. */
  close(): void {
    this.#isClosed = true;
    this.#resumeWriter();
  }

  #collectBody(data: Uint8Array): void {
    this.#bodyBytes += data.byteLength;
    if (this.#bodyBytes <= MAX_STORED_BODY_BYTES) this.#bodyChunks.push(data);
  }

  #resumeWriter(): void {
    const resume = this.#resume;
    this.#resume = undefined;
    resume?.();
  }
}
