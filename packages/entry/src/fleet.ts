/**
 * The upstream processes as this entry sees them: who is there, what they
 * serve, how loaded they are; and the attempts under way at each.
 */
import type * as config from "@jackdawbank/config";
import * as decisions from "@jackdawbank/decisions";
import * as kernel from "@jackdawbank/kernel";
import * as mesh from "@jackdawbank/mesh";
import type * as platform from "@jackdawbank/platform";
import * as attempts from "./attempt.ts";

const PING_INTERVAL_MS = 500;
const LIST_INTERVAL_MS = 1_000;
/** An upstream process that has not answered for so long gets no work. */
const MAX_SILENCE_MS = 2_500;
const LOCAL_DELAY_MS = 0.5;
const REMOTE_DELAY_MS = 2;
const MAX_OPEN_PINGS = 16;

/** Settings of the fleet. */
export interface FleetOptions {
  readonly holder: config.BundleHolder;
  readonly vmList: platform.VmList;
  readonly identity: mesh.MeshIdentity;
  readonly random: () => number;
  /** Versions that this entry's guard has stopped. */
  readonly listStopped: () => readonly string[];
  /** Called with what another process reports as stopped. */
  readonly onStopped: (names: readonly string[]) => void;
}

/** What is known of one connected upstream process. */
interface Member {
  readonly connection: mesh.MeshConnection;
  readonly pings: Map<
    number,
    { readonly sentAtMs: number; readonly sentWork: number }
  >;
  status: mesh.UpstreamStatus | undefined;
  heardAtMs: number;
  delayMs: number;
  /** Attempts sent, and ended, since the connection opened. */
  sentWork: number;
  endedWork: number;
  /** Value of the counters that the last report contains. */
  reportedSent: number;
  reportedEnded: number;
}

/** Pools by what they serve, with the members in the same order as their replicas. */
interface Pool {
  readonly members: readonly Member[];
  readonly ring: decisions.HashRing;
}

