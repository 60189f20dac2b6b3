/** Creates and connects the components of a router, and shuts them down in order. */
import type * as http from "node:http";
import * as kernel from "@jackdawbank/kernel";
import type * as peers from "@jackdawbank/peers";
import * as admissions from "./admission.ts";
import * as controls from "./control_task.ts";
import * as dispatchers from "./dispatcher.ts";
import * as explainEndpoints from "./explain_endpoint.ts";
import * as explanations from "./explanation.ts";
import * as fleets from "./fleet.ts";
import * as bodyRooms from "./body_rooms.ts";
import * as callerServers from "./caller_server.ts";
import * as gauges from "./router_gauges.ts";
import * as places from "./places.ts";
import * as colds from "./cold_replicas.ts";
import * as quarantines from "./crash_quarantine.ts";
import * as relays from "./relayed_control.ts";
import * as replicas from "./replica_table.ts";
import * as rollouts from "./rollout_task.ts";
import type * as routerOptions from "./router_options.ts";
import * as sessions from "./sessions.ts";
import * as sides from "./side_listener.ts";
import * as shutdowns from "./shutdown.ts";
import * as signalAges from "./signal_age.ts";
import * as telemetry from "./telemetry.ts";
import * as watchdogs from "./watchdog.ts";

/** Time for which the version of a session is remembered, in multiples of the session gap. */
const SESSION_TTL_GAPS = 3;
/** The process reports not ready if its view is older than this share of the revocation bound. */
const READY_MAX_AGE_SHARE = 0.7;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
const HTTP_NOT_FOUND = 404;

/** One router process. */
export class Router {
  readonly #options: routerOptions.RouterOptions;
  readonly #telemetry = new telemetry.Telemetry();
  readonly #table: replicas.ReplicaTable;
  readonly #places: places.Places;
  readonly #cold: colds.ColdReplicas;
  readonly #control: controls.ControlTask;
  readonly #controlPlane: relays.RelayedControlPlane;
  readonly #rollouts: rollouts.RolloutTask;
  readonly #fleet: fleets.Fleet;
  readonly #quarantine: quarantines.CrashQuarantine;
  readonly #sessions: sessions.SessionTable;
  readonly #shutdown: shutdowns.ShutdownSchedule;
  readonly #signalAge: signalAges.SignalAge;
  readonly #watchdog: watchdogs.Watchdog;
  readonly #callerServer: callerServers.CallerServer;
  readonly #readiness: http.Server;
  readonly #metrics: telemetry.MetricsServer | undefined;
  #isStopping = false;
  #stop: Promise<void> | undefined;
  #wasReady: boolean | undefined;

