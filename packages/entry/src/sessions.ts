/**
 * Resolves the session of a request to its pin: the bundle revision at which the
 * session began and the versions excluded from it.
 */
import * as crypto from "node:crypto";
import type * as config from "@jackdawbank/config";
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import * as lruCache from "lru-cache";
import * as neverthrow from "neverthrow";
import type * as fleets from "./fleet.ts";
import type * as tokens from "./tokens.ts";

/** Number of upstream processes that hold the pin of a session id chosen by a caller. */
const PIN_COPIES = 2;
const MAX_ID_CHARS = 128;
/**
 * Covers short pauses of the processes that hold a pin: a new pin in its place
 * could move the session to another version.
 */
const PIN_TIMEOUT_MS = 1_000;
const MAX_CACHED_PINS = 20_000;

export interface ResolvedSession {
  readonly pin: decisions.SessionPin;
  /** Whether the caller sent a session header. */
  readonly hasSessionHeader: boolean;
}

export interface SessionResolverOptions {
  readonly holder: config.BundleHolder;
  readonly fleet: fleets.Fleet;
  readonly tokens: tokens.SessionTokens;
  readonly listStoppedVersions: () => ReadonlySet<string>;
}

/** Resolves session headers to pins. Pins of caller-chosen ids are cached. */
export class SessionResolver {
  readonly #options: SessionResolverOptions;
  readonly #cachedPins = new lruCache.LRUCache<string, decisions.SessionPin>({
    max: MAX_CACHED_PINS,
  });

  constructor(options: SessionResolverOptions) {
    this.#options = options;
  }

  /** Resolves a session header: a signed token, an id chosen by the caller, or none. */
  async resolve(
    header: string | undefined,
    account: string,
  ): Promise<kernel.Outcome<ResolvedSession>> {
    if (header === undefined || header === "") {
      return neverthrow.ok({
        pin: this.#createPin(crypto.randomUUID()),
        hasSessionHeader: false,
      });
    }
    const { tokens: sessionTokens } = this.#options;
    if (sessionTokens.isToken(header)) {
      return sessionTokens.verify(header).map((pin) => ({
        pin,
        hasSessionHeader: true,
      }));
    }
    const pin = await this.#lookUpPin(
      `${account}/${header.slice(0, MAX_ID_CHARS)}`,
    );
    return neverthrow.ok({ pin, hasSessionHeader: true });
  }

  /**
   * Looks up the pin of a session id chosen by a caller. Each process keeps the
   * oldest pin that it has received; the oldest reply wins.
   */
  async #lookUpPin(sessionId: string): Promise<decisions.SessionPin> {
    const cached = this.#cachedPins.get(sessionId);
    if (cached !== undefined) return cached;
    const proposed = this.#createPin(sessionId);
    const { birthRevision, excluded } = proposed;
    const heldPins = await this.#options.fleet.requestPins({
      sessionId,
      birthRevision,
      excluded,
    }, {
      copies: PIN_COPIES,
      timeoutMs: PIN_TIMEOUT_MS,
    });
    const oldest =
      heldPins.toSorted((a, b) => a.birthRevision - b.birthRevision)[0];
    const pin = oldest === undefined ? proposed : {
      sessionId,
      birthRevision: oldest.birthRevision,
      excluded: oldest.excluded,
    };
    this.#cachedPins.set(sessionId, pin);
    return pin;
  }

  #createPin(sessionId: string): decisions.SessionPin {
    const { holder, listStoppedVersions } = this.#options;
    const activeBundle = holder.index?.bundle;
    const excluded = activeBundle === undefined
      ? []
      : decisions.listExclusions(activeBundle, {
        isStale: holder.stalenessMs > activeBundle.limits.freshnessBoundMs,
        stopped: listStoppedVersions(),
      });
    return { sessionId, birthRevision: holder.revision, excluded };
  }
}
