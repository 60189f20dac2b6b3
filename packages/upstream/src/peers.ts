/**
 * The entries connected to this process: exchanges views, passes bundles on,
 * and tells how long ago an entry was last heard.
 */
import type * as config from "@jackdawbank/config";
import * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";

const PING_INTERVAL_MS = 500;
const REVISION_WAIT_STEP_MS = 5;

/** What the peers task needs from its process. */
export interface PeersOptions {
  readonly holder: config.BundleHolder;
  readonly connections: () => ReadonlySet<mesh.MeshConnection>;
  readonly readStatus: () => mesh.UpstreamStatus;
}

/** Task that owns what is known of the connected entries. */
export class Peers {
  readonly #services: kernel.KernelServices;
  readonly #options: PeersOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #teardown: kernel.Teardown;
  readonly #sentAtByNonce = new Map<number, number>();
  #nonce = 0;
  #turn = 0;
  #heardAtMs = Number.NEGATIVE_INFINITY;
  #answered = 0;

  constructor(services: kernel.KernelServices, options: PeersOptions) {
    this.#services = services;
    this.#options = options;
    this.#timer = setInterval(() => this.#pingNext(), PING_INTERVAL_MS);
    this.#teardown = options.holder.listen(() => this.#passBundleOn());
  }

  /** Age of the newest ping that an entry has answered. */
  get heardAgeMs(): number {
    return this.#services.clock.monotonicMs() - this.#heardAtMs;
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
      time: this.#services.timeline.tick(),
      status: this.#options.readStatus(),
    };
  }

  /** Tells all entries the present view at once. */
  notify(): void {
    const view = this.buildView();
    for (const connection of this.#options.connections()) {
      connection.send({ type: "notice", view });
    }
  }

  takePing(connection: mesh.MeshConnection, ping: mesh.FrameOf<"ping">): void {
    this.#services.timeline.observe(ping.view.time);
    this.compareRevision(connection, ping.view.revision);
    connection.send({
      type: "pong",
      nonce: ping.nonce,
      view: this.buildView(),
    });
  }

  takePong(connection: mesh.MeshConnection, pong: mesh.FrameOf<"pong">): void {
    const sentAtMs = this.#sentAtByNonce.get(pong.nonce);
    if (sentAtMs === undefined) return;
    this.#services.timeline.observe(pong.view.time);
    this.compareRevision(connection, pong.view.revision);
    this.#heardAtMs = Math.max(this.#heardAtMs, sentAtMs);
    this.#answered += 1;
    const { confirmedAgeMs, revision } = pong.view;
    if (confirmedAgeMs < 0) return;
    const elapsedMs = this.#services.clock.monotonicMs() - sentAtMs;
    this.#options.holder.confirm(revision, confirmedAgeMs + elapsedMs);
  }

  /** Whoever is behind gets the newer bundle. */
  compareRevision(connection: mesh.MeshConnection, theirs: number): void {
    const ours = this.#options.holder.revision;
    if (theirs > ours) connection.send({ type: "pull", heldRevision: ours });
    if (theirs < ours) this.sendBundle(connection);
  }

  sendBundle(connection: mesh.MeshConnection): void {
    const held = this.#options.holder.held;
    if (held !== undefined) {
      connection.send({ type: "bundle", signed: held.verified.signed });
    }
  }

  /** Pings every entry and waits until all have answered or the time is over. */
  async confirmNow(timeoutMs: number): Promise<void> {
    const connections = this.#options.connections();
    const wanted = this.#answered + connections.size;
    for (const connection of connections) this.#ping(connection);
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

  #passBundleOn(): void {
    for (const connection of this.#options.connections()) {
      this.sendBundle(connection);
    }
  }

  #pingNext(): void {
    const connections = [...this.#options.connections()];
    if (connections.length === 0) return;
    this.#turn = (this.#turn + 1) % connections.length;
    this.#ping(connections[this.#turn] as mesh.MeshConnection);
  }

  #ping(connection: mesh.MeshConnection): void {
    this.#nonce += 1;
    const nowMs = this.#services.clock.monotonicMs();
    this.#sentAtByNonce.set(this.#nonce, nowMs);
    this.#sentAtByNonce.delete(this.#nonce - MAX_OPEN_PINGS);
    connection.send({
      type: "ping",
      nonce: this.#nonce,
      view: this.buildView(),
    });
  }
}

const MAX_OPEN_PINGS = 1_024;
