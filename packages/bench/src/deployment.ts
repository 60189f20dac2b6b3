/** Runs a small deployment of real processes and stand-ins on the loopback address. */
import * as crypto from "node:crypto";
import * as bundle from "@jackdawbank/bundle";
import type * as fakes from "@jackdawbank/fakes";
import * as kernel from "@jackdawbank/kernel";
import * as ctl from "@jackdawbank/jackdawctl";
import * as stores from "@jackdawbank/store";
import * as calls from "./control_calls.ts";
import * as plans from "./deployment_plan.ts";
import * as processes from "./processes.ts";

export * from "./deployment_plan.ts";

export class Deployment {
  readonly plan: plans.DeploymentPlan;
  readonly entries = new Map<string, processes.TestProcess>();
  readonly upstreams = new Map<string, plans.RunningUpstream>();
  readonly #processes: processes.TestProcess[] = [];
  readonly #keys = crypto.generateKeyPairSync("ed25519");
  readonly #clock = new kernel.SystemClock();
  #storeProcess: processes.TestProcess | undefined;
  #vmListProcess: processes.TestProcess | undefined;
  #leaving: ReadonlySet<string> = new Set();

  private constructor(plan: plans.DeploymentPlan) {
    this.plan = plan;
  }

  /** Starts all processes, publishes the plan's bundle and waits until it is served. */
  static async start(
    plan: plans.DeploymentPlan = plans.buildStandardPlan(),
  ): Promise<Deployment> {
    const deployment = new Deployment(plan);
    try {
      await deployment.#startStoreAndVmList();
      const rolled = await deployment.roll(plan.bundle);
      if (rolled.isErr()) throw new Error(rolled.error.message);
      // Waits for all of them even if one fails, so that `close` kills every process.
      const started = await Promise.allSettled([
        ...plan.upstreams.map((upstream) => deployment.startUpstream(upstream)),
        ...plan.entries.map((entry) => deployment.startEntry(entry)),
      ]);
      const failure = started.find(({ status }) => status === "rejected");
      if (failure?.status === "rejected") throw failure.reason;
      await deployment.publishVmList();
      await deployment.waitUntilReady();
      return deployment;
    } catch (thrown) {
      await deployment.close();
      throw thrown;
    }
  }

  get signerKey(): string {
    return this.#keys.publicKey.export({ format: "der", type: "spki" })
      .toString("base64");
  }

  get privateKeyPem(): string {
    return this.#keys.privateKey.export({ format: "pem", type: "pkcs8" })
      .toString();
  }

  get signers(): bundle.Signers {
    const signer = bundle.parseSigner(this.signerKey)._unsafeUnwrap();
    return new Map([[signer.signerId, signer]]);
  }

  get meshSecret(): string {
    return plans.MESH_SECRET;
  }

  get storeUrl(): string {
    return `http://127.0.0.1:${this.#storeProcess?.port("port")}`;
  }

  get secondStoreUrl(): string {
    return `http://127.0.0.1:${this.#storeProcess?.port("secondPort")}`;
  }

  get vmListUrl(): string {
    return `http://127.0.0.1:${this.#vmListProcess?.port("port")}`;
  }

  entryUrl(id: string): string {
    return `http://127.0.0.1:${this.entry(id).port("port")}`;
  }

  entry(id: string): processes.TestProcess {
    const entry = this.entries.get(id);
    if (entry === undefined) throw new Error(`no entry ${id}`);
    return entry;
  }

  upstream(id: string): plans.RunningUpstream {
    const upstream = this.upstreams.get(id);
    if (upstream === undefined) throw new Error(`no upstream ${id}`);
    return upstream;
  }

