/**
 * Exchanges views and bundles with the entry processes connected to this
 * process, and tracks when each of them last checked the store.
 */
import * as config from "@jackdawbank/config";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";

const PING_INTERVAL_MS = 500;
const WAIT_POLL_INTERVAL_MS = 5;
/** An entry with work here is disconnected if it has answered no ping for this long. */
const MAX_SILENCE_MS = 30_000;
const MAX_PENDING_PINGS = 1_024;
/** A ping round that is later than this means that the process was paused. */
const MAX_PING_DELAY_MS = 500;

/**
 * Work is held if its entry last checked the store longer ago than this. A
 * withdrawal then takes effect within its bound of 4 s even if this process or
 * the entry was paused or partitioned.
 */
const MAX_STORE_CHECK_AGE_MS = 3_500;

interface PendingPing {
  readonly connection: mesh.MeshConnection;
  readonly sentAtMs: number;
}

export interface EntryTrackerOptions {
  readonly holder: config.BundleHolder;
  readonly connections: () => ReadonlySet<mesh.MeshConnection>;
  readonly readStatus: () => mesh.UpstreamStatus;
  /** Whether work of a connection is waiting or running here. */
  readonly isBusy: (connection: mesh.MeshConnection) => boolean;
}

/** Owns the state known about the connected entries. */
export class EntryTracker {
  readonly #services: kernel.KernelServices;
  readonly #options: EntryTrackerOptions;
  readonly #distributor: config.BundleDistributor;
  readonly #timer: NodeJS.Timeout;
  readonly #teardown: kernel.Teardown;
  readonly #pendingPings = new Map<number, PendingPing>();
  /** When each entry last read the store, or tried to. */
  #storeCheckedAtMs = new WeakMap<mesh.MeshConnection, number>();
  readonly #silence = new decisions.AnswerSilence<mesh.MeshConnection>();
  /** Monotonic time of the last ping round. */
  #pingedAtMs: number;
  #nonce = 0;
  /** Stopped rollouts reported by entries; passed on to all other entries. */
  #stops: ReadonlySet<string> = new Set();
  /** Index of the connection whose turn it is in the ping rotation. */
  #pingIndex = 0;
  /** Pongs received so far. */
  #answered = 0;

