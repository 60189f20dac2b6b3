/** Tests that changes reach processes that do not watch the control plane, and what happens when a relay fails. */
import * as http from "node:http";
import type * as net from "node:net";
import * as ava from "ava";
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";
import * as relayed from "./relayed_control.ts";
import * as telemetry from "./telemetry.ts";

const test = ava.default;
const HOST = "127.0.0.1";
const WAIT_MS = 2_000;
/** Longest answer of a relay. */
const MAX_ANSWER_CHARS = 32_768;

/** A control plane that answers each wait with one change, or never. */
class FakeControlPlane {
  waits = 0;
  #resolve: ((update: ports.ControlUpdate) => void) | undefined;

  readAll(): Promise<kernel.Outcome<ports.ControlUpdate>> {
    return Promise.resolve(neverthrow.ok({ items: [], revision: 10 }));
  }

  async waitForChanges(): Promise<kernel.Outcome<ports.ControlUpdate>> {
    this.waits += 1;
    return neverthrow.ok(
      await new Promise<ports.ControlUpdate>((resolve) =>
        this.#resolve = resolve
      ),
    );
  }

  change(revision: number, dataCentre = "a"): void {
    const items = [{ type: "evacuation", dataCentre }] as const;
    this.#resolve?.({ items, revision, storedChars: dataCentre.length });
  }

  /** Answers a wait with a newer revision and no change. */
  advance(revision: number): void {
    this.#resolve?.({ items: [], revision });
  }

  close(): Promise<void> {
    this.change(0);
    return Promise.resolve();
  }
}

interface Member {
  readonly plane: FakeControlPlane;
  readonly process: relayed.RelayedControlPlane;
  readonly port: number;
}

async function startMember(
  t: ava.ExecutionContext,
  listRelays: () => readonly relayed.Relay[],
  isPeerHost = () => true,
): Promise<Member> {
  const clock = new kernel.SystemClock();
  const plane = new FakeControlPlane();
  const process = new relayed.RelayedControlPlane({
    controlPlane: plane as unknown as ports.ControlPlane,
    clock,
    log: new logs.DecisionLog(clock, {}, {
      write: (_, onDone) => onDone(null),
    }),
    telemetry: new telemetry.Telemetry(),
    listRelays,
    isPeerHost,
  });
  const port = await process.serveChanges({ host: HOST, port: 0 }) as number;
  t.teardown(() => process.close());
  await process.readAll();
  return { plane, process, port };
}

function wait(
  { process }: Member,
  options: {
    signal?: AbortSignal;
    isConfirmation?: boolean;
    afterRevision?: number;
  } = {},
): Promise<kernel.Outcome<ports.ControlUpdate>> {
  return process.waitForChanges(
    options.afterRevision ?? 10,
    WAIT_MS,
    options.signal ?? new AbortController().signal,
    options.isConfirmation,
  );
}

test("a change that the watcher learns of reaches the others without a call of theirs", async (t) => {
  const watcher = await startMember(t, () => []);
  const relay = { name: "watcher", host: HOST, port: watcher.port };
  const follower = await startMember(t, () => [relay]);
  t.true(follower.process.isRelayed);
  const followed = wait(follower);
  const watched = wait(watcher);
  watcher.plane.change(12);
  const direct = (await watched)._unsafeUnwrap();
  t.is(direct.isRelayed, undefined);
  const update = (await followed)._unsafeUnwrap();
  t.true(update.isRelayed);
  t.is(update.revision, 12);
  t.deepEqual(update.items, [{ type: "evacuation", dataCentre: "a" }]);
  t.is(follower.plane.waits, 0);
});

test("a wait that is to confirm the view goes to the control plane itself", async (t) => {
  const watcher = await startMember(t, () => []);
  const relay = { name: "watcher", host: HOST, port: watcher.port };
  const follower = await startMember(t, () => [relay]);
  const confirmed = wait(follower, { isConfirmation: true });
  follower.plane.change(11);
  t.is((await confirmed)._unsafeUnwrap().isRelayed, undefined);
  t.is(follower.plane.waits, 1);
});

test("a relay that refuses connections is left for the control plane", async (t) => {
  const server = http.createServer();
  await new Promise<void>((resolve) => server.listen(0, HOST, () => resolve()));
  const { port } = server.address() as net.AddressInfo;
  await new Promise<void>((resolve) => server.close(() => resolve()));
  const follower = await startMember(
    t,
    () => [{ name: "gone", host: HOST, port }],
  );
  const followed = wait(follower);
  while (follower.plane.waits === 0) await kernel.sleep(5);
  follower.plane.change(13);
  t.is((await followed)._unsafeUnwrap().revision, 13);
  t.false(follower.process.isRelayed);
});

// Guards against a process that keeps what a faulty relay sends until its memory is full.
test("a relay that sends an answer without end is left for the control plane", async (t) => {
  const endless = http.createServer((_request, response) => {
    const timer = setInterval(() => response.write("x".repeat(65_536)), 10);
    response.once("close", () => clearInterval(timer));
  });
  await new Promise<void>((resolve) =>
    endless.listen(0, HOST, () => resolve())
  );
  t.teardown(() => {
    endless.close();
    endless.closeAllConnections();
  });
  const { port } = endless.address() as net.AddressInfo;
  const follower = await startMember(
    t,
    () => [{ name: "endless", host: HOST, port }],
  );
  const followed = wait(follower);
  while (follower.plane.waits === 0) await kernel.sleep(5);
  follower.plane.change(13);
  t.is((await followed)._unsafeUnwrap().revision, 13);
  t.false(follower.process.isRelayed);
});

