/**
 * Peer processes of the installation: announces this process to them and
 * exchanges reports with them. Reports only improve decisions: a process that
 * cannot announce itself, or knows no peers, works with local data alone.
 */
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as peers from "@jackdawbank/peers";
import * as neverthrow from "neverthrow";
import type * as fleetOptions from "./fleet_options.ts";
import type * as ports from "./ports.ts";

/** Share of the lease's TTL after which it is renewed; leaves time for two more attempts. */
const RENEW_SHARE = 0.3;
const FIRST_RETRY_MS = 500;
const MAX_RETRY_MS = 10_000;
/** Longest wait for the withdrawal at shutdown; otherwise the lease expires on its own. */
const MAX_WITHDRAWAL_WAIT_MS = 200;
/** Spreads the announcements of processes that start at the same time. */
const START_JITTER_MS = 300;
/** The same for announcements that a restored control plane has lost, by processes. */
const REANNOUNCE_SPREAD_PER_PROCESS_MS = 10;
/** The same for announcements that it has kept, under leases that may be void. */
const RELEASE_SPREAD_MS = 30_000;

/** Announces this process and exchanges reports with its peers. */
export class Fleet {
  readonly #options: fleetOptions.FleetOptions;
  readonly #peers = new Map<string, peers.PeerEndpoint>();
  readonly #abort = new AbortController();
  #reporter: peers.PeerReporter | undefined;
  #loads: peers.LoadExchange | undefined;
  #prompts: peers.PromptExchange | undefined;
  readonly owners: peers.ReplicaOwners;
  readonly #rates: peers.RateExchange;
  #rateChannel: peers.PeerChannel | undefined;
  #lease: ports.PeerLease | undefined;
  #sleepAbort: AbortController | undefined;
  /** Delay of the announcement after the current sleep. */
  #announceDelayMs = 0;
  #announceLoop: Promise<void> | undefined;
  #withdrawal: Promise<void> | undefined;
  #isClosed = false;

