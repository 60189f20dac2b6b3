/**
 * The upstream processes that this entry is connected to, with what they serve
 * and their load, and the attempts in flight at each.
 */
import * as config from "@jackdawbank/config";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as mesh from "@jackdawbank/mesh";
import type * as stores from "@jackdawbank/store";
import * as attempts from "./attempt.ts";
import * as pinLookups from "./pin_lookup.ts";

const PING_INTERVAL_MS = 500;
const VM_LIST_INTERVAL_MS = 1_000;
/** An upstream process that has answered no ping for this long gets no work. */
const MAX_SILENCE_MS = 2_500;
/** Assumed one-way network delay to a process in the same data centre, and in another. */
const LOCAL_DELAY_MS = 0.5;
const REMOTE_DELAY_MS = 2;
const MAX_OPEN_PINGS = 16;

export interface FleetOptions {
  readonly holder: config.BundleHolder;
  readonly vmList: stores.VmListClient;
  readonly identity: mesh.MeshIdentity;
  readonly random: () => number;
  /** Stopped roll-outs known to this entry, sent with every view. */
  readonly listStops: () => readonly string[];
  /** Called with the stopped roll-outs that another process reports. */
  readonly onStopsReceived: (names: readonly string[]) => void;
}

/** One connected upstream process. */
interface Member {
  readonly connection: mesh.MeshConnection;
  readonly address: string;
  /** Unanswered pings by nonce. */
  readonly pings: Map<number, decisions.ReplicaPing>;
}

/** A work frame without the fields that the fleet sets. */
export type WorkFrameContent = Omit<
  mesh.FrameOf<"work">,
  "type" | "attemptId" | "revision"
>;

