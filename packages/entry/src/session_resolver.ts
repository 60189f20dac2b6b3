/** The session that a request belongs to, and where its pin comes from. */
import * as crypto from "node:crypto";
import type * as config from "@jackdawbank/config";
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import * as lruCache from "lru-cache";
import * as neverthrow from "neverthrow";
import type * as fleets from "./fleet.ts";
import type * as tokens from "./tokens.ts";

/** Upstream processes that hold the pin of a caller's own session id. */
const PIN_HOMES = 2;
const MAX_ID_CHARS = 128;
/** Homes that stand still for a moment still hold the pin: a fresh one would move the session. */
const PIN_TIMEOUT_MS = 1_000;
const MAX_KNOWN_PINS = 20_000;

/** A request's session. */
export interface RequestSession {
  readonly pin: decisions.SessionPin;
  /** Whether the caller named a session. */
  readonly isNamed: boolean;
}

/** What sessions need from their process. */
export interface SessionsOptions {
  readonly holder: config.BundleHolder;
  readonly fleet: fleets.Fleet;
  readonly tokens: tokens.SessionTokens;
  readonly listStopped: () => ReadonlySet<string>;
}

/** Resolves session headers to pins. */
export class Sessions {
  readonly #options: SessionsOptions;
  readonly #known = new lruCache.LRUCache<string, decisions.SessionPin>({
    max: MAX_KNOWN_PINS,
  });

  constructor(options: SessionsOptions) {
    this.#options = options;
  }

  /** Reads a session header: a token of ours, a caller's own id, or none. */
  async resolve(
    header: string | undefined,
    account: string,
  ): Promise<kernel.Outcome<RequestSession>> {
    if (header === undefined || header === "") {
      return neverthrow.ok({
        pin: this.#createPin(crypto.randomUUID()),
        isNamed: false,
      });
    }
    const { tokens: reader } = this.#options;
    if (reader.isToken(header)) {
      return reader.read(header).map((pin) => ({ pin, isNamed: true }));
    }
    const pin = await this.#resolveOwnId(
      `${account}/${header.slice(0, MAX_ID_CHARS)}`,
    );
    return neverthrow.ok({ pin, isNamed: true });
  }

  /** The homes keep the first pin that they hear of; the oldest answer counts. */
  async #resolveOwnId(sessionId: string): Promise<decisions.SessionPin> {
    const known = this.#known.get(sessionId);
    if (known !== undefined) return known;
    const fresh = this.#createPin(sessionId);
    const { birthRevision, excluded } = fresh;
    const answers = await this.#options.fleet.requestPins({
      sessionId,
      birthRevision,
      excluded,
    }, {
      homes: PIN_HOMES,
      timeoutMs: PIN_TIMEOUT_MS,
    });
    const oldest =
      answers.toSorted((a, b) => a.birthRevision - b.birthRevision)[0];
    const pin = oldest === undefined ? fresh : {
      sessionId,
      birthRevision: oldest.birthRevision,
      excluded: oldest.excluded,
    };
    this.#known.set(sessionId, pin);
    return pin;
  }

  #createPin(sessionId: string): decisions.SessionPin {
    const { holder, listStopped } = this.#options;
    const content = holder.index?.bundle;
    const excluded = content === undefined
      ? []
      : decisions.listExclusions(content, {
        isStale: holder.stalenessMs > content.limits.freshnessBoundMs,
        stopped: listStopped(),
      });
    return { sessionId, birthRevision: holder.revision, excluded };
  }
}
