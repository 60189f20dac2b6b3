/**
 * Prompt parts that a replica has probably in its cache: those that this process
 * saw it prefill lately. Engines cache per model.
 */
import type * as ports from "./ports.ts";

/** Largest number of prompt parts remembered per replica. */
const MAX_CACHED_PARTS = 4_000;

/** Parts of one prompt that are remembered; usual prompts have a few. */
const MAX_PARTS_PER_PROMPT = 64;

/** A prompt, or its prefix, as one model caches it. */
export interface CachedPrompt {
  readonly model: string | undefined;
  readonly parts: readonly ports.PromptPart[];
  readonly nowMs: number;
}

/** Key under which a model's prompt part is remembered. */
export function buildCacheKey(
  model: string | undefined,
  partId: string,
): string {
  return `${model ?? ""}/${partId}`;
}

/**
 * Prompt prefix that other requests probably share: all parts but the last. `key`
 * is the ID of the last shared part.
 */
export function findSharedPrefix(
  parts: readonly ports.PromptPart[],
): { readonly key: string | undefined; readonly tokens: number } {
  const shared = parts.slice(0, -1);
  return {
    key: shared.at(-1)?.id,
    tokens: shared.reduce((sum, part) => sum + part.tokens, 0),
  };
}

/** The parts that one replica has prefilled. */
export class PrefixMemory {
  readonly #reuseWindowMs: number;
  /** Time of the last prefill by cache key, least recent first. */
  readonly #prefilledAtMsByPart = new Map<string, number>();

  /** A part counts as cached for this time after its last prefill. */
  constructor(reuseWindowMs: number) {
    this.#reuseWindowMs = reuseWindowMs;
  }

  /** Number of remembered parts. */
  get size(): number {
    return this.#prefilledAtMsByPart.size;
  }

  record({ model, parts, nowMs }: CachedPrompt): void {
    for (const part of parts.slice(0, MAX_PARTS_PER_PROMPT)) {
      const key = buildCacheKey(model, part.id);
      this.#prefilledAtMsByPart.delete(key);
      this.#prefilledAtMsByPart.set(key, nowMs);
    }
    for (const [key, prefilledAtMs] of this.#prefilledAtMsByPart) {
      const isExpired = nowMs - prefilledAtMs > this.#reuseWindowMs;
      if (!isExpired && this.size <= MAX_CACHED_PARTS) break;
      this.#prefilledAtMsByPart.delete(key);
    }
  }

  /** Tokens of the leading parts that were prefilled within the reuse window. */
  countTokens(prompt: CachedPrompt): number {
    let tokens = 0;
    for (const part of prompt.parts) {
      const prefilledAtMs = this.#prefilledAtMsByPart.get(
        buildCacheKey(prompt.model, part.id),
      );
      const isCached = prefilledAtMs !== undefined &&
        prompt.nowMs - prefilledAtMs <= this.#reuseWindowMs;
      if (!isCached) break;
      tokens += part.tokens;
    }
    return tokens;
  }
}
