/**
 * Collects garbage after large buffers were released. Their memory is outside of
 * the runtime's heap, which by itself lets much of it pile up before it collects.
 */
import * as v8 from "node:v8";
import * as vm from "node:vm";

/** Released bytes after which a collection is worth its time. */
const COLLECT_AFTER_BYTES = 16 * 1_048_576;
/** Holds below this size are not counted: the runtime keeps up with them. */
const MIN_COUNTED_BYTES = 32_768;

/** Growth of the heap since its last collection after which another one is worth its time. */
const MIN_GROWTH_BYTES = 16 * 1_048_576;

/** Counts released bytes and collects garbage after many, or when the heap has grown large. */
export class GarbageCollection {
  readonly #heapBytes: number;
  #heapBytesAfterRun = 0;
  #collect: (() => void) | undefined;
  #releasedBytes = 0;

  /** `heapBytes` is the size above which the heap is collected before the runtime would do so. */
  constructor(heapBytes = Infinity) {
    this.#heapBytes = heapBytes;
  }

  /** Collects garbage if the heap is large and has grown much since the last time. */
  checkHeap(): void {
    if (this.#heapBytes === Infinity) return;
    const { used_heap_size: bytes } = v8.getHeapStatistics();
    const isDue = bytes > this.#heapBytes &&
      bytes - this.#heapBytesAfterRun > MIN_GROWTH_BYTES;
    if (isDue) this.#run();
  }

  /** Records that buffers of this size have no reference any more, or soon will not. */
  recordReleased(bytes: number): void {
    if (bytes < MIN_COUNTED_BYTES) return;
    const before = this.#releasedBytes;
    this.#releasedBytes += bytes;
    const isDue = before < COLLECT_AFTER_BYTES &&
      this.#releasedBytes >= COLLECT_AFTER_BYTES;
    // The last references are dropped when the current callbacks have ended.
    if (isDue) setImmediate(() => this.#run());
  }

  #run(): void {
    this.#releasedBytes = 0;
    this.#collect ??= loadCollect();
    this.#collect();
    this.#heapBytesAfterRun = v8.getHeapStatistics().used_heap_size;
  }
}

/** The runtime offers its collector only to contexts that are created after this flag is set. */
function loadCollect(): () => void {
  v8.setFlagsFromString("--expose-gc");
  const collect = vm.runInNewContext("gc") as () => void;
  v8.setFlagsFromString("--no-expose-gc");
  return collect;
}
