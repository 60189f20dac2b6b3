/** Tests that bundles reach peers, and that few of them wait for a peer that does not read. */
import * as ava from "ava";
import type * as mesh from "@jackdawbank/mesh";
import * as distributors from "./distributor.ts";
import type * as holders from "./holder.ts";

const test = ava.default;

/** A connection whose frames are sent when the test says so. */
class FakeConnection {
  readonly sent: mesh.Frame[] = [];
  isOpen = true;
  #waiting: (() => void)[] = [];

  send(frame: mesh.Frame, onEnd: () => void = () => {}): boolean {
    if (!this.isOpen) return false;
    this.sent.push(frame);
    this.#waiting.push(onEnd);
    return true;
  }

  /** Ends the sends that wait; later ones wait again. */
  drain(): void {
    const ended = this.#waiting;
    this.#waiting = [];
    for (const onEnd of ended) onEnd();
  }

  get payloads(): readonly string[] {
    return this.sent.flatMap((frame) =>
      frame.type === "bundle" ? [frame.signed.payload] : []
    );
  }
}

function start() {
  let revision = 0;
  const holder = {
    get active() {
      const name = `bundle-${revision}`;
      return { verified: { digest: name, signed: { payload: name } } };
    },
    get revision() {
      return revision;
    },
  };
  const distributor = new distributors.BundleDistributor(
    holder as unknown as holders.BundleHolder,
  );
  const fake = new FakeConnection();
  const connection = fake as unknown as mesh.MeshConnection;
  const change = () => {
    revision += 1;
    distributor.sendToAll([connection]);
  };
  return { distributor, fake, connection, change };
}

// Guards against a process that fills its memory with bundles for a peer that does not read.
test("bundles that come while a peer does not read are not queued for it, and it gets the newest", (t) => {
  const { fake, change } = start();
  for (let count = 1; count <= 50; count += 1) change();
  t.deepEqual(fake.payloads, ["bundle-1"]);
  fake.drain();
  t.deepEqual(fake.payloads, ["bundle-1", "bundle-50"]);
  fake.drain();
  t.deepEqual(fake.payloads, ["bundle-1", "bundle-50"]);
});

test("a peer that reads gets each bundle once", (t) => {
  const { distributor, fake, connection, change } = start();
  for (let count = 1; count <= 3; count += 1) {
    change();
    fake.drain();
    distributor.reconcile(connection, count - 1);
    fake.drain();
  }
  t.deepEqual(fake.payloads, ["bundle-1", "bundle-2", "bundle-3"]);
});

test("a bundle that a closed connection did not take is sent on it no more", (t) => {
  const { fake, change } = start();
  change();
  fake.isOpen = false;
  change();
  fake.drain();
  t.deepEqual(fake.payloads, ["bundle-1"]);
});
