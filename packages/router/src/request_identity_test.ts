/** Tests that a request is recognised when it comes again, and is told from all others. */
import test from "ava";
import * as identities from "./request_identity.ts";
import type * as requests from "./request.ts";

const BASE = {
  account: { name: "lodge" },
  method: "POST",
  hostName: "shop.example",
  target: "/check/1?a=1",
  body: Buffer.from("crates"),
  requestId: "one",
};

function identify(overrides: object): string {
  return identities.identifyRequest(
    { ...BASE, ...overrides } as unknown as requests.AdmittedRequest,
  );
}

test("a request that comes again has the same id", (t) => {
  t.is(
    identify({ requestId: "two", body: Buffer.from("crates") }),
    identify({}),
  );
});

test("requests that differ in caller, path or body have different ids", (t) => {
  const others = [
    {},
    { account: undefined },
    { account: { name: "lodge2" } },
    { method: "PUT" },
    { hostName: "other.example" },
    { target: "/check/1?a=2" },
    { body: Buffer.from("crate") },
    { body: Buffer.alloc(0) },
  ].map(identify);
  t.is(new Set(others).size, others.length);
});

test("long bodies that differ at their ends or in length have different ids", (t) => {
  const body = Buffer.alloc(200_000, "x");
  const changed = (at: number) => {
    const copy = Buffer.from(body);
    copy[at] = 1;
    return copy;
  };
  const all = [body, changed(0), changed(199_999), body.subarray(1)]
    .map((each) => identify({ body: each }));
  t.is(new Set(all).size, all.length);
});