/** Task that owns the connections to upstream processes. */
export class Fleet {
  readonly #services: kernel.KernelServices;
  readonly #options: FleetOptions;
  readonly #dialers = new Map<string, mesh.MeshDialer>();
  readonly #members = new Map<mesh.MeshConnection, Member>();
  readonly #attempts = new Map<string, attempts.Attempt>();
  /** The newest connection of each process; the replica table reflects only these. */
  readonly #currentMembers = new Map<string, Member>();
  readonly #table = new decisions.ReplicaTable({
    maxSilenceMs: MAX_SILENCE_MS,
  });
  readonly #pinLookup = new pinLookups.PinLookup();
  readonly #distributor: config.BundleDistributor;
  readonly #abort = new AbortController();
  readonly #timer: NodeJS.Timeout;
  readonly #teardown: kernel.Teardown;
  /** Ids of the processes that the VM list marks as leaving. */
  #marked: ReadonlySet<string> = new Set();
  #vms: readonly stores.Vm[] = [];
  #nonce = 0;
  #attemptCount = 0;

  constructor(services: kernel.KernelServices, options: FleetOptions) {
    this.#services = services;
    this.#options = options;
    this.#distributor = new config.BundleDistributor(options.holder);
    this.#timer = setInterval(() => this.#pingAll(), PING_INTERVAL_MS);
    this.#teardown = options.holder.listen(() =>
      this.#distributor.sendToAll(this.#members.keys())
    );
    void this.#pollVmList();
  }

  /** Number of open connections to upstream processes. */
  get memberCount(): number {
    return this.#members.size;
  }

  get attemptsInFlight(): number {
    return this.#attempts.size;
  }

  /** Sums the bytes sent and received over all open connections. */
  countBytes(): { readonly sentBytes: number; readonly receivedBytes: number } {
    return mesh.sumBytes(this.#members.keys());
  }

  get vms(): readonly stores.Vm[] {
    return this.#vms;
  }

  /** Counts the usable upstream processes by model version or service. */
  countUsableByName(): Readonly<Record<string, number>> {
    return this.#table.countUsable(this.#services.clock.monotonicMs());
  }

  /** Picks a replica that serves a model version or service. */
  pickReplica(
    name: string,
    options: {
      readonly affinityKey: string | undefined;
      readonly excluded: ReadonlySet<string>;
    },
  ): decisions.Replica | undefined {
    const nowMs = this.#services.clock.monotonicMs();
    const { random } = this.#options;
    return this.#table.pick(name, { ...options, nowMs, random });
  }

  /** Picks the replica that a key is assigned to among the usable ones of a service. */
  pickReplicaByKey(
    name: string,
    key: string,
    excluded: ReadonlySet<string>,
  ): decisions.Replica | undefined {
    const options = { nowMs: this.#services.clock.monotonicMs(), excluded };
    return this.#table.pickByRendezvous(name, key, options);
  }

  /** Sends work to a replica; `undefined` if its connection is closed. */
  startAttempt(
    processId: string,
    work: WorkFrameContent,
    onEnd: () => void,
  ): attempts.Attempt | undefined {
    const member = this.#currentMembers.get(processId);
    if (member === undefined) return undefined;
    this.#attemptCount += 1;
    const attemptId = `${this.#services.incarnation}.${this.#attemptCount}`;
    const { revision } = this.#options.holder;
    const forget = () => {
      this.#attempts.delete(attemptId);
      onEnd();
    };
    const call = { attemptId, isTwoPhase: work.isTwoPhase };
    const attempt = new attempts.Attempt(call, member.connection, forget);
    // Recorded before sending, so that the receiver's events are ordered after it.
    this.#services.timeline.record("attempt.sent", {
      requestId: work.requestId,
      attemptId,
      target: processId,
      revision,
    });
    if (
      !member.connection.send({ type: "work", attemptId, revision, ...work })
    ) {
      return undefined;
    }
    this.#table.recordSent(processId);
    this.#attempts.set(attemptId, attempt);
    return attempt;
  }

  /** Requests a session's pin from the processes that its id is assigned to. */
  requestPins(
    proposal: pinLookups.PinProposal,
    options: { readonly copies: number; readonly timeoutMs: number },
  ): Promise<readonly mesh.FrameOf<"pinned">[]> {
    const ids = [...this.#currentMembers.keys()];
    const processIds = decisions.rankByRendezvous(ids, proposal.sessionId)
      .slice(0, options.copies);
    const connections = processIds.map((processId) =>
      (this.#currentMembers.get(processId) as Member).connection
    );
    return this.#pinLookup.lookUp(connections, proposal, options.timeoutMs);
  }

  /** Sends a frame to all upstream processes; those that it does not concern ignore it. */
  broadcast(frame: mesh.Frame): void {
    for (const member of this.#members.values()) member.connection.send(frame);
  }

  async close(): Promise<void> {
    this.#abort.abort();
    clearInterval(this.#timer);
    await this.#teardown();
    for (const dialer of this.#dialers.values()) dialer.close();
    await this.#options.vmList.close();
  }

  async #pollVmList(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      const read = await this.#options.vmList.read();
      if (read.isOk()) this.#applyVmList(read.value);
      else this.#services.metrics.increment("vm-list.failed");
      await kernel.sleep(VM_LIST_INTERVAL_MS, this.#abort.signal);
    }
  }

  #applyVmList(vms: readonly stores.Vm[]): void {
    if (this.#abort.signal.aborted) return;
    this.#vms = vms;
    const listedAddresses = new Map(
      vms.flatMap((vm) =>
        vm.role === "upstream" && vm.meshAddress !== undefined
          ? [[vm.meshAddress, vm] as const]
          : []
      ),
    );
    for (const address of listedAddresses.keys()) {
      if (this.#dialers.has(address)) continue;
      this.#dialers.set(address, this.#createDialer(address));
    }
    for (const [address, dialer] of this.#dialers) {
      if (listedAddresses.has(address)) continue;
      this.#closeIdleDialer(address, dialer);
    }
    this.#applyMarks(
      new Set(vms.filter((vm) => vm.state === "leaving").map((vm) => vm.id)),
    );
  }

  /** Closes the connection to a VM that left the list, unless attempts are in flight there. */
  #closeIdleDialer(address: string, dialer: mesh.MeshDialer): void {
    const isBusy = [...this.#attempts.values()].some((attempt) =>
      this.#members.get(attempt.connection)?.address === address
    );
    if (isBusy) return;
    dialer.close();
    this.#dialers.delete(address);
  }

  #applyMarks(marked: ReadonlySet<string>): void {
    for (const member of this.#members.values()) {
      const { processId } = member.connection.peer;
      if (!marked.has(processId) || this.#marked.has(processId)) continue;
      this.#services.timeline.record("fleet.marked-leaving", {
        target: processId,
      });
      member.connection.send({ type: "marked" });
    }
    this.#marked = marked;
    this.#table.setLeaving(marked);
  }

  #createDialer(address: string): mesh.MeshDialer {
    return new mesh.MeshDialer(address, this.#options.identity, {
      log: this.#services.log,
      timeline: this.#services.timeline,
      random: this.#options.random,
      listener: {
        onOpen: (connection) => {
          this.#addMember(connection, address);
        },
        onFrame: (connection, frame) => this.#handleFrame(connection, frame),
        onClose: (connection) => this.#removeMember(connection),
      },
    });
  }

  #addMember(connection: mesh.MeshConnection, address: string): void {
    const { processId, dataCentre } = connection.peer;
    const member: Member = { connection, address, pings: new Map() };
    this.#members.set(connection, member);
    this.#currentMembers.set(processId, member);
    const isLocal = dataCentre === this.#options.identity.dataCentre;
    this.#table.add(processId, isLocal ? LOCAL_DELAY_MS : REMOTE_DELAY_MS);
    this.#table.setLeaving(this.#marked);
    this.#services.timeline.record("mesh.opened", { target: processId });
    if (this.#marked.has(processId)) connection.send({ type: "marked" });
    this.#ping(member);
  }

  #removeMember(connection: mesh.MeshConnection): void {
    const member = this.#members.get(connection);
    const { processId } = connection.peer;
    this.#members.delete(connection);
    this.#services.timeline.record("mesh.closed", { target: processId });
    if (this.#currentMembers.get(processId) === member) {
      this.#currentMembers.delete(processId);
      this.#table.remove(processId);
    }
    for (const attempt of [...this.#attempts.values()]) {
      if (attempt.connection === connection) attempt.handleConnectionLoss();
    }
  }

  #handleFrame(connection: mesh.MeshConnection, frame: mesh.Frame): void {
    const member = this.#members.get(connection);
    if (member === undefined) return;
    if ("attemptId" in frame) {
      this.#handleAttemptFrame(connection, frame);
      return;
    }
    switch (frame.type) {
      case "ping":
        this.#applyView(member, frame.view);
        connection.send({
          type: "pong",
          nonce: frame.nonce,
          view: this.#buildView(),
        });
        return;
      case "pong":
        return this.#handlePong(member, frame);
      case "notice":
        return this.#applyView(member, frame.view);
      case "bundle":
        this.#distributor.receive(connection, frame);
        return;
      case "pull":
        return this.#distributor.handlePull(connection, frame.heldRevision);
      case "pinned":
        return this.#pinLookup.handleReply(frame);
      default:
        return;
    }
  }

  #handleAttemptFrame(
    connection: mesh.MeshConnection,
    frame: Extract<mesh.Frame, { attemptId: string }>,
  ): void {
    const attempt = this.#attempts.get(frame.attemptId);
    if (attempt?.connection !== connection) {
      this.#services.metrics.increment("mesh.late-frame");
      return;
    }
    attempt.handleFrame(frame);
  }

  #handlePong(member: Member, pong: mesh.FrameOf<"pong">): void {
    const ping = member.pings.get(pong.nonce);
    if (ping === undefined) return;
    member.pings.delete(pong.nonce);
    if (this.#isCurrent(member)) {
      this.#table.recordPong(member.connection.peer.processId, ping);
    }
    this.#applyView(member, pong.view);
    const { confirmedAgeMs, revision } = pong.view;
    if (confirmedAgeMs < 0) return;
    const elapsedMs = this.#services.clock.monotonicMs() - ping.sentAtMs;
    this.#options.holder.confirm(revision, confirmedAgeMs + elapsedMs);
  }

  #applyView(member: Member, view: mesh.PeerView): void {
    this.#services.timeline.observe(view.time);
    this.#options.onStopsReceived(view.stopped ?? []);
    this.#distributor.reconcile(member.connection, view.revision);
    if (view.status === undefined || !this.#isCurrent(member)) return;
    this.#table.recordReport(
      member.connection.peer.processId,
      buildReport(view.status),
    );
  }

  #isCurrent(member: Member): boolean {
    return this.#currentMembers.get(member.connection.peer.processId) ===
      member;
  }

  #buildView(): mesh.PeerView {
    const { holder } = this.#options;
    return {
      revision: holder.revision,
      confirmedAgeMs: holder.confirmedAgeMs,
      checkedAgeMs: holder.checkedAgeMs,
      time: this.#services.timeline.tick(),
      stopped: [...this.#options.listStops()],
    };
  }

  #pingAll(): void {
    for (const member of this.#members.values()) this.#ping(member);
  }

  #ping(member: Member): void {
    this.#nonce += 1;
    const { connection, pings } = member;
    const sentAtMs = this.#services.clock.monotonicMs();
    pings.set(
      this.#nonce,
      this.#table.createPing(connection.peer.processId, sentAtMs),
    );
    const [oldest] = pings.keys();
    if (pings.size > MAX_OPEN_PINGS && oldest !== undefined) {
      pings.delete(oldest);
    }
    connection.send({
      type: "ping",
      nonce: this.#nonce,
      view: this.#buildView(),
    });
  }
}

/** Prefixes service names, so that they cannot collide with model versions. */
function buildReport(status: mesh.UpstreamStatus): decisions.ReplicaReport {
  const serves = status.type === "service"
    ? status.serves.map((name) => `service:${name}`)
    : status.serves;
  return { ...status, serves };
}
