/**
 * Control plane whose changes come from a few processes that watch it for all.
 * Only the changes are relayed: reads, writes and confirmations of the view go to
 * the control plane itself. Whatever goes wrong with a relay, the wait goes on at
 * the control plane, and that relay is left alone for a time.
 */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as relays from "./control_relay.ts";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import type * as telemetry from "./telemetry.ts";

/** A poll costs nothing while nothing changes, so it may wait long. */
const POLL_WAIT_MS = 10_000;
const CONNECT_TIMEOUT_MS = 500;
/** Longest silence of a relay beyond the wait that it was asked for. */
const SILENCE_TIMEOUT_MS = 800;
/** Time for which a relay is not asked after it has failed. */
const AVOID_MS = 3_000;
/** Longer than the longest answer of a relay, with its head. */
const MAX_ANSWER_BYTES = 262_144;
const MAX_KNOWN_RELAYS = 1_024;

/** A process that watches the control plane. */
export interface Relay extends ports.Address {
  readonly name: string;
}

export interface RelayedControlPlaneOptions {
  readonly controlPlane: ports.ControlPlane;
  readonly clock: kernel.Clock;
  readonly log: logs.DecisionLog;
  readonly telemetry: telemetry.Telemetry;
  /** The relays to ask, the best first; empty if this process watches itself. */
  readonly listRelays: () => readonly Relay[];
  /** Whether a host is that of a process of the installation. */
  readonly isPeerHost: (host: string) => boolean;
}

/** Follows the control plane directly or through relays, and is a relay itself. */
export class RelayedControlPlane implements ports.ControlPlane {
  readonly #options: RelayedControlPlaneOptions;
  readonly #relay: relays.ControlRelay;
  readonly #agent = new undici.Agent({
    connect: kernel.boundAnswers(
      undici.buildConnector({ timeout: CONNECT_TIMEOUT_MS }),
      MAX_ANSWER_BYTES,
    ),
    connections: 1,
    headersTimeout: POLL_WAIT_MS + SILENCE_TIMEOUT_MS,
    bodyTimeout: SILENCE_TIMEOUT_MS,
  });
  readonly #avoidedUntilMs = new Map<string, number>();

  constructor(options: RelayedControlPlaneOptions) {
    this.#options = options;
    this.#relay = new relays.ControlRelay({
      isPeerHost: options.isPeerHost,
      onAnswer: (what) => options.telemetry.countEvent(`relay.${what}`),
    });
  }

  /** What is held for peers that poll for changes. */
  get relayState(): relays.RelayState {
    return this.#relay.state;
  }

  /** Whether the next changes will come from another process. */
  get isRelayed(): boolean {
    return this.#findRelay() !== undefined;
  }

  /**
   * Tells peers of changes; returns the port. If it is taken, they ask other peers
   * or the control plane.
   */
  async serveChanges(address: ports.Address): Promise<number | undefined> {
    try {
      return await this.#relay.listen(address);
    } catch (thrown) {
      const reason = kernel.describeThrown(thrown);
      this.#options.log.addNotable("relay.unavailable", { ...address, reason });
      return undefined;
    }
  }

  async readAll(): Promise<kernel.Outcome<ports.ControlUpdate>> {
    const { controlPlane, clock, log } = this.#options;
    const startedAtMs = clock.monotonicMs();
    const read = await controlPlane.readAll();
    if (read.isErr()) return read;
    const { items, revision } = read.value;
    this.#observe(read.value);
    this.#relay.reset(revision);
    log.addNotable("control.read", {
      items: items.length,
      storedChars: read.value.storedChars,
      revision: kernel.describePosition(revision),
      tookMs: Math.round(clock.monotonicMs() - startedAtMs),
    });
    return read;
  }

  async waitForChanges(
    afterRevision: number,
    waitMs: number,
    signal: AbortSignal,
    isConfirmation = false,
  ): Promise<kernel.Outcome<ports.ControlUpdate>> {
    const relay = isConfirmation ? undefined : this.#findRelay();
    const relayed = relay &&
      await this.#poll(relay, afterRevision, signal);
    if (relayed !== undefined) {
      this.#relay.record(afterRevision, relayed);
      return neverthrow.ok({ ...relayed, isRelayed: true });
    }
    if (signal.aborted) {
      return kernel.fail("store-unavailable", "the wait was interrupted");
    }
    const { controlPlane } = this.#options;
    const changes = await controlPlane.waitForChanges(
      afterRevision,
      waitMs,
      signal,
    );
    if (changes.isErr()) return changes;
    this.#observe(changes.value);
    this.#relay.record(afterRevision, changes.value);
    return changes;
  }

  writeRollout(
    record: ports.RolloutRecord,
  ): Promise<kernel.Outcome<ports.RolloutWriteResult>> {
    return this.#options.controlPlane.writeRollout(record);
  }

  writeQuarantine(
    partId: string,
    durationMs: number,
  ): Promise<kernel.Outcome<void>> {
    return this.#options.controlPlane.writeQuarantine(partId, durationMs);
  }

  announcePeer(
    self: ports.PeerEntry,
  ): Promise<kernel.Outcome<ports.PeerLease>> {
    return this.#options.controlPlane.announcePeer(self);
  }

  renewPeer(leaseId: string): Promise<kernel.Outcome<boolean>> {
    return this.#options.controlPlane.renewPeer(leaseId);
  }

  withdrawPeer(leaseId: string): Promise<kernel.Outcome<void>> {
    return this.#options.controlPlane.withdrawPeer(leaseId);
  }

  async close(): Promise<void> {
    this.#relay.close();
    await this.#agent.destroy();
    await this.#options.controlPlane.close();
  }

  #observe({ decodeMs }: ports.ControlUpdate): void {
    if (decodeMs === undefined) return;
    this.#options.telemetry.observeControlDecode(decodeMs);
  }

  #findRelay(): Relay | undefined {
    const nowMs = this.#options.clock.monotonicMs();
    return this.#options.listRelays().find(({ name }) =>
      (this.#avoidedUntilMs.get(name) ?? -Infinity) <= nowMs
    );
  }

  /** Resolves to `undefined` if the relay does not answer, or cannot. */
  async #poll(
    relay: Relay,
    afterRevision: number,
    signal: AbortSignal,
  ): Promise<ports.ControlUpdate | undefined> {
    const path = relays.buildRelayPath(afterRevision, POLL_WAIT_MS);
    let reason: string;
    try {
      const { statusCode, body } = await undici.request(
        `http://${relay.host}:${relay.port}${path}`,
        { dispatcher: this.#agent, signal },
      );
      const answer = relays.parseRelayAnswer(statusCode, await body.text());
      if (answer !== undefined) return answer;
      reason = `status ${statusCode}`;
    } catch (thrown) {
      reason = kernel.describeThrown(thrown);
    }
    this.#avoid(relay, reason);
    return undefined;
  }

  #avoid({ name }: Relay, reason: string): void {
    const { clock, log } = this.#options;
    this.#avoidedUntilMs.delete(name);
    this.#avoidedUntilMs.set(name, clock.monotonicMs() + AVOID_MS);
    decisions.trimOldest(this.#avoidedUntilMs, MAX_KNOWN_RELAYS);
    log.addNotable("control.relay-left", { relay: name, reason });
  }
}
