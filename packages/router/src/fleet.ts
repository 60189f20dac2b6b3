/**
 * The other processes of the installation: announces this one to them, and
 * exchanges reports with those that are announced. All of it is an aid: a
 * process that cannot announce itself, or hears of nobody, decides by itself.
 */
import * as kernel from "@jackdawbank/kernel";
import * as peers from "@jackdawbank/peers";
import * as neverthrow from "neverthrow";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import type * as telemetry from "./telemetry.ts";

/** Share of a lease's time after which it is renewed: two more tries fit. */
const RENEW_SHARE = 0.3;
const FIRST_RETRY_MS = 500;
const MAX_RETRY_MS = 10_000;
/** An end does not wait longer for the store: the lease ends by itself. */
const MAX_LEAVE_MS = 200;
/** Announcements of processes that start together are spread over this. */
const START_JITTER_MS = 300;

/** What the fleet needs. */
export interface FleetOptions {
  readonly settings: ports.RouterSettings;
  readonly clock: kernel.Clock;
  readonly plane: ports.ControlPlane;
  readonly log: logs.DecisionLog;
  readonly telemetry: telemetry.Telemetry;
  readonly random: () => number;
  readonly source: peers.ReportSource;
  readonly listener: peers.ReportListener;
  /** Called when the number of announced processes changes. */
  readonly onSize: (processes: number) => void;
}

/** Owner of the announcement and of the reports. */
export class Fleet {
  readonly #options: FleetOptions;
  readonly #known = new Map<string, peers.PeerEndpoint>();
  readonly #abort = new AbortController();
  #task: peers.PeerReporter | undefined;
  #lease: ports.PeerLease | undefined;
  #wait: AbortController | undefined;
  #loop: Promise<void> | undefined;
  #left: Promise<void> | undefined;
  #isClosed = false;

  constructor(options: FleetOptions) {
    this.#options = options;
  }

  /** Processes that are announced, this one included. */
  get size(): number {
    return 1 + (this.#task?.table.size ?? 0);
  }

  /** Opens the port for reports and announces it. */
  async start(): Promise<void> {
    const { settings, clock, log, telemetry, source, listener } = this.#options;
    if (settings.peerPort === undefined) {
      log.addNotable("peers.unavailable", {
        reason: "no port is set for reports",
      });
      return;
    }
    const address = { host: settings.ip, port: settings.peerPort };
    let channel: peers.DatagramChannel;
    try {
      channel = await peers.DatagramChannel.bind(address, (error) => {
        log.addNotable("peers.fault", { reason: error.message });
      });
    } catch (thrown) {
      const reason = kernel.describeThrown(thrown);
      log.addNotable("peers.unavailable", { ...address, reason });
      return;
    }
    this.#task = new peers.PeerReporter({
      name: settings.vmName,
      clock,
      channel,
      source,
      listener,
      onReport: (what) => telemetry.countEvent(`peers.${what}`),
    });
    for (const peer of this.#known.values()) this.#task.table.put(peer);
    this.#loop = this.#announce({
      name: settings.vmName,
      host: settings.ip,
      port: channel.port,
    });
  }

  /** Takes an announcement from the control plane. */
  put(peer: ports.PeerEntry): void {
    const held = this.#known.get(peer.name);
    this.#known.set(peer.name, peer);
    this.#task?.table.put(peer);
    if (held?.host === peer.host && held.port === peer.port) return;
    this.#options.log.addNotable("peer.known", {
      ...peer,
      processes: this.size,
    });
    this.#options.onSize(this.size);
  }

  remove(name: string): void {
    const { settings, log, onSize } = this.#options;
    this.#known.delete(name);
    this.#task?.table.remove(name);
    log.addNotable("peer.gone", { name, processes: this.size });
    onSize(this.size);
    if (name !== settings.vmName) return;
    // It lapsed while this process lives: announced again at once.
    this.#lease = undefined;
    this.#wait?.abort();
  }

  /** Other processes that tell how current their views are. */
  countConfirming(): number {
    return this.#task?.countConfirmingPeers() ?? 0;
  }

  noteSent(readMs: number): void {
    this.#task?.notePromptSent(readMs);
  }

  /** What the others have under way at a replica. */
  readLoad(replicaKey: number): peers.PeerLoad {
    return this.#task?.readLoad(replicaKey) ?? peers.NO_LOAD;
  }

  /** Tells the others which version a session ran on. */
  tellSession(item: peers.SessionVersion): void {
    this.#task?.announceSession(item);
  }

  /** Ends the announcement; reports are still taken. */
  leave(): Promise<void> {
    this.#left ??= this.#withdraw();
    return this.#left;
  }

  /** Ends the reports as well. */
  async close(): Promise<void> {
    if (this.#isClosed) return;
    this.#isClosed = true;
    await Promise.race([this.leave(), kernel.sleep(MAX_LEAVE_MS)]);
    this.#task?.close();
  }

  async #withdraw(): Promise<void> {
    this.#abort.abort();
    this.#wait?.abort();
    await this.#loop;
    const lease = this.#lease;
    if (lease === undefined) return;
    const withdrawn = await this.#options.plane.withdrawPeer(lease.id);
    if (withdrawn.isErr()) {
      const { message } = withdrawn.error;
      this.#options.log.addNotable("peers.not-withdrawn", {
        reason: message,
      });
    }
  }

  async #announce(self: ports.PeerEntry): Promise<void> {
    const { plane, log, random } = this.#options;
    await this.#sleep(random() * START_JITTER_MS);
    let retryMs = FIRST_RETRY_MS;
    while (!this.#abort.signal.aborted) {
      const step = await this.#holdLease(self, plane);
      if (step.isOk()) {
        retryMs = FIRST_RETRY_MS;
        await this.#sleep(step.value.ttlMs * RENEW_SHARE);
        continue;
      }
      log.addNotable("peers.not-announced", { reason: step.error.message });
      await this.#sleep(retryMs * (0.5 + random()));
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
  }

  /** Renews the lease, or announces this process anew. */
  async #holdLease(
    self: ports.PeerEntry,
    plane: ports.ControlPlane,
  ): Promise<kernel.Outcome<ports.PeerLease>> {
    const held = this.#lease;
    if (held !== undefined) {
      const renewed = await plane.renewPeer(held.id);
      if (renewed.isErr()) return neverthrow.err(renewed.error);
      if (renewed.value) return neverthrow.ok(held);
    }
    const announced = await plane.announcePeer(self);
    if (announced.isErr()) return announced;
    this.#lease = announced.value;
    this.#options.log.addNotable("peers.announced", {
      ...self,
      ttlMs: announced.value.ttlMs,
    });
    return announced;
  }

  async #sleep(durationMs: number): Promise<void> {
    if (this.#abort.signal.aborted) return;
    this.#wait = new AbortController();
    await kernel.sleep(durationMs, this.#wait.signal);
  }
}