  constructor(services: kernel.KernelServices, options: EntryTrackerOptions) {
    this.#services = services;
    this.#options = options;
    this.#distributor = new config.BundleDistributor(options.holder);
    this.#pingedAtMs = services.clock.monotonicMs();
    this.#timer = setInterval(() => this.#pingDueEntries(), PING_INTERVAL_MS);
    this.#teardown = options.holder.listen(() =>
      this.#distributor.sendToAll(options.connections())
    );
  }

  /**
   * Time since an entry last checked the store, as far as its answers to pings
   * show. Unsolicited frames do not count, since they may have been buffered in
   * a socket while this process was paused. After a pause the age is infinite
   * until the entry has answered again, since a newer bundle may be buffered too.
   */
  #readStoreCheckAgeMs(connection: mesh.MeshConnection): number {
    this.#resetAfterPause();
    const checkedAtMs = this.#storeCheckedAtMs.get(connection) ??
      Number.NEGATIVE_INFINITY;
    return this.#services.clock.monotonicMs() - checkedAtMs;
  }

  /**
   * Whether an entry checked the store recently. If not, it or this process may
   * have missed a bundle, and it may no longer be there to receive the response.
   */
  isFresh(connection: mesh.MeshConnection): boolean {
    return this.#readStoreCheckAgeMs(connection) <= MAX_STORE_CHECK_AGE_MS;
  }

  close(): void {
    clearInterval(this.#timer);
    void this.#teardown();
  }

  buildView(): mesh.PeerView {
    const { holder } = this.#options;
    return {
      revision: holder.revision,
      confirmedAgeMs: holder.confirmedAgeMs,
      checkedAgeMs: holder.checkedAgeMs,
      time: this.#services.timeline.tick(),
      status: this.#options.readStatus(),
      stopped: this.#listCurrentStops(),
    };
  }

  /** Sends the current view to all entries at once. */
  broadcastView(): void {
    const view = this.buildView();
    for (const connection of this.#options.connections()) {
      connection.send({ type: "notice", view });
    }
  }

  #listCurrentStops(): readonly string[] {
    const bundle = this.#options.holder.index?.bundle;
    if (bundle === undefined) return [];
    return [...decisions.listCurrentStops(bundle, this.#stops).keys()];
  }

  #addStops(view: mesh.PeerView): void {
    const added = (view.stopped ?? []).filter((stop) => !this.#stops.has(stop));
    if (added.length > 0) this.#stops = new Set([...this.#stops, ...added]);
  }

  handlePing(
    connection: mesh.MeshConnection,
    ping: mesh.FrameOf<"ping">,
  ): void {
    this.#services.timeline.observe(ping.view.time);
    this.#addStops(ping.view);
    this.#distributor.reconcile(connection, ping.view.revision);
    connection.send({
      type: "pong",
      nonce: ping.nonce,
      view: this.buildView(),
    });
  }

  handlePong(
    connection: mesh.MeshConnection,
    pong: mesh.FrameOf<"pong">,
  ): void {
    const ping = this.#pendingPings.get(pong.nonce);
    if (ping === undefined || ping.connection !== connection) return;
    this.#pendingPings.delete(pong.nonce);
    this.#silence.recordAnswer(connection, this.#services.clock.monotonicMs());
    this.#services.timeline.observe(pong.view.time);
    this.#addStops(pong.view);
    this.#distributor.reconcile(connection, pong.view.revision);
    this.#recordStoreCheck(connection, ping, pong.view.checkedAgeMs);
    this.#answered += 1;
    const { confirmedAgeMs, revision } = pong.view;
    if (confirmedAgeMs < 0) return;
    const elapsedMs = this.#services.clock.monotonicMs() - ping.sentAtMs;
    this.#options.holder.confirm(revision, confirmedAgeMs + elapsedMs);
  }

  #recordStoreCheck(
    connection: mesh.MeshConnection,
    ping: PendingPing,
    checkedAgeMs: number,
  ): void {
    if (checkedAgeMs < 0) return;
    const checkedAtMs = this.#storeCheckedAtMs.get(connection) ??
      Number.NEGATIVE_INFINITY;
    this.#storeCheckedAtMs.set(
      connection,
      Math.max(checkedAtMs, ping.sentAtMs - checkedAgeMs),
    );
  }

  /** Distributor of bundles to the connected entries. */
  get distributor(): config.BundleDistributor {
    return this.#distributor;
  }

  /** Pings every entry and waits until as many pongs have arrived, or until the timeout. */
  async pingAllAndWait(timeoutMs: number): Promise<void> {
    const connections = this.#options.connections();
    const expectedPongCount = this.#answered + connections.size;
    for (const connection of connections) this.ping(connection);
    await this.#waitUntil(
      () => this.#answered >= expectedPongCount,
      timeoutMs,
    );
  }

  /** Waits until a revision or a newer one is held; returns whether it is. */
  async waitForRevision(revision: number, timeoutMs: number): Promise<boolean> {
    await this.#waitUntil(
      () => this.#options.holder.revision >= revision,
      timeoutMs,
    );
    return this.#options.holder.revision >= revision;
  }

  async #waitUntil(isDone: () => boolean, timeoutMs: number): Promise<void> {
    const endAtMs = this.#services.clock.monotonicMs() + timeoutMs;
    while (!isDone() && this.#services.clock.monotonicMs() < endAtMs) {
      await kernel.sleep(WAIT_POLL_INTERVAL_MS);
    }
  }

  /** Pings an entry, which answers with its view. */
  ping(connection: mesh.MeshConnection): void {
    this.#nonce += 1;
    const sentAtMs = this.#services.clock.monotonicMs();
    this.#pendingPings.set(this.#nonce, { connection, sentAtMs });
    this.#silence.recordHeartbeat(connection, sentAtMs);
    const [oldest] = this.#pendingPings.keys();
    if (this.#pendingPings.size > MAX_PENDING_PINGS && oldest !== undefined) {
      this.#pendingPings.delete(oldest);
    }
    connection.send({
      type: "ping",
      nonce: this.#nonce,
      view: this.buildView(),
    });
  }

  #resetAfterPause(): void {
    const nowMs = this.#services.clock.monotonicMs();
    const pausedMs = nowMs - this.#pingedAtMs - PING_INTERVAL_MS;
    if (pausedMs <= MAX_PING_DELAY_MS) return;
    this.#pingedAtMs = nowMs;
    this.#storeCheckedAtMs = new WeakMap();
    this.#silence.reset();
    this.#pendingPings.clear();
    this.#services.timeline.record("peers.paused", {
      detail: `${Math.round(pausedMs)} ms`,
    });
  }

  /** Pings every entry with work here, and one entry in rotation to keep the bundle fresh. */
  #pingDueEntries(): void {
    this.#resetAfterPause();
    this.#pingedAtMs = this.#services.clock.monotonicMs();
    const connections = [...this.#options.connections()];
    this.#pingIndex = (this.#pingIndex + 1) % Math.max(1, connections.length);
    connections.forEach((connection, at) => {
      if (at !== this.#pingIndex && !this.#options.isBusy(connection)) return;
      if (this.#isSilent(connection)) connection.terminate();
      else this.ping(connection);
    });
  }

  #isSilent(connection: mesh.MeshConnection): boolean {
    const nowMs = this.#services.clock.monotonicMs();
    return this.#options.isBusy(connection) &&
      this.#silence.measureMs(connection, nowMs) > MAX_SILENCE_MS;
  }
}
