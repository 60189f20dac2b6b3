/**
 * Bodies in very small chunks. Each chunk costs the HTTP parser as much as a large
 * one, so that a few such bodies at once would take all of the processor's time.
 */
import type * as decisions from "@jackdawbank/decisions";

/** A chunk below this size is small. */
const SMALL_CHUNK_BYTES = 64;
/** A body with more small chunks than this counts against the limit. */
const MAX_FREE_CHUNKS = 4_096;
/** Such bodies that are read at the same time. */
const MAX_BODIES = 2;
/** A body without progress for this time gives its place to another one. */
const STALL_MS = 500;

/** A body that may have to give way because of its small chunks. */
export interface SmallChunkBody {
  readonly hold: decisions.Hold;
  giveWay(): void;
}

/** Bodies in small chunks that are being read. */
export class SmallChunkBodies {
  readonly #bodies = new Set<SmallChunkBody>();

  /** Whether the body may be read further; another one without progress gives way to it. */
  admit(body: SmallChunkBody, nowMs: number): boolean {
    if (this.#bodies.has(body)) return true;
    if (this.#bodies.size >= MAX_BODIES) {
      const stalled = [...this.#bodies].find(({ hold }) =>
        nowMs - hold.progressAtMs >= STALL_MS
      );
      if (stalled === undefined) return false;
      this.remove(stalled);
      stalled.giveWay();
    }
    this.#bodies.add(body);
    return true;
  }

  remove(body: SmallChunkBody): void {
    this.#bodies.delete(body);
  }
}

/** Counts the small chunks of one body. */
export class SmallChunkCounter {
  #count = 0;

  /** Records a chunk; returns true once the body has many small ones. */
  add(chunkBytes: number): boolean {
    if (chunkBytes < SMALL_CHUNK_BYTES) this.#count += 1;
    return this.#count > MAX_FREE_CHUNKS;
  }
}
