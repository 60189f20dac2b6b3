/**
 * Holds the active bundle: the newest verified revision, replaced as a whole and
 * never by an older one, with the age of its last confirmation by the store.
 */
import * as bundle from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";

/** Age reported when the store has never confirmed the active revision. */
export const NEVER_CONFIRMED_MS = -1;

/** The active bundle with its look-up tables. */
export interface ActiveBundle {
  readonly verified: bundle.VerifiedBundle;
  readonly index: decisions.BundleIndex;
}

/** Verifies offered bundles and owns the active one. */
export class BundleHolder {
  readonly #services: kernel.KernelServices;
  readonly #signers: bundle.Signers;
  readonly #state = new kernel.ObservableValue<ActiveBundle | undefined>(
    undefined,
  );
  #confirmedAtMs: number | undefined;
  #failedCheckAtMs: number | undefined;

  constructor(services: kernel.KernelServices, signers: bundle.Signers) {
    this.#services = services;
    this.#signers = signers;
  }

  get active(): ActiveBundle | undefined {
    return this.#state.read();
  }

  get index(): decisions.BundleIndex | undefined {
    return this.#state.read()?.index;
  }

  /** Revision of the active bundle; 0 when there is none. */
  get revision(): number {
    return this.#state.read()?.verified.bundle.revision ?? 0;
  }

  /** Age of the store's last confirmation, or `NEVER_CONFIRMED_MS`. */
  get confirmedAgeMs(): number {
    if (this.#confirmedAtMs === undefined) return NEVER_CONFIRMED_MS;
    return Math.max(
      0,
      this.#services.clock.monotonicMs() - this.#confirmedAtMs,
    );
  }

  /** `confirmedAgeMs` for comparisons with a limit: infinite when never confirmed. */
  get stalenessMs(): number {
    const ageMs = this.confirmedAgeMs;
    return ageMs === NEVER_CONFIRMED_MS ? Number.POSITIVE_INFINITY : ageMs;
  }

  /**
   * Age of the last confirmation or failed store read, whichever is newer;
   * `NEVER_CONFIRMED_MS` when there was neither. After a pause of the process
   * this age stays high until the next read.
   */
  get checkedAgeMs(): number {
    const times = [this.#confirmedAtMs, this.#failedCheckAtMs].filter((time) =>
      time !== undefined
    );
    if (times.length === 0) return NEVER_CONFIRMED_MS;
    return Math.max(0, this.#services.clock.monotonicMs() - Math.max(...times));
  }

  /** Records that a read of the store has just failed. */
  recordFailedCheck(): void {
    this.#failedCheckAtMs = this.#services.clock.monotonicMs();
  }

  /** Calls the listener after each change of the active bundle. */
  listen(
    listener: kernel.ValueListener<ActiveBundle | undefined>,
  ): kernel.Teardown {
    return this.#state.listen(listener);
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
    return this.#decideOffer(verified.value, source);
  }

  /**
   * Records that the store held this revision `ageMs` ago. It also confirms a
   * newer active revision: that one includes everything accepted by then.
   */
  confirm(revision: number, ageMs: number): void {
    if (ageMs < 0 || revision > this.revision || revision === 0) return;
    const atMs = this.#services.clock.monotonicMs() - ageMs;
    if (this.#confirmedAtMs !== undefined && atMs <= this.#confirmedAtMs) {
      return;
    }
    this.#confirmedAtMs = atMs;
  }

  #decideOffer(
    offered: bundle.VerifiedBundle,
    source: decisions.BundleSource,
  ): kernel.Outcome<bundle.VerifiedBundle> {
    const active = this.active?.verified;
    const revision = offered.bundle.revision;
    const adoption = decisions.decideAdoption(
      active && { revision: active.bundle.revision, digest: active.digest },
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
          `revision ${revision} is older than the active revision ${this.revision}`,
        );
      case "unproven":
        this.#services.timeline.record("bundle.refused-unproven", { revision });
        return kernel.fail(
          "bundle-conflict",
          `a different bundle with revision ${revision} is already active`,
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
    this.#services.log.info(`bundle revision ${revision} is now active`);
  }

  #reject(error: kernel.AppError): void {
    this.#services.timeline.record("bundle.refused", { detail: error.message });
    this.#services.metrics.increment("bundle.refused", { kind: error.kind });
    this.#services.log.warn(`bundle refused: ${error.message}`);
  }
}
