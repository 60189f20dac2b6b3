/** Starts an entry or upstream process from validated settings, and stops it in an orderly way. */
import * as crypto from "node:crypto";
import * as admin from "@jackdawbank/admin";
import * as config from "@jackdawbank/config";
import * as entry from "@jackdawbank/entry";
import * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";
import * as neverthrow from "neverthrow";
import * as stores from "@jackdawbank/store";
import * as upstream from "@jackdawbank/upstream";
import * as guards from "./guards.ts";
import * as watchers from "./watchers.ts";
import type * as daemonSettings from "./settings.ts";

/** Ports on which a daemon listens: `adminPort`, and `port` of an entry or `meshPort` of an upstream process. */
export type BoundPorts = Readonly<Record<string, number>>;

export interface Daemon {
  readonly host: kernel.Kernel;
  readonly ports: BoundPorts;
}

interface DaemonComponents {
  readonly host: kernel.Kernel;
  readonly holder: config.BundleHolder;
  readonly store: stores.Store;
  readonly identity: mesh.MeshIdentity;
  readonly guards: guards.ListenerGuards;
}

function createComponents(
  settings: daemonSettings.CommonSettings,
): DaemonComponents {
  const { processId, dataCentre } = settings;
  const incarnation = `${processId}-${crypto.randomBytes(6).toString("hex")}`;
  const clock = new kernel.SystemClock();
  const metrics = settings.statsd === undefined
    ? new kernel.NullMetrics()
    : new kernel.StatsdMetrics(settings.statsd.host, settings.statsd.port);
  const host = new kernel.Kernel({
    clock,
    metrics,
    processId,
    incarnation,
    log: kernel.createLogger({
      processId,
      isJson: settings.logJson,
      level: settings.logLevel,
    }),
    timeline: new kernel.Timeline(clock, processId),
  });
  const store = new stores.EtcdStore(settings.store);
  const holder = new config.BundleHolder(host.services, settings.signers);
  const listenerGuards = new guards.ListenerGuards(host.services, settings);
  host.addTeardown(() => listenerGuards.close());
  host.addTeardown(() => metrics.close());
  host.addTeardown(() => store.close());
  host.addTeardown(config.registerConfig(host, holder));
  host.addTeardown(registerProcessStatus(host, listenerGuards));
  const identity = {
    processId,
    incarnation,
    dataCentre,
    secret: settings.meshSecret,
  };
  return { host, holder, store, identity, guards: listenerGuards };
}

/** Adds the CPU and memory use of the process to /status, for operators and capacity measurements. */
function registerProcessStatus(
  host: kernel.Kernel,
  listenerGuards: guards.ListenerGuards,
): kernel.Teardown {
  return host.registerCommand(admin.COLLECT_STATUS, (command) => {
    const { user, system } = process.cpuUsage();
    const { rss, heapUsed } = process.memoryUsage();
    command.add("process", {
      incarnation: host.services.incarnation,
      cpuMicros: user + system,
      residentBytes: rss,
      heapBytes: heapUsed,
      ...listenerGuards.readGauges(),
    });
    return false;
  });
}

async function listenAdmin(
  components: DaemonComponents,
  settings: daemonSettings.CommonSettings,
): Promise<kernel.Outcome<number>> {
  const app = admin.createAdminApp(components.host);
  const listener = await admin.listenHttp(app, settings.adminListen, {
    guard: components.guards.createAdminGuard(),
    renderRefusal: admin.renderAdminRefusal,
  });
  return listener.map((bound) => {
    components.host.addTeardown(() => bound.close());
    return bound.port;
  });
}

async function finishStart(
  components: DaemonComponents,
  settings: daemonSettings.CommonSettings,
  ports: BoundPorts,
): Promise<kernel.Outcome<Daemon>> {
  const adminPort = await listenAdmin(components, settings);
  if (adminPort.isErr()) {
    await components.host.close();
    return neverthrow.err(adminPort.error);
  }
  components.host.services.timeline.record("process.started");
  return neverthrow.ok({
    host: components.host,
    ports: { ...ports, adminPort: adminPort.value },
  });
}

export async function startEntry(
  settings: daemonSettings.EntrySettings,
): Promise<kernel.Outcome<Daemon>> {
  const components = createComponents(settings);
  const vmList = new stores.HttpVmListClient(settings.vmList);
  const role = await entry.registerEntry(components.host, {
    ...components,
    vmList,
    ratings: settings.ratings === undefined
      ? undefined
      : new stores.HttpRatingsClient(settings.ratings),
    listen: settings.listen,
    guard: components.guards.createCallerGuard(components.holder),
    drainTimeoutMs: settings.drainTimeoutMs,
    random: Math.random,
  });
  if (role.isErr()) {
    await components.host.close();
    return neverthrow.err(role.error);
  }
  const { fleet, port } = role.value;
  const watcher = new config.BundleWatcher(components.host.services, {
    store: components.store,
    holder: components.holder,
    isWatcher: () => watchers.isBundleWatcher(fleet.vms, settings),
    random: Math.random,
  });
  components.host.addTeardown(() => watcher.close());
  return await finishStart(components, settings, { port });
}

/** Starts the process that admits requests and forwards them to the upstream on this VM. */
export async function startUpstream(
  settings: daemonSettings.UpstreamSettings,
): Promise<kernel.Outcome<Daemon>> {
  const components = createComponents(settings);
  const backend = settings.type === "model"
    ? new upstream.ModelBackend(settings.upstreamUrl)
    : new upstream.ServiceBackend(settings.upstreamUrl, settings.service ?? "");
  const role = await upstream.registerUpstream(components.host, {
    ...components,
    backend,
    type: settings.type,
    listen: settings.meshListen,
    guard: components.guards.createMeshGuard(),
    drainTimeoutMs: settings.drainTimeoutMs,
  });
  if (role.isErr()) {
    await components.host.close();
    return neverthrow.err(role.error);
  }
  return await finishStart(components, settings, {
    meshPort: role.value.meshPort,
  });
}

/** Stops accepting new requests, waits for those in flight, then closes everything. */
export async function stopDaemon(
  daemon: Daemon,
  reason: string,
): Promise<void> {
  const { host } = daemon;
  host.services.timeline.record("process.draining", { detail: reason });
  host.services.log.info(`draining: ${reason}`);
  const drains: Promise<void>[] = [];
  host.dispatchCommand(admin.DRAIN, {
    reason,
    wait: (done) => drains.push(done),
  });
  await Promise.all(drains);
  await host.close();
}
