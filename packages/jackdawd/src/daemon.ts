/** Builds a process of either role from checked settings, and ends it in order. */
import * as crypto from "node:crypto";
import * as admin from "@jackdawbank/admin";
import * as config from "@jackdawbank/config";
import * as entry from "@jackdawbank/entry";
import * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";
import * as neverthrow from "neverthrow";
import * as stores from "@jackdawbank/store";
import * as upstream from "@jackdawbank/upstream";
import * as watchers from "./watchers.ts";
import type * as settingTypes from "./settings.ts";

/** Ports that a running daemon is bound to. */
export type BoundPorts = Readonly<Record<string, number>>;

/** A running daemon. */
export interface Daemon {
  readonly host: kernel.Kernel;
  readonly ports: BoundPorts;
}

interface Parts {
  readonly host: kernel.Kernel;
  readonly holder: config.BundleHolder;
  readonly store: stores.Store;
  readonly identity: mesh.MeshIdentity;
}

function createParts(settings: settingTypes.CommonSettings): Parts {
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
  host.addTeardown(() => metrics.close());
  host.addTeardown(() => store.close());
  host.addTeardown(config.registerConfig(host, holder));
  host.addTeardown(registerProcessStatus(host));
  const identity = {
    processId,
    incarnation,
    dataCentre,
    secret: settings.meshSecret,
  };
  return { host, holder, store, identity };
}

/** What the process itself costs, for operators and for the capacity page. */
function registerProcessStatus(host: kernel.Kernel): kernel.Teardown {
  return host.registerCommand(admin.COLLECT_STATUS, (command) => {
    const { user, system } = process.cpuUsage();
    const { rss, heapUsed } = process.memoryUsage();
    command.add("process", {
      incarnation: host.services.incarnation,
      cpuMicros: user + system,
      residentBytes: rss,
      heapBytes: heapUsed,
    });
    return false;
  });
}

async function listenAdmin(
  parts: Parts,
  settings: settingTypes.CommonSettings,
): Promise<kernel.Outcome<number>> {
  const app = admin.createAdminApp(parts.host);
  const listener = await admin.listenHttp(app, settings.adminListen);
  return listener.map((bound) => {
    parts.host.addTeardown(() => bound.close());
    return bound.port;
  });
}

async function finishStart(
  parts: Parts,
  settings: settingTypes.CommonSettings,
  ports: BoundPorts,
): Promise<kernel.Outcome<Daemon>> {
  const adminPort = await listenAdmin(parts, settings);
  if (adminPort.isErr()) {
    await parts.host.close();
    return neverthrow.err(adminPort.error);
  }
  parts.host.services.timeline.record("process.started");
  return neverthrow.ok({
    host: parts.host,
    ports: { ...ports, adminPort: adminPort.value },
  });
}

/** Starts an entry. */
export async function startEntry(
  settings: settingTypes.EntrySettings,
): Promise<kernel.Outcome<Daemon>> {
  const parts = createParts(settings);
  const vmList = new stores.HttpVmListClient(settings.vmList);
  const role = await entry.registerEntry(parts.host, {
    ...parts,
    vmList,
    ratings: settings.ratings === undefined
      ? undefined
      : new stores.HttpRatingsClient(settings.ratings),
    listen: settings.listen,
    drainTimeoutMs: settings.drainTimeoutMs,
    random: Math.random,
  });
  if (role.isErr()) {
    await parts.host.close();
    return neverthrow.err(role.error);
  }
  const { fleet, port } = role.value;
  const watcher = new config.BundleWatcher(parts.host.services, {
    store: parts.store,
    holder: parts.holder,
    isWatcher: () => watchers.isBundleWatcher(fleet.vms, settings),
    random: Math.random,
  });
  parts.host.addTeardown(() => watcher.close());
  return await finishStart(parts, settings, { port });
}

/** Starts a process beside an upstream. */
export async function startUpstream(
  settings: settingTypes.UpstreamSettings,
): Promise<kernel.Outcome<Daemon>> {
  const parts = createParts(settings);
  const backend = settings.type === "model"
    ? new upstream.ModelBackend(settings.upstreamUrl)
    : new upstream.ServiceBackend(settings.upstreamUrl, settings.service ?? "");
  const role = await upstream.registerUpstream(parts.host, {
    ...parts,
    backend,
    type: settings.type,
    listen: settings.meshListen,
    drainTimeoutMs: settings.drainTimeoutMs,
  });
  if (role.isErr()) {
    await parts.host.close();
    return neverthrow.err(role.error);
  }
  return await finishStart(parts, settings, { meshPort: role.value.meshPort });
}

/** Takes no new work, finishes what runs, then closes everything. */
export async function stopDaemon(
  daemon: Daemon,
  reason: string,
): Promise<void> {
  const { host } = daemon;
  host.services.timeline.record("process.draining", { detail: reason });
  host.services.log.info(`draining: ${reason}`);
  const waits: Promise<void>[] = [];
  host.dispatchCommand(admin.DRAIN, {
    reason,
    wait: (done) => waits.push(done),
  });
  await Promise.all(waits);
  await host.close();
}
