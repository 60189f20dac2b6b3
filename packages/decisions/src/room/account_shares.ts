/**
 * Shares of client accounts in the engines of a service. The share of an account
 * is the part of the prefill time that it asked for while there was room for all;
 * it binds only while room is short. Until enough was asked for to tell the
 * shares, no account is over its own.
 */
import * as bounded from "../bounded_map.ts";

/** Time constant of the recent use. */
const RECENT_MS = 4_000;
/** Time constant of the steady use that gives the shares. */
const STEADY_MS = 60_000;
/** Steady use, in prompts of mean length, from which shares are known. */
const MIN_STEADY_PROMPTS = 20;
/** Recent use above its share that an account always has, in prompts of mean length. */
const ALLOWED_PROMPTS = 3;
/** Recent use that is still within the share, as a multiple of it. */
const TOLERANCE = 1.5;
/** Smallest share of an account that was not seen before. */
const MIN_SHARE = 0.01;
/** Weight of the newest prompt in the mean prefill time, after the first ones. */
const MEAN_WEIGHT = 0.02;
const MAX_ACCOUNTS = 1_024;

/** Sum that decays exponentially with time. */
class DecayingSum {
  readonly #decayMs: number;
  #sum = 0;
  #atMs = 0;

  constructor(decayMs: number) {
    this.#decayMs = decayMs;
  }

  add(value: number, nowMs: number): void {
    this.#sum = this.read(nowMs) + value;
    this.#atMs = nowMs;
  }

  read(nowMs: number): number {
    return this.#sum *
      Math.exp(-Math.max(0, nowMs - this.#atMs) / this.#decayMs);
  }
}

interface Use {
  readonly recent: DecayingSum;
  readonly steady: DecayingSum;
}

function createUse(): Use {
  return {
    recent: new DecayingSum(RECENT_MS),
    steady: new DecayingSum(STEADY_MS),
  };
}

/** Prefill time that the accounts of one service ask for at one process, in milliseconds. */
export class AccountShares {
  readonly #uses = new Map<string, Use>();
  readonly #total = createUse();
  #meanPrefillMs = 0;
  #prompts = 0;

  /** Mean prefill time of a prompt; 0 before the first one. */
  get meanPrefillMs(): number {
    return this.#meanPrefillMs;
  }

  /** Records a prompt that has arrived; while room is short, shares stay as they are. */
  record(
    account: string,
    prefillMs: number,
    options: { readonly isRoomShort: boolean; readonly nowMs: number },
  ): void {
    const { isRoomShort, nowMs } = options;
    const use = this.#uses.get(account) ?? createUse();
    this.#uses.delete(account);
    this.#uses.set(account, use);
    bounded.trimOldest(this.#uses, MAX_ACCOUNTS);
    for (const { recent, steady } of [use, this.#total]) {
      recent.add(prefillMs, nowMs);
      if (!isRoomShort) steady.add(prefillMs, nowMs);
    }
    this.#prompts += 1;
    this.#meanPrefillMs += Math.max(MEAN_WEIGHT, 1 / this.#prompts) *
      (prefillMs - this.#meanPrefillMs);
  }

  /** Ratio of an account's recent use to what it may use; above 1 it is over its share. */
  readRatio(account: string, nowMs: number): number {
    const use = this.#uses.get(account);
    const steadyMs = this.#total.steady.read(nowMs);
    if (
      use === undefined || steadyMs < MIN_STEADY_PROMPTS * this.meanPrefillMs
    ) return 0;
    const share = Math.max(MIN_SHARE, use.steady.read(nowMs) / steadyMs);
    // The others' use gives the amount, so that a flood does not raise its own bound.
    const ownMs = use.recent.read(nowMs);
    const othersMs = this.#total.recent.read(nowMs) - ownMs;
    const boundMs = share < 1 ? othersMs * share / (1 - share) : Infinity;
    const allowedMs = TOLERANCE * boundMs +
      ALLOWED_PROMPTS * this.meanPrefillMs;
    return allowedMs > 0 ? ownMs / allowedMs : 0;
  }
}
