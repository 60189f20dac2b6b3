/** Stand-in for the platform's VM list, which shows changes late, and for its ratings. */
import * as hono from "hono";
import * as listening from "./listen.ts";

interface Rating {
  readonly number: number;
  readonly requestId: string;
  readonly score: number;
}

/**
 * Builds the server of the VM list and the ratings. The first VM list is
 * visible at once; later ones become visible `lagMs` after they were written.
 */
export function buildVmListApp(
  options: { readonly lagMs: number },
): hono.Hono {
  const writes: { readonly atMs: number; readonly vms: readonly unknown[] }[] =
    [];
  const ratings: Rating[] = [];
  const app = new hono.Hono();
  app.put("/vms", async (context) => {
    const { vms } = await context.req.json() as { vms: readonly unknown[] };
    const atMs = writes.length === 0 ? 0 : Date.now();
    writes.push({ atMs, vms });
    return context.json({ vms });
  });
  app.get("/vms", (context) => {
    const visible = writes.findLast((write) =>
      write.atMs + options.lagMs <= Date.now()
    );
    return context.json({ vms: visible?.vms ?? [] });
  });
  app.post("/ratings", async (context) => {
    const { requestId, score } = await context.req.json() as Omit<
      Rating,
      "number"
    >;
    ratings.push({ number: ratings.length + 1, requestId, score });
    return context.json({ number: ratings.length });
  });
  app.get("/ratings", (context) => {
    const after = Number(context.req.query("after") ?? 0);
    return context.json({ ratings: ratings.slice(after) });
  });
  return app;
}

/** Starts the stand-in; port 0 picks a free port. */
export function startVmList(
  options: { readonly lagMs: number },
  port = 0,
): Promise<listening.FakeServer> {
  return listening.listen(buildVmListApp(options), port);
}
