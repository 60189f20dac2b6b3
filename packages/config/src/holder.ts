/**
 * Holds the bundle in force: the newest verified revision, replaced whole and
 * never by an older one, with the age of its last confirmation by the store.
 */
import * as bundle from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";

/** Age reported when the store has never confirmed the held revision. */
export const NEVER_CONFIRMED_MS = -1;

/** The held bundle with its look-up tables. */
export interface HeldBundle {
  readonly verified: bundle.VerifiedBundle;
  readonly index: decisions.BundleIndex;
}

/** Owner of the bundle in force. */
export class BundleHolder {
  readonly #services: kernel.KernelServices;
  readonly #signers: bundle.Signers;
  readonly #state = new kernel.ObservableValue<HeldBundle | undefined>(
    undefined,
  );
  #confirmedAtMs: number | undefined;
  #triedAtMs: number | undefined;

  constructor(services: kernel.KernelServices, signers: bundle.Signers) {
    this.#services = services;
    this.#signers = signers;
  }

  get held(): HeldBundle | undefined {
    return this.#state.read();
  }

  get index(): decisions.BundleIndex | undefined {
    return this.#state.read()?.index;
  }

  /** Revision in force; 0 when none is held. */
  get revision(): number {
    return this.#state.read()?.verified.bundle.revision ?? 0;
  }

  /** Age of the last confirmation, or `NEVER_CONFIRMED_MS`. */
  get confirmedAgeMs(): number {
    if (this.#confirmedAtMs === undefined) return NEVER_CONFIRMED_MS;
    return Math.max(
      0,
      this.#services.clock.monotonicMs() - this.#confirmedAtMs,
    );
  }

  /** Age for rules that bound staleness: infinite when never confirmed. */
  get stalenessMs(): number {
    const ageMs = this.confirmedAgeMs;
    return ageMs === NEVER_CONFIRMED_MS ? Number.POSITIVE_INFINITY : ageMs;
  }

  /**
   * Age of the last time that this process learnt, or tried in vain to learn,
   * what the store holds; `NEVER_CONFIRMED_MS` when it never did. A process that
   * was paused has a high age until it has tried again.
   */
  get checkedAgeMs(): number {
    const times = [this.#confirmedAtMs, this.#triedAtMs].filter((time) =>
      time !== undefined
    );
    if (times.length === 0) return NEVER_CONFIRMED_MS;
    return Math.max(0, this.#services.clock.monotonicMs() - Math.max(...times));
  }

  /** Records that the store was asked in vain just now. */
  recordFailedCheck(): void {
    this.#triedAtMs = this.#services.clock.monotonicMs();
  }

  /** Tells listeners after each change. */
  listen(
    listener: kernel.ValueListener<HeldBundle | undefined>,
  ): kernel.Teardown {
    return this.#state.subscribe(listener);
  }

  /** Verifies an offered bundle and adopts it if it is newer. */
  offer(
    data: unknown,
    source: decisions.BundleSource,
  ): kernel.Outcome<bundle.VerifiedBundle> {
    const verified = bundle.verifyBundle(data, this.#signers);
    if (verified.isErr()) {
      this.#reject(verified.error);
      return neverthrow.err(verified.error);
    }
    return this.#decide(verified.value, source);
  }

  /**
   * Records that the store held this revision `ageMs` ago. It also confirms a
   * newer one that is held here: all that was accepted until then is known.
   */
  confirm(revision: number, ageMs: number): void {
    if (ageMs < 0 || revision > this.revision || revision === 0) return;
    const atMs = this.#services.clock.monotonicMs() - ageMs;
    if (this.#confirmedAtMs !== undefined && atMs <= this.#confirmedAtMs) {
      return;
    }
    this.#confirmedAtMs = atMs;
  }

  #decide(
    offered: bundle.VerifiedBundle,
    source: decisions.BundleSource,
  ): kernel.Outcome<bundle.VerifiedBundle> {
    const held = this.held?.verified;
    const revision = offered.bundle.revision;
    const adoption = decisions.decideAdoption(
      held && { revision: held.bundle.revision, digest: held.digest },
      { revision, digest: offered.digest },
      source,
    );
    switch (adoption) {
      case "adopt":
      case "replace-unaccepted":
        this.#adopt(offered, adoption);
        return neverthrow.ok(offered);
      case "same":
        return neverthrow.ok(offered);
      case "older":
        this.#services.timeline.record("bundle.refused-older", { revision });
        return kernel.fail(
          "bundle-stale",
          `revision ${revision} is older than ${this.revision}, which stays in force`,
        );
      case "unproven":
        this.#services.timeline.record("bundle.refused-unproven", { revision });
        return kernel.fail(
          "bundle-conflict",
          `another bundle of revision ${revision} is in force`,
        );
    }
  }

  #adopt(
    offered: bundle.VerifiedBundle,
    adoption: decisions.AdoptionDecision,
  ): void {
    const revision = offered.bundle.revision;
    this.#state.replace({
      verified: offered,
      index: decisions.indexBundle(offered),
    });
    this.#services.timeline.record("bundle.adopted", {
      revision,
      detail: adoption,
    });
    this.#services.metrics.gauge("bundle.revision", revision);
    this.#services.log.info(`bundle revision ${revision} is in force here`);
  }

  #reject(error: kernel.AppError): void {
    this.#services.timeline.record("bundle.refused", { detail: error.message });
    this.#services.metrics.increment("bundle.refused", { kind: error.kind });
    this.#services.log.warn(`bundle refused: ${error.message}`);
  }
}
