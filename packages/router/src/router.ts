/** Puts the parts of a router together, and ends them in order. */
import * as http from "node:http";
import * as kernel from "@jackdawbank/kernel";
import type * as peers from "@jackdawbank/peers";
import * as admissions from "./admission.ts";
import * as controls from "./control_task.ts";
import * as logs from "./decision_log.ts";
import * as dispatchers from "./dispatcher.ts";
import * as fleets from "./fleet.ts";
import * as fronts from "./front.ts";
import type * as ports from "./ports.ts";
import * as replicas from "./replica_table.ts";
import * as rollouts from "./rollout_task.ts";
import * as sessions from "./sessions.ts";
import * as telemetry from "./telemetry.ts";
import * as watchdogs from "./watchdog.ts";

/** A session's version is kept for so many of its longest pauses. */
const SESSION_GAPS = 3;
/** A process whose view is older tells the platform to send callers elsewhere. */
const READY_VIEW_SHARE = 0.7;
/**
 * After SIGTERM requests are taken for so long: the platform needs two misses, a
 * second apart, to notice; what is sent from 3 s on may not be cut at the end.
 */
const ACCEPT_AFTER_STOP_MS = 2_700;
/** Time before SIGKILL at which what is left is broken off. */
const EXIT_MARGIN_MS = 500;
const DRAIN_POLL_MS = 50;
const GAUGE_LIMIT_MS = 3_600_000;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
const HTTP_NOT_FOUND = 404;

/** What a router needs from the program that runs it. */
export interface RouterOptions {
  readonly settings: ports.RouterSettings;
  readonly controlPlane: ports.ControlPlane;
  readonly codec: ports.MessageCodec;
  readonly clock: kernel.Clock;
  readonly log: logs.DecisionLog;
  readonly random: () => number;
  /** Where the metrics are served; absent where nobody asks for them. */
  readonly metrics?: { readonly port: number; readonly path: string };
}

/** The ports that a router listens on. */
export interface RouterPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly metrics: number | undefined;
}

/** A router that runs. */
export class Router {
  readonly #options: RouterOptions;
  readonly #telemetry = new telemetry.Telemetry();
  readonly #table: replicas.ReplicaTable;
  readonly #control: controls.ControlTask;
  readonly #rollouts: rollouts.RolloutTask;
  readonly #fleet: fleets.Fleet;
  readonly #sessions: sessions.SessionTable;
  readonly #watchdog: watchdogs.Watchdog;
  readonly #front: fronts.Front;
  readonly #readiness: http.Server;
  readonly #metrics: telemetry.MetricsServer | undefined;
  #isStopping = false;
  #wasReady: boolean | undefined;

