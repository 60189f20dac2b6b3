/** Runs one of the product's own listeners in the test's process. */
import type * as ava from "ava";
import type * as hono from "hono";
import * as admin from "@jackdawbank/admin";
import * as kernel from "@jackdawbank/kernel";
import * as router from "@jackdawbank/router";

/** Starts a listener with a guard of its own; the test closes it. */
export async function listenGuarded(
  t: ava.ExecutionContext,
  app: hono.Hono,
  maxBodyBytes: number,
): Promise<admin.HttpListener> {
  const resources = new router.CallerResources({
    clock: new kernel.SystemClock(),
    telemetry: { countEvent: () => {} },
  });
  t.teardown(() => resources.close());
  const guard = new router.RequestGuard(resources, {
    maxHeaderBytes: 8_192,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 3_000,
    getMaxBodyBytes: () => maxBodyBytes,
  });
  const listening = await admin.listenHttp(
    app,
    { host: "127.0.0.1", port: 0 },
    { guard, renderRefusal: admin.renderAdminRefusal },
  );
  return listening._unsafeUnwrap();
}