  sign(content: bundle.Bundle): bundle.SignedBundle {
    return bundle.signBundle(content, this.#keys.privateKey);
  }

  /** Signs and publishes a bundle; with `isPushed` also pushes it to the processes. */
  async roll(
    content: bundle.Bundle,
    options: { readonly isPushed?: boolean } = {},
  ): Promise<kernel.Outcome<ctl.PublishResult>> {
    const store = new stores.EtcdStore(this.storeUrl);
    try {
      const verified = bundle.verifyBundle(this.sign(content), this.signers);
      if (verified.isErr()) throw new Error(verified.error.message);
      const rolled = await ctl.publishBundle(verified.value, {
        store,
        signers: this.signers,
        timeoutMs: 10_000,
        clock: this.#clock,
      });
      if (rolled.isOk() && options.isPushed === true) await this.push(content);
      return rolled;
    } finally {
      await store.close();
    }
  }

  /** Signs a bundle and pushes it to the processes, as `jackdawctl` does after publishing. */
  async push(content: bundle.Bundle): Promise<void> {
    await ctl.pushBundle(this.listVms(), this.sign(content));
  }

  /** Builds the successor of the active bundle, with changes. */
  async buildNextBundle(
    change: (content: bundle.Bundle) => bundle.Bundle,
  ): Promise<bundle.Bundle> {
    const store = new stores.EtcdStore(this.storeUrl);
    const current = await ctl.readActiveBundle(store, this.signers);
    await store.close();
    const stored = current._unsafeUnwrap();
    if (stored === undefined) throw new Error("no bundle is active");
    return change(bundle.createNextBundle(stored.verified));
  }

  /** The VM list as the platform would return it. */
  listVms(): readonly stores.Vm[] {
    const getState = (id: string) =>
      this.#leaving.has(id) ? "leaving" as const : "live" as const;
    const entries = [...this.entries].map(([id, entry]) => ({
      id,
      role: "entry" as const,
      dataCentre:
        this.plan.entries.find((other) => other.id === id)?.dataCentre ?? "",
      adminAddress: `127.0.0.1:${entry.port("adminPort")}`,
      state: getState(id),
    }));
    const upstreams = [...this.upstreams].map(([id, upstream]) => ({
      id,
      role: "upstream" as const,
      dataCentre: upstream.plan.dataCentre,
      meshAddress: `127.0.0.1:${upstream.process.port("meshPort")}`,
      adminAddress: `127.0.0.1:${upstream.process.port("adminPort")}`,
      state: getState(id),
    }));
    return [...entries, ...upstreams];
  }

  async publishVmList(
    leavingIds: ReadonlySet<string> = this.#leaving,
  ): Promise<void> {
    this.#leaving = leavingIds;
    await calls.putJson(`${this.vmListUrl}/vms`, { vms: this.listVms() });
  }

  async startEntry(plan: plans.EntryPlan): Promise<processes.TestProcess> {
    const entry = await this.#startProcess(plan.id, "jackdawd", [
      "entry",
      ...this.#buildCommonArgs(plan),
      "--listen",
      "127.0.0.1:0",
      "--vm-list",
      this.vmListUrl,
      "--ratings",
      this.vmListUrl,
    ]);
    this.entries.set(plan.id, entry);
    return entry;
  }

  async startUpstream(
    plan: plans.UpstreamPlan,
  ): Promise<plans.RunningUpstream> {
    const backend = this.upstreams.get(plan.id)?.backend ??
      await this.#startBackend(plan);
    const type = plan.orders === undefined ? "model" : "service";
    const process = await this.#startProcess(plan.id, "jackdawd", [
      "upstream",
      ...this.#buildCommonArgs(plan),
      "--upstream-url",
      `http://127.0.0.1:${backend.port("port")}`,
      "--type",
      type,
      ...(type === "service" ? ["--service", plans.ORDER_SERVICE] : []),
    ]);
    const running = { plan, backend, process };
    this.upstreams.set(plan.id, running);
    return running;
  }

  /** Waits until every entry reaches every upstream process and all hold the bundle. */
  async waitUntilReady(): Promise<void> {
    for (const id of this.entries.keys()) {
      await processes.waitFor(`${id} is ready`, async () => {
        const status = await this.readStatus(id) as {
          readonly entry?: {
            readonly upstreams: number;
            readonly served: Record<string, number>;
          };
          readonly bundle?: { readonly revision: number };
        };
        const served = Object.values(status.entry?.served ?? {});
        const expected = this.plan.upstreams.flatMap((plan) =>
          plan.engine?.serves ?? [plans.ORDER_SERVICE]
        );
        return (status.bundle?.revision ?? 0) > 0 &&
          served.reduce((sum, count) => sum + count, 0) === expected.length;
      });
    }
    await this.waitForRevision(this.plan.bundle.revision);
  }

  /** Waits until the processes hold a revision or a later one; resolves with the elapsed ms. */
  async waitForRevision(
    revision: number,
    ids: readonly string[] = [...this.entries.keys(), ...this.upstreams.keys()],
  ): Promise<number> {
    const startedAtMs = performance.now();
    await processes.waitFor(`all hold revision ${revision}`, async () => {
      const held = await Promise.all(ids.map((id) => this.readRevision(id)));
      return held.every((heldRevision) => heldRevision >= revision);
    });
    return performance.now() - startedAtMs;
  }

  async readRevision(id: string): Promise<number> {
    const status = await this.readStatus(id) as {
      readonly bundle?: { readonly revision: number };
    };
    return status.bundle?.revision ?? 0;
  }

  /** Waits until an entry has a usable upstream for a model version or service. */
  async waitUntilServed(id: string, name: string): Promise<void> {
    await processes.waitFor(
      `${id} serves ${name}`,
      async () => await this.#countServed(id, name) > 0,
    );
  }

  /** Waits until an entry has at most `maxCount` usable upstreams for a version or service. */
  async waitForUpstreamsAtMost(
    id: string,
    name: string,
    maxCount: number,
  ): Promise<void> {
    await processes.waitFor(
      `${id} has at most ${maxCount} upstreams for ${name}`,
      async () => await this.#countServed(id, name) <= maxCount,
    );
  }

  async #countServed(id: string, name: string): Promise<number> {
    const status = await this.readStatus(id) as {
      readonly entry?: { readonly served: Readonly<Record<string, number>> };
    };
    return status.entry?.served[name] ?? 0;
  }

  /** Admin status of a process; an empty object when it does not answer. */
  readStatus(id: string): Promise<unknown> {
    return calls.getJson(`http://127.0.0.1:${this.#getAdminPort(id)}/status`);
  }

  readTimeline(): Promise<readonly kernel.TimelineEvent[]> {
    return ctl.readTimeline(this.listVms());
  }

  async readUsage(): Promise<readonly ctl.UsageRow[]> {
    const store = new stores.EtcdStore(this.storeUrl);
    const rows = await calls.readUntilOk(() => ctl.readUsage(store));
    await store.close();
    return rows;
  }

  /** Requests billed in the store. */
  async countBilled(): Promise<number> {
    return (await this.readUsage())
      .reduce((sum, row) => sum + row.requests, 0);
  }

  /** Changes settings of a stand-in. */
  async configure(fake: processes.TestProcess, change: object): Promise<void> {
    await calls.postJson(
      `http://127.0.0.1:${fake.port("port")}/control`,
      change,
    );
  }

  async setStoreFaults(change: Partial<fakes.EtcdFaults>): Promise<void> {
    await calls.postJson(`${this.storeUrl}/control`, change);
  }

  async setSecondStorePortFaults(
    change: Partial<fakes.EtcdFaults>,
  ): Promise<void> {
    await calls.postJson(`${this.secondStoreUrl}/control`, change);
  }

  /** Runs of all engines, or of those behind the named upstream processes. */
  async listEngineRuns(
    ids: readonly string[] = [...this.upstreams.keys()],
  ): Promise<readonly fakes.EngineRun[]> {
    const engines = ids
      .map((id) => this.upstream(id))
      .filter((upstream) => upstream.plan.orders === undefined);
    const parts = await Promise.all(
      engines.map(({ backend }) =>
        calls.readJson(`http://127.0.0.1:${backend.port("port")}/control/runs`)
      ),
    );
    return parts.flatMap((part) =>
      (part as { runs: readonly fakes.EngineRun[] }).runs
    );
  }

  /** Runs by order id over all order services. */
  async countOrderRuns(): Promise<ReadonlyMap<string, number>> {
    const counts = new Map<string, number>();
    for (const upstream of this.upstreams.values()) {
      if (upstream.plan.orders === undefined) continue;
      const data = await calls.readJson(
        `http://127.0.0.1:${upstream.backend.port("port")}/control/runs`,
      );
      const { runs } = data as { readonly runs: Record<string, number> };
      for (const [id, count] of Object.entries(runs)) {
        counts.set(id, (counts.get(id) ?? 0) + count);
      }
    }
    return new Map([...counts].toSorted(([a], [b]) => a.localeCompare(b)));
  }

  /** Kills every process that was started, each by its pid. */
  async close(): Promise<void> {
    await Promise.all(this.#processes.map((started) => started.kill()));
  }

  async #startProcess(
    name: string,
    program: processes.ProgramName,
    args: readonly string[],
  ): Promise<processes.TestProcess> {
    const started = await processes.TestProcess.start(name, program, args);
    this.#processes.push(started);
    return started;
  }

  async #startStoreAndVmList(): Promise<void> {
    this.#storeProcess = await this.#startProcess("store", "fakes", ["store"]);
    const lagMs = String(this.plan.vmListLagMs ?? 200);
    this.#vmListProcess = await this.#startProcess("platform", "fakes", [
      "platform",
      "--lag-ms",
      lagMs,
    ]);
  }

  #startBackend(plan: plans.UpstreamPlan): Promise<processes.TestProcess> {
    const command = plan.orders === undefined ? "engine" : "orders";
    const settings = JSON.stringify(plan.orders ?? plan.engine ?? {});
    return this.#startProcess(`${plan.id}-backend`, "fakes", [
      command,
      "--settings",
      settings,
    ]);
  }

  #buildCommonArgs(plan: plans.EntryPlan): readonly string[] {
    return plans.buildDaemonArgs(plan, {
      signerKey: this.signerKey,
      storeUrl: plan.usesSecondStorePort === true
        ? this.secondStoreUrl
        : this.storeUrl,
    });
  }

  #getAdminPort(id: string): number {
    const process = this.entries.get(id) ?? this.upstreams.get(id)?.process;
    if (process === undefined) throw new Error(`no process ${id}`);
    return process.port("adminPort");
  }
}