  constructor(options: routerOptions.RouterOptions) {
    this.#options = options;
    const { settings, codec, clock, log, random } = options;
    const controlPlane = new relays.RelayedControlPlane({
      controlPlane: options.controlPlane,
      clock,
      log,
      telemetry: this.#telemetry,
      listRelays: () => this.#fleet.listRelays(),
      isPeerHost: (host) => this.#fleet.isPeerHost(host),
    });
    this.#controlPlane = controlPlane;
    this.#shutdown = new shutdowns.ShutdownSchedule(settings.graceMs);
    this.#signalAge = new signalAges.SignalAge(clock);
    this.#sessions = new sessions.SessionTable(
      settings.sessionGapMs * SESSION_TTL_GAPS,
    );
    const { regionByDataCentre } = settings;
    this.#places = new places.Places({ clock, log, regionByDataCentre });
    this.#table = new replicas.ReplicaTable({
      dataCentre: settings.dataCentre,
      prefixReuseWindowMs: settings.prefixReuseWindowMs,
      random,
      onConnectionOpened: () => this.#telemetry.countEvent("connection.opened"),
      rates: {
        readRate: (key) => this.#fleet.readRate(key),
        listRated: () => this.#fleet.listRated(),
        findWaitMs: (key, reserved) =>
          this.#fleet.findRateWaitMs(key, reserved),
        reset: (key) => this.#fleet.resetRate(key),
      },
      bodies: new bodyRooms.BodyAccounts(
        () => this.#fleet,
        () => this.#control.routeIndex,
      ),
      isEvacuated: (dataCentre) => this.#places.isEvacuated(dataCentre),
      readPeerLoad: (key) => this.#fleet.readLoad(key),
      onFullScan: () => this.#telemetry.countEvent("choice.full-scan"),
      onLoadChanged: (key, change) => this.#fleet.recordLoadChange(key, change),
    });
    this.#cold = new colds.ColdReplicas({
      clock,
      log,
      bound: settings.coldRateBound,
      hasView: () => this.#control.hasView,
      recordCold: (key, remainingMs) =>
        this.#fleet.recordCold(key, remainingMs),
      isCold: (key) => this.#fleet.isCold(key),
    });
    this.#quarantine = new quarantines.CrashQuarantine({
      clock,
      controlPlane,
      log,
      telemetry: this.#telemetry,
      random,
      onSuspicion: () => this.#fleet.recordSuspicion(),
    });
    this.#fleet = new fleets.Fleet({
      settings,
      clock,
      controlPlane,
      log,
      telemetry: this.#telemetry,
      random,
      source: {
        listBusyKeys: () => this.#table.listBusyKeys(),
        readOwnLoad: (key) =>
          this.#table.readOwnLoad(key, this.#options.clock.monotonicMs()),
        readView: () => this.#control.view,
        listVersionOutcomes: () => this.#rollouts.listVersionOutcomes(),
        isSameOrder: (...order) => this.#rollouts.isSameOrder(...order),
        listPromptTallies: () => this.#quarantine.listTallies(),
      },
      listener: {
        onSession: (item) => this.#recordPeerSession(item),
        onView: (view) => this.#control.applyPeerView(view),
        onVersionOutcomes: (outcomes) =>
          this.#rollouts.recordPeerOutcomes(outcomes),
        onPromptTallies: (message) =>
          this.#quarantine.recordPeerTallies(message),
      },
      onSizeChange: (processes) => this.#table.setProcessCount(processes),
      cold: {
        findLimit: (key) => this.#cold.findLimit(key),
        onLearnt: (key, remainingMs) =>
          this.#cold.recordLearnt(key, remainingMs),
      },
    });
    this.#control = new controls.ControlTask({
      clock,
      controlPlane,
      log,
      telemetry: this.#telemetry,
      random,
      countConfirmingPeers: () => this.#fleet.countConfirmingPeers(),
      changeBoundMs: settings.changeBoundMs,
      listener: {
        onReplica: (entry) => {
          this.#table.put(entry);
          this.#cold.put(entry);
        },
        onReplicaDoubtful: (id) => this.#table.markDoubtful(id),
        onReplicaRemoved: (id) => {
          this.#table.remove(id);
          this.#cold.remove(id);
        },
        onRouteTable: (index) => {
          this.#places.setRoutes(index);
          this.#table.setServices(index.serviceByName);
          this.#cold.setServices(index.serviceByName);
          this.#callerServer.applyLimits();
        },
        onPeer: (peer) => this.#fleet.put(peer),
        onPeerRemoved: (name) => this.#fleet.remove(name),
        onQuarantinedPart: (id) => this.#quarantine.applyStored(id),
        onQuarantinedPartRemoved: (id) => this.#quarantine.lift(id),
        onEvacuation: (dataCentre) => this.#places.beginEvacuation(dataCentre),
        onEvacuationRemoved: (dataCentre) =>
          this.#places.endEvacuation(dataCentre),
        onFullRead: (items, isRestored) => {
          this.#places.applyFullRead(items, isRestored);
          if (!isRestored) return;
          this.#quarantine.keepMissing(items);
          this.#fleet.announceAgain(items);
        },
      },
    });
    this.#rollouts = new rollouts.RolloutTask({
      clock,
      controlPlane,
      control: this.#control,
      log,
      random,
      exposureShare: settings.exposureShare,
      countReplicas: (service, version) =>
        this.#table.countReplicas(service, version),
      countProcesses: () => this.#fleet.size,
      onOrder: (service) => this.#shareSessions(service),
    });
    this.#watchdog = new watchdogs.Watchdog(
      clock,
      (thrown) =>
        log.addNotable("watchdog.fault", {
          reason: kernel.describeThrown(thrown),
        }),
    );
    const dispatcher = new dispatchers.Dispatcher({
      clock,
      codec,
      settings,
      control: this.#control,
      admission: new admissions.Admission(this.#control, settings),
      table: this.#table,
      places: this.#places,
      rollouts: this.#rollouts,
      quarantine: this.#quarantine,
      fleet: this.#fleet,
      sessions: this.#sessions,
      shutdown: this.#shutdown,
      log,
      telemetry: this.#telemetry,
      random,
    });
    this.#callerServer = new callerServers.CallerServer({
      dispatcher,
      watchdog: this.#watchdog,
      control: this.#control,
      codec,
      clock,
      log,
      telemetry: this.#telemetry,
      processLimits: settings,
    });
    this.#readiness = sides.createReadinessServer((request, response) =>
      this.#handleReadinessRequest(request, response)
    );
    this.#metrics = options.metrics &&
      new telemetry.MetricsServer(
        this.#telemetry,
        options.metrics.path,
        () =>
          gauges.updateGauges({
            ...dispatcher.dependencies,
            callerServer: this.#callerServer,
            controlPlane: this.#controlPlane,
          }),
        new explainEndpoints.ExplainEndpoint(
          new explanations.Explainer(dispatcher, this.#control),
        ),
      );
  }

  /** Result of the readiness probe: whether the platform should send requests to this process. */
  get isReady(): boolean {
    if (this.#isStopping || !this.#control.hasView) return false;
    if (this.#control.routeIndex === undefined || this.#table.size === 0) {
      return false;
    }
    const { revocationBoundMs } = this.#options.settings;
    return this.#control.viewAgeMs <= revocationBoundMs * READY_MAX_AGE_SHARE;
  }

  /** Starts listening; returns the bound ports, as settings may specify port 0. */
  async start(): Promise<routerOptions.RouterPorts> {
    const { settings, metrics } = this.#options;
    this.#control.start();
    const peerPort = await this.#fleet.start();
    if (peerPort !== undefined) {
      await this.#controlPlane.serveChanges({
        host: settings.ip,
        port: peerPort,
      });
    }
    const callers = await this.#callerServer.listen(settings.callers);
    const readiness = await telemetry.listen(
      this.#readiness,
      settings.readiness,
    );
    const metricsPort = metrics === undefined ? undefined : await this.#metrics
      ?.listen({ host: settings.ip, port: metrics.port });
    this.#options.log.addNotable("process.started", {
      callers: `${settings.callers.host}:${callers}`,
      dataCentre: settings.dataCentre,
    });
    return { callers, readiness, metrics: metricsPort };
  }

  /** Stops accepting requests, and lets running ones finish; resolves when that is done. */
  stop(reason: string): Promise<void> {
    this.#stop ??= this.#runStop(reason);
    return this.#stop;
  }

  async #runStop(reason: string): Promise<void> {
    this.#isStopping = true;
    const { clock, log } = this.#options;
    const signalAgeMs = this.#signalAge.measureMs();
    log.addNotable("process.stopping", {
      reason,
      signalAgeMs: Math.round(signalAgeMs),
      inFlight: this.#callerServer.inFlight,
    });
    const startedAtMs = clock.monotonicMs();
    this.#shutdown.start(startedAtMs, signalAgeMs);
    const { acceptUntilMs, closeAtMs, exitAtMs } = this.#shutdown;
    this.#callerServer.startDraining();
    void this.#fleet.withdrawAnnouncement();
    await kernel.sleep(acceptUntilMs - startedAtMs);
    const { connections } = this.#callerServer;
    await shutdowns.acceptPending(() => connections.acceptedCount, clock);
    this.#callerServer.stopAccepting();
    // Requests on the connections accepted last are read, and refused, before these count as idle.
    await shutdowns.readPending();
    connections.endIdle();
    const hasDrained = () => this.#callerServer.inFlight === 0;
    await shutdowns.waitFor(hasDrained, closeAtMs, clock);
    log.addNotable("process.stopped", {
      tookMs: Math.round(clock.monotonicMs() - startedAtMs),
      // Requests without a complete response; closing aborts them.
      brokenOff: this.#callerServer.inFlight,
      ...this.#callerServer.countByStage(),
    });
    // The closing below may take longer than is left, for example if the store is silent.
    log.flush();
    await shutdowns.waitAtMost(this.close(), exitAtMs, clock);
  }

  async close(): Promise<void> {
    this.#isStopping = true;
    this.#callerServer.close();
    this.#readiness.close();
    this.#readiness.closeAllConnections();
    this.#metrics?.close();
    this.#rollouts.close();
    this.#quarantine.close();
    this.#places.close();
    this.#watchdog.close();
    this.#cold.close();
    this.#signalAge.close();
    this.#table.close();
    await this.#fleet.close();
    await this.#control.close();
    await this.#options.log.close();
  }

  /** Tells peers which sessions run on the old version when a roll-out is ordered. */
  #shareSessions(service: string): void {
    const nowMs = this.#options.clock.monotonicMs();
    for (const { session, version } of this.#sessions.list(service, nowMs)) {
      const fraction = admissions.hashForVersion(session);
      if (!this.#rollouts.shouldShare(service, version, fraction)) continue;
      this.#fleet.shareSession({ service, session, version });
    }
  }

  /** Records a session's version reported by a peer, unless it is known locally. */
  #recordPeerSession(
    { service, session, version }: peers.SessionVersion,
  ): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (this.#sessions.find(service, session, nowMs) !== undefined) return;
    this.#sessions.record(service, session, version, nowMs);
  }

  #handleReadinessRequest(
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
        viewAgeMs: Math.round(this.#control.viewAgeMs),
        replicas: this.#table.size,
      });
    }
    response.writeHead(isReady ? HTTP_OK : HTTP_UNAVAILABLE).end();
  }
}

/** Starts a router and registers its tear-down with a kernel. */
export async function registerRouter(
  host: kernel.Kernel,
  options: routerOptions.RouterOptions,
): Promise<Router> {
  const router = new Router(options);
  await router.start();
  host.addTeardown(() => router.close());
  return router;
}
