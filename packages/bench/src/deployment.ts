/** A whole small deployment of real processes and stand-ins on the loopback address. */
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

/** A running deployment. */
export class Deployment {
  readonly plan: plans.DeploymentPlan;
  readonly entries = new Map<string, processes.TestProcess>();
  readonly upstreams = new Map<string, plans.RunningUpstream>();
  readonly #started: processes.TestProcess[] = [];
  readonly #keys = crypto.generateKeyPairSync("ed25519");
  readonly #clock = new kernel.SystemClock();
  #storeProcess: processes.TestProcess | undefined;
  #platformProcess: processes.TestProcess | undefined;
  #leaving: ReadonlySet<string> = new Set();

  private constructor(plan: plans.DeploymentPlan) {
    this.plan = plan;
  }

  /** Starts everything, rolls the plan's bundle and waits until it serves. */
  static async start(
    plan: plans.DeploymentPlan = plans.buildStandardPlan(),
  ): Promise<Deployment> {
    const deployment = new Deployment(plan);
    try {
      await deployment.#startStandIns();
      const rolled = await deployment.roll(plan.bundle);
      if (rolled.isErr()) throw new Error(rolled.error.message);
      await Promise.all([
        ...plan.upstreams.map((upstream) => deployment.startUpstream(upstream)),
        ...plan.entries.map((entry) => deployment.startEntry(entry)),
      ]);
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
    return `http://127.0.0.1:${this.#platformProcess?.port("port")}`;
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

  /** Signs and rolls a bundle, and hands it to the processes as the client does. */
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

  /** Hands a signed bundle to the processes, as the client does after a roll. */
  async push(content: bundle.Bundle): Promise<void> {
    await ctl.pushBundle(this.listVms(), this.sign(content));
  }

  /** The next bundle after the one in force, with changes. */
  async buildNextBundle(
    change: (content: bundle.Bundle) => bundle.Bundle,
  ): Promise<bundle.Bundle> {
    const store = new stores.EtcdStore(this.storeUrl);
    const current = await ctl.readActiveBundle(store, this.signers);
    await store.close();
    const stored = current._unsafeUnwrap();
    if (stored === undefined) throw new Error("no bundle is in force");
    return change(bundle.createNextBundle(stored.verified));
  }

  /** The VM list as the platform would show it. */
  listVms(): readonly stores.Vm[] {
    const state = (id: string) =>
      this.#leaving.has(id) ? "leaving" as const : "live" as const;
    const entries = [...this.entries].map(([id, entry]) => ({
      id,
      role: "entry" as const,
      dataCentre:
        this.plan.entries.find((other) => other.id === id)?.dataCentre ?? "",
      adminAddress: `127.0.0.1:${entry.port("adminPort")}`,
      state: state(id),
    }));
    const upstreams = [...this.upstreams].map(([id, upstream]) => ({
      id,
      role: "upstream" as const,
      dataCentre: upstream.plan.dataCentre,
      meshAddress: `127.0.0.1:${upstream.process.port("meshPort")}`,
      adminAddress: `127.0.0.1:${upstream.process.port("adminPort")}`,
      state: state(id),
    }));
    return [...entries, ...upstreams];
  }

  async publishVmList(
    leaving: ReadonlySet<string> = this.#leaving,
  ): Promise<void> {
    this.#leaving = leaving;
    await calls.putJson(`${this.vmListUrl}/vms`, { vms: this.listVms() });
  }

  async startEntry(plan: plans.EntryPlan): Promise<processes.TestProcess> {
    const entry = await this.#start(plan.id, "jackdawd", [
      "entry",
      ...this.#commonArgs(plan),
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
    const process = await this.#start(plan.id, "jackdawd", [
      "upstream",
      ...this.#commonArgs(plan),
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

  /** Waits until every entry reaches every upstream process and holds the bundle. */
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
        const wanted = this.plan.upstreams.flatMap((plan) =>
          plan.engine?.serves ?? [plans.ORDER_SERVICE]
        );
        return (status.bundle?.revision ?? 0) > 0 &&
          served.reduce((sum, count) => sum + count, 0) === wanted.length;
      });
    }
    await this.waitForRevision(this.plan.bundle.revision);
  }

  /** Waits until every process holds a revision; resolves with the time it took. */
  async waitForRevision(
    revision: number,
    ids: readonly string[] = [...this.entries.keys(), ...this.upstreams.keys()],
  ): Promise<number> {
    const startedAtMs = performance.now();
    await processes.waitFor(`revision ${revision} everywhere`, async () => {
      const held = await Promise.all(ids.map((id) => this.readRevision(id)));
      return held.every((other) => other >= revision);
    });
    return performance.now() - startedAtMs;
  }

  async readRevision(id: string): Promise<number> {
    const status = await this.readStatus(id) as {
      readonly bundle?: { readonly revision: number };
    };
    return status.bundle?.revision ?? 0;
  }

  /** Waits until an entry can send work for something. */
  async waitUntilServed(id: string, name: string): Promise<void> {
    await processes.waitFor(
      `${id} serves ${name}`,
      async () => await this.#countServed(id, name) > 0,
    );
  }

  /** Waits until an entry has no more than `left` usable upstreams for something. */
  async waitForUpstreamsAtMost(
    id: string,
    name: string,
    left: number,
  ): Promise<void> {
    await processes.waitFor(
      `${id} has ${left} left for ${name}`,
      async () => await this.#countServed(id, name) <= left,
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
    return calls.getJson(`http://127.0.0.1:${this.#adminPort(id)}/status`);
  }

  readTimeline(): Promise<readonly kernel.TimelineEvent[]> {
    return ctl.readTimeline(this.listVms());
  }

  async readUsage(): Promise<readonly ctl.UsageRow[]> {
    const store = new stores.EtcdStore(this.storeUrl);
    const rows = await ctl.readUsage(store);
    await store.close();
    return rows.unwrapOr([]);
  }

  /** Requests billed in the store. */
  async countBilled(): Promise<number> {
    return (await this.readUsage())
      .reduce((sum, row) => sum + row.requests, 0);
  }

  /** Changes what a stand-in does. */
  async changeSettings(
    target: processes.TestProcess,
    change: object,
  ): Promise<void> {
    await calls.postJson(
      `http://127.0.0.1:${target.port("port")}/control`,
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

  /** Runs of all engines, or of those beside the named upstream processes. */
  async listEngineRuns(
    ids: readonly string[] = [...this.upstreams.keys()],
  ): Promise<readonly fakes.EngineRun[]> {
    const engines = ids
      .map((id) => this.upstream(id))
      .filter((upstream) => upstream.plan.orders === undefined);
    const parts = await Promise.all(
      engines.map(({ backend }) =>
        calls.getJson(`http://127.0.0.1:${backend.port("port")}/control/runs`)
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
      const data = await calls.getJson(
        `http://127.0.0.1:${upstream.backend.port("port")}/control/runs`,
      );
      for (
        const [id, runs] of Object.entries(
          (data as { runs: Record<string, number> }).runs,
        )
      ) {
        counts.set(id, (counts.get(id) ?? 0) + runs);
      }
    }
    return new Map([...counts].toSorted(([a], [b]) => a.localeCompare(b)));
  }

  /** Ends every process that was started, by its pid. */
  async close(): Promise<void> {
    await Promise.all(this.#started.map((started) => started.kill()));
  }

  async #start(
    name: string,
    program: processes.ProgramName,
    args: readonly string[],
  ): Promise<processes.TestProcess> {
    const started = await processes.TestProcess.start(name, program, args);
    this.#started.push(started);
    return started;
  }

  async #startStandIns(): Promise<void> {
    this.#storeProcess = await this.#start("store", "fakes", ["store"]);
    const lag = String(this.plan.vmListLagMs ?? 200);
    this.#platformProcess = await this.#start("platform", "fakes", [
      "platform",
      "--lag-ms",
      lag,
    ]);
  }

  #startBackend(plan: plans.UpstreamPlan): Promise<processes.TestProcess> {
    const kind = plan.orders === undefined ? "engine" : "orders";
    const settings = JSON.stringify(plan.orders ?? plan.engine ?? {});
    return this.#start(`${plan.id}-backend`, "fakes", [
      kind,
      "--settings",
      settings,
    ]);
  }

  #commonArgs(plan: plans.EntryPlan): readonly string[] {
    return plans.buildDaemonArgs(plan, {
      signerKey: this.signerKey,
      storeUrl: plan.usesSecondStorePort === true
        ? this.secondStoreUrl
        : this.storeUrl,
    });
  }

  #adminPort(id: string): number {
    const process = this.entries.get(id) ?? this.upstreams.get(id)?.process;
    if (process === undefined) throw new Error(`no process ${id}`);
    return process.port("adminPort");
  }
}