  constructor(options: RouterOptions) {
    this.#options = options;
    const { settings, controlPlane: plane, codec, clock, log, random } =
      options;
    this.#sessions = new sessions.SessionTable(
      settings.sessionGapMs * SESSION_GAPS,
    );
    this.#table = new replicas.ReplicaTable({
      dataCentre: settings.dataCentre,
      prefixReuseWindowMs: settings.prefixReuseWindowMs,
      random,
      onConnection: () => this.#telemetry.countEvent("connection.opened"),
      readPeerLoad: (key) => this.#fleet.readLoad(key),
    });
    this.#fleet = new fleets.Fleet({
      settings,
      clock,
      plane,
      log,
      telemetry: this.#telemetry,
      random,
      source: {
        listLoads: () => this.#table.listLoads(),
        listRunning: () => this.#table.listRunning(),
        readView: () => this.#control.view,
        listVersionOutcomes: () => this.#rollouts.listCounts(),
      },
      listener: {
        onSession: (item) => this.#takeSession(item),
        onView: (view) => this.#control.takePeerView(view),
        onVersionOutcomes: (count) => this.#rollouts.takeCount(count),
      },
      onSize: (processes) => this.#table.setProcesses(processes),
    });
    this.#control = new controls.ControlTask({
      clock,
      plane,
      log,
      telemetry: this.#telemetry,
      random,
      countConfirming: () => this.#fleet.countConfirming(),
      listener: {
        onReplica: (entry) => this.#table.put(entry),
        onReplicaGone: (id) => this.#table.remove(id),
        onTable: (index) => {
          this.#table.takeServices(index.serviceByName);
          this.#front.applyLimits();
        },
        onPeer: (peer) => this.#fleet.put(peer),
        onPeerGone: (name) => this.#fleet.remove(name),
      },
    });
    this.#rollouts = new rollouts.RolloutTask({
      clock,
      plane,
      control: this.#control,
      log,
      random,
      exposureShare: settings.exposureShare,
      countReplicas: (service, version) =>
        this.#table.countVersion(service, version),
      onOrder: (service) => this.#shareSessions(service),
    });
    this.#watchdog = new watchdogs.Watchdog(clock);
    this.#front = new fronts.Front({
      dispatcher: new dispatchers.Dispatcher({
        clock,
        codec,
        settings,
        control: this.#control,
        admission: new admissions.Admission(this.#control, settings),
        table: this.#table,
        rollouts: this.#rollouts,
        fleet: this.#fleet,
        sessions: this.#sessions,
        log,
        telemetry: this.#telemetry,
        random,
      }),
      watchdog: this.#watchdog,
      control: this.#control,
      codec,
      clock,
      log,
      telemetry: this.#telemetry,
    });
    this.#readiness = http.createServer((request, response) =>
      this.#answerReadiness(request, response)
    );
    this.#metrics = options.metrics &&
      new telemetry.MetricsServer(
        this.#telemetry,
        options.metrics.path,
        () => this.#refreshGauges(),
      );
  }

  /** Whether callers should be sent here. */
  get isReady(): boolean {
    if (this.#isStopping || !this.#control.hasRead) return false;
    if (this.#control.index === undefined || this.#table.size === 0) {
      return false;
    }
    const { revocationBoundMs } = this.#options.settings;
    return this.#control.ageMs <= revocationBoundMs * READY_VIEW_SHARE;
  }

  /** Starts listening; the result names the ports, which settings may leave open. */
  async start(): Promise<RouterPorts> {
    const { settings, metrics } = this.#options;
    this.#control.start();
    await this.#fleet.start();
    const callers = await this.#front.listen(settings.callers);
    const readiness = await telemetry.listen(
      this.#readiness,
      settings.readiness,
    );
    const bound = metrics === undefined ? undefined : await this.#metrics
      ?.listen({ host: settings.ip, port: metrics.port });
    this.#options.log.addNotable("process.started", {
      callers: `${settings.callers.host}:${callers}`,
      dataCentre: settings.dataCentre,
    });
    return { callers, readiness, metrics: bound };
  }

  /** Lets what runs finish, within the time before SIGKILL. */
  async stop(reason: string): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const { clock, log, settings } = this.#options;
    log.addNotable("process.stopping", {
      reason,
      inFlight: this.#front.inFlight,
    });
    const startedAtMs = clock.monotonicMs();
    const endAtMs = startedAtMs + settings.graceMs - EXIT_MARGIN_MS;
    this.#front.startClosing();
    void this.#fleet.leave();
    await kernel.sleep(Math.min(ACCEPT_AFTER_STOP_MS, settings.graceMs / 2));
    this.#front.stopAccepting();
    while (this.#front.inFlight > 0 && clock.monotonicMs() < endAtMs) {
      await kernel.sleep(DRAIN_POLL_MS);
    }
    log.addNotable("process.stopped", {
      tookMs: Math.round(clock.monotonicMs() - startedAtMs),
      brokenOff: this.#front.inFlight,
    });
    await this.close();
  }

  async close(): Promise<void> {
    this.#isStopping = true;
    this.#front.close();
    this.#readiness.close();
    this.#readiness.closeAllConnections();
    this.#metrics?.close();
    this.#rollouts.close();
    this.#watchdog.close();
    this.#table.close();
    await this.#fleet.close();
    await this.#control.close();
    this.#options.log.close();
  }

  /** Tells the others which sessions a new order finds on the old version. */
  #shareSessions(service: string): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const { session, version } of this.#sessions.list(service, nowMs)) {
      const fraction = admissions.hashForVersion(session);
      if (!this.#rollouts.mustShare(service, version, fraction)) continue;
      this.#fleet.tellSession({ service, session, version });
    }
  }

  /** Takes a session's version from another process; what was seen here counts more. */
  #takeSession({ service, session, version }: peers.SessionVersion): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (this.#sessions.find(service, session, nowMs) !== undefined) return;
    this.#sessions.note(service, session, version, nowMs);
  }

  #answerReadiness(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    if (request.url !== this.#options.codec.readinessPath) {
      response.writeHead(HTTP_NOT_FOUND).end();
      return;
    }
    const { isReady } = this;
    if (isReady !== this.#wasReady) {
      this.#wasReady = isReady;
      this.#options.log.addNotable("readiness.changed", {
        isReady,
        isStopping: this.#isStopping,
        viewAgeMs: Math.round(this.#control.ageMs),
        replicas: this.#table.size,
      });
    }
    response.writeHead(isReady ? HTTP_OK : HTTP_UNAVAILABLE).end();
  }

  #refreshGauges(): void {
    this.#telemetry.setGauge("requests_in_flight", this.#front.inFlight);
    this.#telemetry.setGauge("replicas", this.#table.size);
    this.#telemetry.setGauge(
      "view_age_ms",
      Math.min(GAUGE_LIMIT_MS, this.#control.ageMs),
    );
    this.#telemetry.setGauge(
      "table_revision",
      this.#control.index?.table.revision ?? 0,
    );
    this.#telemetry.setGauge(
      "log_dropped_lines",
      this.#options.log.droppedLines,
    );
  }
}

/** Starts a router on a kernel; the result stops it. */
export async function registerRouter(
  host: kernel.Kernel,
  options: RouterOptions,
): Promise<Router> {
  const router = new Router(options);
  await router.start();
  host.addTeardown(() => router.close());
  return router;
}