test("a silent relay is left when its poll is interrupted, and the next one is asked", async (t) => {
  const silent = http.createServer(() => {});
  await new Promise<void>((resolve) => silent.listen(0, HOST, () => resolve()));
  t.teardown(() => {
    silent.close();
    silent.closeAllConnections();
  });
  const { port } = silent.address() as net.AddressInfo;
  const watcher = await startMember(t, () => []);
  const follower = await startMember(t, () => [
    { name: "silent", host: HOST, port },
    { name: "watcher", host: HOST, port: watcher.port },
  ]);
  const interruption = new AbortController();
  const interrupted = wait(follower, { signal: interruption.signal });
  await kernel.sleep(50);
  interruption.abort();
  t.true((await interrupted).isErr());
  const followed = wait(follower);
  const watched = wait(watcher);
  watcher.plane.change(14);
  await watched;
  t.is((await followed)._unsafeUnwrap().revision, 14);
  t.is(follower.plane.waits, 0);
});

test("a watcher that has lost earlier changes, or has too much to tell, sends the others to the control plane", async (t) => {
  const watcher = await startMember(t, () => []);
  const relay = { name: "watcher", host: HOST, port: watcher.port };
  const watched = wait(watcher);
  watcher.plane.change(15, "x".repeat(40_000));
  await watched;
  const follower = await startMember(t, () => [relay]);
  const followed = wait(follower);
  while (follower.plane.waits === 0) await kernel.sleep(5);
  follower.plane.change(16);
  t.is((await followed)._unsafeUnwrap().isRelayed, undefined);
});

// Guards against LOST: changes were kept by number, whatever their size, until the heap was full.
for (const chars of [300, 20_000, 800_000]) {
  test(`what is kept of changes of ${chars} characters fits into one answer`, async (t) => {
    const watcher = await startMember(t, () => []);
    for (let revision = 11; revision <= 210; revision += 1) {
      const watched = wait(watcher, { afterRevision: revision - 1 });
      watcher.plane.change(revision, "x".repeat(chars));
      await watched;
    }
    const { keptChanges, keptChars } = watcher.process.relayState;
    t.true(keptChars <= MAX_ANSWER_CHARS, `${keptChars} characters`);
    t.is(keptChanges > 0, chars < MAX_ANSWER_CHARS);
  });
}

// Guards against CONFIG: a change that no relay can pass on must not leave a poll waiting.
test("a poll that waits while a large change comes goes on at the control plane at once, and later changes are relayed", async (t) => {
  const watcher = await startMember(t, () => []);
  const relay = { name: "watcher", host: HOST, port: watcher.port };
  const follower = await startMember(t, () => [relay]);
  const followed = wait(follower);
  while (watcher.process.relayState.polls === 0) await kernel.sleep(5);
  const watched = wait(watcher);
  watcher.plane.change(11, "x".repeat(800_000));
  await watched;
  while (follower.plane.waits === 0) await kernel.sleep(5);
  follower.plane.change(11);
  t.is((await followed)._unsafeUnwrap().isRelayed, undefined);
  const later = await startMember(t, () => [relay]);
  const laterFollowed = wait(later, { afterRevision: 11 });
  const laterWatched = wait(watcher, { afterRevision: 11 });
  watcher.plane.change(12);
  await laterWatched;
  const update = (await laterFollowed)._unsafeUnwrap();
  t.true(update.isRelayed);
  t.deepEqual(update.items, [{ type: "evacuation", dataCentre: "a" }]);
  t.is(later.plane.waits, 0);
});

test("changes without items are relayed with the next change", async (t) => {
  const watcher = await startMember(t, () => []);
  const relay = { name: "watcher", host: HOST, port: watcher.port };
  const watched = wait(watcher);
  watcher.plane.advance(11);
  await watched;
  const follower = await startMember(t, () => [relay]);
  const followed = wait(follower);
  const watchedAgain = wait(watcher, { afterRevision: 11 });
  watcher.plane.change(12);
  await watchedAgain;
  t.is((await followed)._unsafeUnwrap().revision, 12);
  t.is(follower.plane.waits, 0);
});

test("a process that is not announced is not told", async (t) => {
  const watcher = await startMember(t, () => [], () => false);
  const relay = { name: "watcher", host: HOST, port: watcher.port };
  const stranger = await startMember(t, () => [relay]);
  const followed = wait(stranger);
  while (stranger.plane.waits === 0) await kernel.sleep(5);
  stranger.plane.change(17);
  t.is((await followed)._unsafeUnwrap().isRelayed, undefined);
});

test("a process whose port is taken goes on without telling others", async (t) => {
  const watcher = await startMember(t, () => []);
  const late = await startMember(t, () => []);
  const address = { host: HOST, port: watcher.port };
  t.is(await late.process.serveChanges(address), undefined);
});
