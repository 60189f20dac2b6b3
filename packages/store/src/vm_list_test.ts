/** Tests that one odd entry of the list of VMs does not hide the others. */
import * as ava from "ava";
import * as http from "node:http";
import type * as net from "node:net";
import * as vmLists from "./vm_list.ts";

const test = ava.default;
const VM = {
  id: "upstream-1",
  role: "upstream",
  dataCentre: "a",
  meshAddress: "10.0.0.5:7000",
  adminAddress: "10.0.0.5:7001",
  state: "live",
};
const OTHER_VM = { ...VM, id: "upstream-2" };

/** Reads the list from a server that replies with some text. */
async function read(t: ava.ExecutionContext, reply: string) {
  const server = http.createServer((_request, response) => {
    response.end(reply);
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as net.AddressInfo;
  const client = new vmLists.HttpVmListClient(`http://127.0.0.1:${port}`);
  t.teardown(async () => {
    await client.close();
    server.close();
  });
  return await client.read();
}

// Guards against LOST: one entry of another writer made the whole list unreadable, or, with an
// address that is none, ended the task that follows it.
for (
  const odd of [
    { ...VM, id: "odd", meshAddress: "10.0.0.5:99999" },
    { ...VM, id: "odd", meshAddress: "10.0.0.5:0" },
    { ...VM, id: "odd", meshAddress: "nowhere" },
    { ...VM, id: "odd", adminAddress: "a b:80" },
    { ...VM, id: "odd", state: "confused" },
    { ...VM, id: 7 },
    null,
    [[[[]]]],
  ]
) {
  test(`the other VMs are listed beside ${JSON.stringify(odd)}`, async (t) => {
    const listed = await read(t, JSON.stringify({ vms: [VM, odd, OTHER_VM] }));
    t.deepEqual(
      listed._unsafeUnwrap().map(({ id }) => id),
      [VM.id, OTHER_VM.id],
    );
  });
}

test("a reply that is no list is an error", async (t) => {
  const listed = await read(t, '{"vms":7}');
  t.is(listed._unsafeUnwrapErr().kind, "store-nonsense");
});