  constructor(options: fleetOptions.FleetOptions) {
    this.#options = options;
    const { settings, clock, random } = options;
    this.owners = new peers.ReplicaOwners(settings.vmName);
    this.#rates = new peers.RateExchange({
      name: settings.vmName,
      clock,
      owners: this.owners,
      random,
      cold: {
        ...options.cold,
        countRunning: (key) =>
          this.readLoad(key).running + options.source.readOwnLoad(key).running,
      },
      send: (bytes, { host, port }) =>
        this.#rateChannel?.send(bytes, host, port),
    });
  }

  /** Absent until peers' reports are exchanged. */
  get loads(): peers.LoadExchange | undefined {
    return this.#loads;
  }

  /** Number of announced processes, including this one. */
  get size(): number {
    return 1 + (this.#reporter?.table.size ?? 0);
  }

  /** Opens the port for peer reports and announces it; returns the port. */
  async start(): Promise<number | undefined> {
    const { settings, clock, log, telemetry, source, listener } = this.#options;
    if (settings.peerPort === undefined) {
      log.addNotable("peers.unavailable", {
        reason: "no port is configured for peer reports",
      });
      return undefined;
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
      return undefined;
    }
    const channels = peers.splitChannel(channel);
    const loads = new peers.LoadExchange({
      name: settings.vmName,
      clock,
      channel: channels.loads,
      owners: this.owners,
      source: {
        readLoad: (key) => source.readOwnLoad(key),
        listBusyKeys: () => source.listBusyKeys(),
      },
      onQuery: (sender, keys) => this.#rates.notify(sender, keys),
      onMessage: (what) => telemetry.countEvent(`loads.${what}`),
    });
    this.#loads = loads;
    this.#rateChannel = channels.rates;
    channels.rates.onDatagram = (bytes, host) =>
      this.#rates.handleDatagram(bytes, host);
    this.#prompts = new peers.PromptExchange({
      name: settings.vmName,
      clock,
      channel: channels.prompts,
      listPeers: () => this.owners.list(),
      findSender: (name, host) => this.owners.findSender(name, host),
      listTallies: () => source.listPromptTallies(),
      onTallies: (message) => listener.onPromptTallies(message),
    });
    this.#reporter = new peers.PeerReporter({
      name: settings.vmName,
      clock,
      channel: channels.reports,
      source: {
        readView: () => source.readView(),
        listVersionOutcomes: () => source.listVersionOutcomes(),
        isSameOrder: (...order) => source.isSameOrder(...order),
        listLoads: () =>
          loads.listOwned().map(({ replicaKey, load: { pendingMs } }) => (
            { replicaKey, pendingMs }
          )),
        listRunning: () =>
          loads.listOwned().map(({ replicaKey, load: { running } }) => (
            { replicaKey, count: running }
          )),
      },
      listener,
      onReport: (what) => telemetry.countEvent(`peers.${what}`),
    });
    for (const peer of this.#peers.values()) this.#reporter.table.put(peer);
    this.#announceLoop = this.#announce({
      name: settings.vmName,
      host: settings.ip,
      port: channel.port,
    });
    return channel.port;
  }

  /** Adds or updates an announced peer. */
  put(peer: ports.PeerEntry): void {
    const previous = this.#peers.get(peer.name);
    this.#peers.set(peer.name, peer);
    this.#reporter?.table.put(peer);
    this.owners.put(peer);
    if (previous?.host === peer.host && previous.port === peer.port) return;
    this.#options.log.addNotable("peer.known", {
      ...peer,
      processes: this.size,
    });
    this.#options.onSizeChange(this.size);
  }

  remove(name: string): void {
    const { settings, log, onSizeChange } = this.#options;
    this.#peers.delete(name);
    this.#reporter?.table.remove(name);
    this.owners.remove(name);
    log.addNotable("peer.gone", { name, processes: this.size });
    onSizeChange(this.size);
    if (name !== settings.vmName) return;
    // The lease expired while this process is running: announce again at once.
    this.#lease = undefined;
    this.#sleepAbort?.abort();
  }

  /** Number of peers that recently reported the age of their view. */
  countConfirmingPeers(): number {
    const peers = this.#reporter?.countConfirmingPeers() ?? 0;
    const names = [this.#options.settings.vmName, ...this.#peers.keys()];
    return Math.min(peers, decisions.chooseWatchers(names).length - 1);
  }

  /** The peers that watch the control plane for this process, the best first. */
  listRelays(): readonly peers.PeerEndpoint[] {
    const { vmName } = this.#options.settings;
    return decisions.rankRelays(vmName, [vmName, ...this.#peers.keys()])
      .flatMap((name) => this.#peers.get(name) ?? []);
  }

  /** Whether a host is that of an announced process. */
  isPeerHost(host: string): boolean {
    return this.owners.list().some((peer) => peer.host === host);
  }

  /** Tells the replica's owner that this process's load there has changed. */
  recordLoadChange(replicaKey: number, change: peers.LoadChange): void {
    this.#loads?.recordChange(replicaKey, change);
  }

  /** Asks the owners of some replicas for their load; resolves soon with the answered ones. */
  async queryLoads(
    replicaKeys: readonly number[],
  ): Promise<readonly number[]> {
    return await this.#loads?.query(replicaKeys) ?? replicaKeys;
  }

  /** Asks for the load of a replica without waiting, at most once in `intervalMs`. */
  keepLoadFresh(replicaKey: number, intervalMs: number): void {
    this.#loads?.keepFresh(replicaKey, intervalMs);
  }

  /**
   * Load that peers have in flight at a replica: as its owner answered, or else
   * from the owner's last report, which includes what this process has there.
   */
  readLoad(replicaKey: number): decisions.ReplicaLoadState {
    const answered = this.#loads?.readOthers(replicaKey);
    if (answered !== undefined) return answered;
    const reported = this.#reporter?.readLoad(replicaKey) ?? peers.NO_LOAD;
    const own = this.#options.source.readOwnLoad(replicaKey);
    return {
      // Reports to all leave the other fields out.
      ...decisions.NO_LOAD_STATE,
      running: Math.max(0, reported.running - own.running),
      pendingMs: Math.max(0, reported.pendingMs - own.pendingMs),
      evidence: this.#loads?.readEvidence(replicaKey) ?? decisions.NO_EVIDENCE,
    };
  }

  /** Rate that a replica takes from all processes together, in requests per second. */
  readRate(replicaKey: number): number | undefined {
    return this.#rates.readRate(replicaKey);
  }

  /** Keys of the replicas that take requests at a rate. */
  listRated(): Iterable<number> {
    return this.#rates.listRated();
  }

  /** Time until a request to a replica with a rate may be asked for. */
  findRateWaitMs(
    replicaKey: number,
    reserved: peers.ReservedRequests,
  ): number {
    return this.#rates.findWaitMs(replicaKey, reserved);
  }

  /** Records what an answer says of its replica's rate; returns whether it has changed. */
  recordRate(
    replicaKey: number,
    answer: { readonly rate: number | undefined; readonly sentAtMs: number },
  ): boolean {
    return this.#rates.recordAnswer(replicaKey, answer);
  }

  /** Forgets the rate of a replica that has started again. */
  resetRate(replicaKey: number): void {
    this.#rates.reset(replicaKey);
  }

  /** Records that a replica is cold for a time. */
  recordCold(replicaKey: number, remainingMs: number): void {
    this.#rates.recordCold(replicaKey, remainingMs);
  }

  isCold(replicaKey: number): boolean {
    return this.#rates.isCold(replicaKey);
  }

  countCold(): number {
    return this.#rates.countCold();
  }

  /** Asks the owner of a replica for one request at its rate. */
  async takeRequest(
    replicaKey: number,
    reserved: peers.ReservedRequests,
    isPreferred: boolean,
  ): Promise<boolean> {
    const isCold = this.isCold(replicaKey);
    const isGranted = await this.#rates.take(replicaKey, reserved, isPreferred);
    if (isCold) {
      const event = isGranted ? "cold.granted" : "cold.refused";
      this.#options.telemetry.countEvent(event);
    }
    return isGranted;
  }

  /** Tells peers of suspected parts of prompts. */
  recordSuspicion(): void {
    this.#prompts?.recordChange();
  }

  /** Tells peers which version a session runs on. */
  shareSession(item: peers.SessionVersion): void {
    this.#reporter?.shareSession(item);
  }

  /**
   * Announces this process anew after the control plane was restored: soon if its
   * announcement is missing, later if it is there, but under an earlier lease.
   */
  announceAgain(items: readonly ports.ControlItem[]): void {
    const { settings, random } = this.#options;
    const isListed = items.some((item) =>
      item.type === "peer" && item.peer.name === settings.vmName
    );
    this.#announceDelayMs = random() *
      (isListed
        ? RELEASE_SPREAD_MS
        : this.size * REANNOUNCE_SPREAD_PER_PROCESS_MS);
    this.#sleepAbort?.abort();
  }

  /** Withdraws the announcement; reports are still exchanged. */
  withdrawAnnouncement(): Promise<void> {
    this.#withdrawal ??= this.#withdraw();
    return this.#withdrawal;
  }

  /** Withdraws the announcement and stops exchanging reports. */
  async close(): Promise<void> {
    if (this.#isClosed) return;
    this.#isClosed = true;
    await Promise.race([
      this.withdrawAnnouncement(),
      kernel.sleep(MAX_WITHDRAWAL_WAIT_MS),
    ]);
    this.#loads?.close();
    this.#rates.close();
    this.#prompts?.close();
    this.#reporter?.close();
  }

  async #withdraw(): Promise<void> {
    this.#abort.abort();
    this.#sleepAbort?.abort();
    await this.#announceLoop;
    const lease = this.#lease;
    if (lease === undefined) return;
    const withdrawn = await this.#options.controlPlane.withdrawPeer(lease.id);
    if (withdrawn.isErr()) {
      const { message } = withdrawn.error;
      this.#options.log.addNotable("peers.not-withdrawn", {
        reason: message,
      });
    }
  }

  async #announce(self: ports.PeerEntry): Promise<void> {
    const { controlPlane, log, random } = this.#options;
    await this.#sleep(random() * START_JITTER_MS);
    let retryMs = FIRST_RETRY_MS;
    while (!this.#abort.signal.aborted) {
      const lease = await this.#renewOrAnnounce(self, controlPlane);
      if (lease.isOk()) {
        retryMs = FIRST_RETRY_MS;
        // Unless the control plane was restored during the call.
        if (this.#announceDelayMs === 0) {
          await this.#sleep(lease.value.ttlMs * RENEW_SHARE);
        }
        const delayMs = this.#announceDelayMs;
        this.#announceDelayMs = 0;
        if (delayMs > 0) await this.#sleep(delayMs);
        continue;
      }
      log.addNotable("peers.not-announced", { reason: lease.error.message });
      await this.#sleep(retryMs * (0.5 + random()));
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
  }

  /** Renews the lease, or announces this process again if it has expired. */
  async #renewOrAnnounce(
    self: ports.PeerEntry,
    controlPlane: ports.ControlPlane,
  ): Promise<kernel.Outcome<ports.PeerLease>> {
    const current = this.#lease;
    if (current !== undefined) {
      const renewed = await controlPlane.renewPeer(current.id);
      if (renewed.isErr()) return neverthrow.err(renewed.error);
      if (renewed.value) return neverthrow.ok(current);
    }
    const announced = await controlPlane.announcePeer(self);
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
    this.#sleepAbort = new AbortController();
    await kernel.sleep(durationMs, this.#sleepAbort.signal);
  }
}
