/** The stand-in for etcd: leases and lost replies. */
import * as ava from "ava";
import * as stores from "./etcd_store.ts";

const test = ava.default;

function encode(text: string): string {
  return Buffer.from(text).toString("base64");
}

async function post(
  url: string,
  path: string,
  body: object,
): Promise<Record<string, unknown>> {
  const response = await fetch(`${url}${path}`, {
    method: "POST",
    body: JSON.stringify(body),
  });
  return await response.json() as Record<string, unknown>;
}

test("keys are deleted when their lease expires or is revoked", async (t) => {
  const store = await stores.startEtcdStore();
  t.teardown(() => Promise.all([store.first.close(), store.second.close()]));
  const { url } = store.first;
  const longLease = await post(url, "/v3/lease/grant", { TTL: "60" });
  const shortLease = await post(url, "/v3/lease/grant", { TTL: "0.05" });
  await post(url, "/v3/kv/put", {
    key: encode("a"),
    value: encode("1"),
    lease: longLease["ID"],
  });
  await post(url, "/v3/kv/put", {
    key: encode("b"),
    value: encode("2"),
    lease: shortLease["ID"],
  });
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.is(
    (await post(url, "/v3/kv/range", { key: encode("b") }))["kvs"],
    undefined,
  );
  t.deepEqual(
    await post(url, "/v3/lease/keepalive", { ID: shortLease["ID"] }),
    {
      result: { ID: shortLease["ID"], TTL: "0" },
    },
  );
  t.truthy((await post(url, "/v3/kv/range", { key: encode("a") }))["kvs"]);
  await post(url, "/v3/lease/revoke", { ID: longLease["ID"] });
  t.is(
    (await post(url, "/v3/kv/range", { key: encode("a") }))["kvs"],
    undefined,
  );
});

test("a write whose reply is lost has taken effect", async (t) => {
  const store = await stores.startEtcdStore();
  t.teardown(() => Promise.all([store.first.close(), store.second.close()]));
  const { url } = store.first;
  await post(url, "/control", { loseReplies: 1 });
  await t.throwsAsync(
    post(url, "/v3/kv/put", { key: encode("a"), value: encode("1") }),
  );
  t.truthy((await post(url, "/v3/kv/range", { key: encode("a") }))["kvs"]);
});