/** Work to be sent. */
export type WorkRequest = Omit<
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
  readonly #addressOf = new WeakMap<mesh.MeshConnection, string>();
  readonly #pinWaits = new Map<number, (pin: mesh.FrameOf<"pinned">) => void>();
  readonly #abort = new AbortController();
  readonly #timer: NodeJS.Timeout;
  readonly #teardown: kernel.Teardown;
  #pools = new Map<string, Pool>();
  #marked: ReadonlySet<string> = new Set();
  #vms: readonly platform.Vm[] = [];
  #nonce = 0;
  #attemptCount = 0;

  constructor(services: kernel.KernelServices, options: FleetOptions) {
    this.#services = services;
    this.#options = options;
    this.#timer = setInterval(() => this.#pingAll(), PING_INTERVAL_MS);
    this.#teardown = options.holder.listen(() => this.#passBundleOn());
    void this.#listLoop();
  }

  /** Connected upstream processes. */
  get memberCount(): number {
    return this.#members.size;
  }

  get attemptsInFlight(): number {
    return this.#attempts.size;
  }

  get vms(): readonly platform.Vm[] {
    return this.#vms;
  }

  /** What can be served now, with the number of usable upstream processes. */
  listServed(): Readonly<Record<string, number>> {
    const nowMs = this.#services.clock.monotonicMs();
    return Object.fromEntries(
      [...this.#pools].map(([name, pool]) => [
        name,
        pool.members.filter((member) => this.#isUsable(member, nowMs)).length,
      ]),
    );
  }

  /** Picks a replica for what is to be served. */
  pick(
    name: string,
    options: {
      readonly affinityKey: string | undefined;
      readonly excluded: ReadonlySet<string>;
    },
  ): decisions.Replica | undefined {
    const pool = this.#buildPool(name, options.excluded);
    if (pool === undefined) return undefined;
    return decisions.pickReplica(pool, {
      affinityKey: options.affinityKey,
      random: this.#options.random,
    });
  }

  /** The home of a key among the usable replicas of a service. */
  pickHome(
    name: string,
    key: string,
    excluded: ReadonlySet<string>,
  ): decisions.Replica | undefined {
    const pool = this.#buildPool(name, excluded);
    const usable = pool?.replicas.filter((replica) => replica.isUsable) ?? [];
    const home =
      decisions.rankByRendezvous(usable.map((replica) => replica.id), key)[0];
    return usable.find((replica) => replica.id === home);
  }

  /** Sends work to a replica. */
  startAttempt(
    processId: string,
    work: WorkRequest,
    onEnd: () => void,
  ): attempts.Attempt | undefined {
    const member = this.#findMember(processId);
    if (member === undefined) return undefined;
    this.#attemptCount += 1;
    const attemptId = `${this.#services.incarnation}.${this.#attemptCount}`;
    const attempt = new attempts.Attempt(attemptId, member.connection, () => {
      this.#attempts.delete(attemptId);
      member.endedWork += 1;
      onEnd();
    });
    const revision = this.#options.holder.revision;
    // Recorded first, so that the receiver's events come after it.
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
    member.sentWork += 1;
    this.#attempts.set(attemptId, attempt);
    return attempt;
  }

  /** Asks a session's homes for its pin; the oldest answer counts. */
  async askPins(
    pin: { readonly sessionId: string; readonly birthRevision: number },
    options: {
      readonly excluded: readonly string[];
      readonly homes: number;
      readonly timeoutMs: number;
    },
  ): Promise<readonly mesh.FrameOf<"pinned">[]> {
    const members = [...this.#members.values()].filter((member) =>
      member.connection.isOpen
    );
    const ranked = decisions.rankByRendezvous(
      members.map((member) => member.connection.peer.processId),
      pin.sessionId,
    ).slice(0, options.homes);
    const asked = ranked.map((processId) => {
      const member = this.#findMember(processId) as Member;
      return this.#askPin(member, pin, options);
    });
    const answers = await Promise.all(asked);
    return answers.filter((answer) => answer !== undefined);
  }

  /** Tells all upstream processes; those that did not serve a bill ignore it. */
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

  #askPin(
    member: Member,
    pin: { readonly sessionId: string; readonly birthRevision: number },
    options: {
      readonly excluded: readonly string[];
      readonly timeoutMs: number;
    },
  ): Promise<mesh.FrameOf<"pinned"> | undefined> {
    this.#nonce += 1;
    const nonce = this.#nonce;
    return new Promise((resolve) => {
      const timer = setTimeout(() => finish(undefined), options.timeoutMs);
      const finish = (answer: mesh.FrameOf<"pinned"> | undefined) => {
        clearTimeout(timer);
        this.#pinWaits.delete(nonce);
        resolve(answer);
      };
      this.#pinWaits.set(nonce, finish);
      const { excluded } = options;
      member.connection.send({
        type: "pin",
        nonce,
        ...pin,
        excluded: [...excluded],
      });
    });
  }

  async #listLoop(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      const read = await this.#options.vmList.read();
      if (read.isOk()) this.#takeList(read.value);
      else this.#services.metrics.increment("vm-list.failed");
      await kernel.sleep(LIST_INTERVAL_MS, this.#abort.signal);
    }
  }

  #takeList(vms: readonly platform.Vm[]): void {
    if (this.#abort.signal.aborted) return;
    this.#vms = vms;
    const wanted = new Map(
      vms.flatMap((vm) =>
        vm.role === "upstream" && vm.meshAddress !== undefined
          ? [[vm.meshAddress, vm] as const]
          : []
      ),
    );
    for (const address of wanted.keys()) {
      if (this.#dialers.has(address)) continue;
      this.#dialers.set(address, this.#createDialer(address));
    }
    for (const [address, dialer] of this.#dialers) {
      if (wanted.has(address)) continue;
      this.#dropDialer(address, dialer);
    }
    this.#takeMarks(
      new Set(
        vms.filter((vm) => vm.state === "leaving").map((vm) => vm.id),
      ),
    );
  }

  /** A VM that the list no longer names is kept while it answers work of ours. */
  #dropDialer(address: string, dialer: mesh.MeshDialer): void {
    const member = [...this.#members.values()].find((other) =>
      this.#addressOf.get(other.connection) === address
    );
    const isBusy = member !== undefined &&
      [...this.#attempts.values()].some((attempt) =>
        attempt.connection === member.connection
      );
    if (isBusy) return;
    dialer.close();
    this.#dialers.delete(address);
  }

  #takeMarks(marked: ReadonlySet<string>): void {
    for (const member of this.#members.values()) {
      const { processId } = member.connection.peer;
      if (!marked.has(processId) || this.#marked.has(processId)) continue;
      this.#services.timeline.record("fleet.marked-leaving", {
        target: processId,
      });
      member.connection.send({ type: "marked" });
    }
    this.#marked = marked;
  }

  #createDialer(address: string): mesh.MeshDialer {
    return new mesh.MeshDialer(address, this.#options.identity, {
      log: this.#services.log,
      timeline: this.#services.timeline,
      random: this.#options.random,
      listener: {
        onOpen: (connection) => {
          this.#addressOf.set(connection, address);
          this.#openMember(connection);
        },
        onFrame: (connection, frame) => this.#takeFrame(connection, frame),
        onClose: (connection) => this.#closeMember(connection),
      },
    });
  }

  #openMember(connection: mesh.MeshConnection): void {
    const member: Member = {
      connection,
      pings: new Map(),
      status: undefined,
      heardAtMs: Number.NEGATIVE_INFINITY,
      delayMs: connection.peer.dataCentre === this.#options.identity.dataCentre
        ? LOCAL_DELAY_MS
        : REMOTE_DELAY_MS,
      sentWork: 0,
      endedWork: 0,
      reportedSent: 0,
      reportedEnded: 0,
    };
    this.#members.set(connection, member);
    this.#services.timeline.record("mesh.opened", {
      target: connection.peer.processId,
    });
    if (this.#marked.has(connection.peer.processId)) {
      connection.send({ type: "marked" });
    }
    this.#ping(member);
  }

  #closeMember(connection: mesh.MeshConnection): void {
    this.#members.delete(connection);
    this.#services.timeline.record("mesh.closed", {
      target: connection.peer.processId,
    });
    this.#rebuildPools();
    for (const attempt of [...this.#attempts.values()]) {
      if (attempt.connection === connection) attempt.lose();
    }
  }

  #takeFrame(connection: mesh.MeshConnection, frame: mesh.Frame): void {
    const member = this.#members.get(connection);
    if (member === undefined) return;
    if ("attemptId" in frame) {
      this.#takeAttemptFrame(connection, frame);
      return;
    }
    switch (frame.type) {
      case "ping":
        this.#takeView(member, frame.view);
        connection.send({
          type: "pong",
          nonce: frame.nonce,
          view: this.#buildView(),
        });
        return;
      case "pong":
        return this.#takePong(member, frame);
      case "notice":
        return this.#takeView(member, frame.view);
      case "bundle":
        this.#options.holder.offer(frame.signed, "peer");
        return;
      case "pull":
        return this.#sendBundle(connection);
      case "pinned":
        this.#pinWaits.get(frame.nonce)?.(frame);
        return;
      default:
        return;
    }
  }

  #takeAttemptFrame(
    connection: mesh.MeshConnection,
    frame: Extract<mesh.Frame, { attemptId: string }>,
  ): void {
    const attempt = this.#attempts.get(frame.attemptId);
    if (attempt === undefined || attempt.connection !== connection) {
      this.#services.metrics.increment("mesh.late-frame");
      return;
    }
    attempt.take(frame);
  }

  #takePong(member: Member, pong: mesh.FrameOf<"pong">): void {
    const ping = member.pings.get(pong.nonce);
    if (ping === undefined) return;
    member.pings.delete(pong.nonce);
    const nowMs = this.#services.clock.monotonicMs();
    member.heardAtMs = Math.max(member.heardAtMs, ping.sentAtMs);
    member.reportedSent = ping.sentWork;
    member.reportedEnded = member.endedWork;
    this.#takeView(member, pong.view);
    const { confirmedAgeMs, revision } = pong.view;
    if (confirmedAgeMs < 0) return;
    this.#options.holder.confirm(
      revision,
      confirmedAgeMs + nowMs - ping.sentAtMs,
    );
  }

  #takeView(member: Member, view: mesh.PeerView): void {
    this.#services.timeline.observe(view.time);
    this.#options.onStopped(view.stopped ?? []);
    const ours = this.#options.holder.revision;
    if (view.revision > ours) {
      member.connection.send({ type: "pull", heldRevision: ours });
    }
    if (view.revision < ours) this.#sendBundle(member.connection);
    const previous = member.status;
    member.status = view.status;
    const isChanged = previous?.serves.join() !== view.status?.serves.join() ||
      previous?.capacity !== view.status?.capacity;
    if (isChanged) this.#rebuildPools();
  }

  #buildView(): mesh.PeerView {
    const { holder } = this.#options;
    return {
      revision: holder.revision,
      confirmedAgeMs: holder.confirmedAgeMs,
      time: this.#services.timeline.tick(),
      stopped: [...this.#options.listStopped()],
    };
  }

  #pingAll(): void {
    for (const member of this.#members.values()) this.#ping(member);
  }

  #ping(member: Member): void {
    this.#nonce += 1;
    const sentAtMs = this.#services.clock.monotonicMs();
    member.pings.set(this.#nonce, { sentAtMs, sentWork: member.sentWork });
    const [oldest] = member.pings.keys();
    if (member.pings.size > MAX_OPEN_PINGS && oldest !== undefined) {
      member.pings.delete(oldest);
    }
    member.connection.send({
      type: "ping",
      nonce: this.#nonce,
      view: this.#buildView(),
    });
  }

  #passBundleOn(): void {
    for (const member of this.#members.values()) {
      this.#sendBundle(member.connection);
    }
  }

  #sendBundle(connection: mesh.MeshConnection): void {
    const held = this.#options.holder.held;
    if (held !== undefined) {
      connection.send({ type: "bundle", signed: held.verified.signed });
    }
  }

  #rebuildPools(): void {
    const byName = new Map<string, Member[]>();
    for (const member of this.#members.values()) {
      for (const name of member.status?.serves ?? []) {
        const key = member.status?.type === "service"
          ? `service:${name}`
          : name;
        byName.set(key, [...byName.get(key) ?? [], member]);
      }
    }
    this.#pools = new Map(
      [...byName].map(([name, members]) => [name, {
        members,
        ring: decisions.buildRing(
          members.map((member) => member.connection.peer.processId),
        ),
      }]),
    );
  }

  #buildPool(
    name: string,
    excluded: ReadonlySet<string>,
  ): decisions.ReplicaPool | undefined {
    const pool = this.#pools.get(name);
    if (pool === undefined) return undefined;
    const nowMs = this.#services.clock.monotonicMs();
    const replicas = pool.members.map((member) =>
      this.#toReplica(member, { nowMs, excluded })
    );
    const usable = replicas.filter((replica) => replica.isUsable);
    const load = usable.reduce(
      (sum, replica) => sum + decisions.predictLoad(replica),
      0,
    );
    return {
      replicas,
      ring: pool.ring,
      meanLoad: load / Math.max(1, usable.length),
    };
  }

  #toReplica(
    member: Member,
    view: { readonly nowMs: number; readonly excluded: ReadonlySet<string> },
  ): decisions.Replica {
    const { status } = member;
    const id = member.connection.peer.processId;
    const sent = member.sentWork - member.reportedSent;
    const ended = member.endedWork - member.reportedEnded;
    return {
      id,
      capacity: status?.capacity ?? 0,
      reportedLoad: (status?.running ?? 0) + (status?.queued ?? 0),
      sentSinceReport: sent - ended,
      delayMs: member.delayMs,
      serviceMs: status?.serviceMs ?? 0,
      isUsable: this.#isUsable(member, view.nowMs) && !view.excluded.has(id),
    };
  }

  #isUsable(member: Member, nowMs: number): boolean {
    const { status } = member;
    return status !== undefined && !status.isLeaving && status.capacity > 0 &&
      nowMs - member.heardAtMs <= MAX_SILENCE_MS &&
      !this.#marked.has(member.connection.peer.processId);
  }

  #findMember(processId: string): Member | undefined {
    return [...this.#members.values()].find((member) =>
      member.connection.peer.processId === processId && member.connection.isOpen
    );
  }
}
