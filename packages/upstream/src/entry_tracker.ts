/**
 * The entries connected to this process: exchanges views, passes bundles on,
 * and tells how long ago an entry was last heard.
 */
import * as config from "@jackdawbank/config";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";

const PING_INTERVAL_MS = 500;
const REVISION_WAIT_STEP_MS = 5;
/** An entry that has left its pings unanswered for so long is cut off. */
const MAX_SILENCE_MS = 30_000;
const MAX_OPEN_PINGS = 1_024;
/** A ping that is later than this tells that the process was paused. */
const MAX_PING_DELAY_MS = 500;
/** A ping that may still be answered. */
interface OpenPing {
  readonly connection: mesh.MeshConnection;
  readonly sentAtMs: number;
}

/** What the peers task needs from its process. */
export interface EntryTrackerOptions {
  readonly holder: config.BundleHolder;
  readonly connections: () => ReadonlySet<mesh.MeshConnection>;
  readonly readStatus: () => mesh.UpstreamStatus;
  /** Whether work of a connection waits or runs here. */
  readonly isBusy: (connection: mesh.MeshConnection) => boolean;
}

/** Task that owns what is known of the connected entries. */
export class EntryTracker {
  readonly #services: kernel.KernelServices;
  readonly #options: EntryTrackerOptions;
  readonly #distributor: config.BundleDistributor;
  readonly #timer: NodeJS.Timeout;
  readonly #teardown: kernel.Teardown;
  readonly #openPings = new Map<number, OpenPing>();
  /** When each entry last knew what the store held, or had tried to. */
  #knownAtMs = new WeakMap<mesh.MeshConnection, number>();
  /** Steady time of the last round of pings. */
  #pingedAtMs: number;
  #nonce = 0;
  /** Stopped roll-outs that entries have told of; passed on to the others. */
  #stops: ReadonlySet<string> = new Set();
  #turn = 0;
  #answered = 0;

  constructor(services: kernel.KernelServices, options: EntryTrackerOptions) {
    this.#services = services;
    this.#options = options;
    this.#distributor = new config.BundleDistributor(options.holder);
    this.#pingedAtMs = services.clock.monotonicMs();
    this.#timer = setInterval(() => this.#pingDue(), PING_INTERVAL_MS);
    this.#teardown = options.holder.listen(() =>
      this.#distributor.sendToAll(options.connections())
    );
  }

  /**
   * Age of what an entry knew of the store when it answered the newest ping.
   * Only answers count: what an entry sent by itself may have waited in a socket
   * while this process was paused. After a pause nothing is known until an
   * entry has answered again: a newer bundle may wait in a socket as well.
   */
  readStoreCheckAgeMs(connection: mesh.MeshConnection): number {
    this.#forgetAfterPause();
    const knownAtMs = this.#knownAtMs.get(connection) ??
      Number.NEGATIVE_INFINITY;
    return this.#services.clock.monotonicMs() - knownAtMs;
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
      stopped: this.#listStops(),
    };
  }

  /** Tells all entries the present view at once. */
  broadcastView(): void {
    const view = this.buildView();
    for (const connection of this.#options.connections()) {
      connection.send({ type: "notice", view });
    }
  }

  #listStops(): readonly string[] {
    const content = this.#options.holder.index?.bundle;
    if (content === undefined) return [];
    return [...decisions.listCurrentStops(content, this.#stops).keys()];
  }

  #takeStops(view: mesh.PeerView): void {
    const news = (view.stopped ?? []).filter((stop) => !this.#stops.has(stop));
    if (news.length > 0) this.#stops = new Set([...this.#stops, ...news]);
  }

  handlePing(
    connection: mesh.MeshConnection,
    ping: mesh.FrameOf<"ping">,
  ): void {
    this.#services.timeline.observe(ping.view.time);
    this.#takeStops(ping.view);
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
    const ping = this.#openPings.get(pong.nonce);
    if (ping === undefined || ping.connection !== connection) return;
    this.#openPings.delete(pong.nonce);
    this.#services.timeline.observe(pong.view.time);
    this.#takeStops(pong.view);
    this.#distributor.reconcile(connection, pong.view.revision);
    this.#noteKnowledge(connection, ping, pong.view.checkedAgeMs);
    this.#answered += 1;
    const { confirmedAgeMs, revision } = pong.view;
    if (confirmedAgeMs < 0) return;
    const elapsedMs = this.#services.clock.monotonicMs() - ping.sentAtMs;
    this.#options.holder.confirm(revision, confirmedAgeMs + elapsedMs);
  }

  #noteKnowledge(
    connection: mesh.MeshConnection,
    ping: OpenPing,
    checkedAgeMs: number,
  ): void {
    if (checkedAgeMs < 0) return;
    const knownAtMs = this.#knownAtMs.get(connection) ??
      Number.NEGATIVE_INFINITY;
    this.#knownAtMs.set(
      connection,
      Math.max(knownAtMs, ping.sentAtMs - checkedAgeMs),
    );
  }

  /** Spreads bundles over the entries' connections. */
  get distributor(): config.BundleDistributor {
    return this.#distributor;
  }

  /** Pings every entry and waits until all have answered or the time is over. */
  async pingAllAndWait(timeoutMs: number): Promise<void> {
    const connections = this.#options.connections();
    const wanted = this.#answered + connections.size;
    for (const connection of connections) this.ping(connection);
    await this.#waitUntil(() => this.#answered >= wanted, timeoutMs);
  }

  /** Waits until a revision is held; tells whether it is. */
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
      await kernel.sleep(REVISION_WAIT_STEP_MS);
    }
  }

  /** Asks an entry for its view. */
  ping(connection: mesh.MeshConnection): void {
    this.#nonce += 1;
    const sentAtMs = this.#services.clock.monotonicMs();
    this.#openPings.set(this.#nonce, { connection, sentAtMs });
    const [oldest] = this.#openPings.keys();
    if (this.#openPings.size > MAX_OPEN_PINGS && oldest !== undefined) {
      this.#openPings.delete(oldest);
    }
    connection.send({
      type: "ping",
      nonce: this.#nonce,
      view: this.buildView(),
    });
  }

  #forgetAfterPause(): void {
    const nowMs = this.#services.clock.monotonicMs();
    const pausedMs = nowMs - this.#pingedAtMs - PING_INTERVAL_MS;
    if (pausedMs <= MAX_PING_DELAY_MS) return;
    this.#pingedAtMs = nowMs;
    this.#knownAtMs = new WeakMap();
    this.#openPings.clear();
    this.#services.timeline.record("peers.paused", {
      detail: `${Math.round(pausedMs)} ms`,
    });
  }

  /** One entry in turn, for the bundle's freshness, and all that have work here. */
  #pingDue(): void {
    this.#forgetAfterPause();
    this.#pingedAtMs = this.#services.clock.monotonicMs();
    const connections = [...this.#options.connections()];
    this.#turn = (this.#turn + 1) % Math.max(1, connections.length);
    connections.forEach((connection, at) => {
      if (at !== this.#turn && !this.#options.isBusy(connection)) return;
      if (this.#isSilent(connection)) connection.terminate();
      else this.ping(connection);
    });
  }

  #isSilent(connection: mesh.MeshConnection): boolean {
    const knownAtMs = this.#knownAtMs.get(connection);
    if (knownAtMs === undefined || !this.#options.isBusy(connection)) {
      return false;
    }
    return this.#services.clock.monotonicMs() - knownAtMs > MAX_SILENCE_MS;
  }
}
