/** Stand-ins for the platform's VM list, which lags, and for its ratings. */
import * as hono from "hono";
import * as listening from "./listen.ts";

interface Rating {
  readonly number: number;
  readonly requestId: string;
  readonly score: number;
}

/** Builds the stand-in; the list shown is the one put `lagMs` ago or earlier. */
export function buildVmListApp(
  options: { readonly lagMs: number },
): hono.Hono {
  const puts: { readonly atMs: number; readonly vms: readonly unknown[] }[] =
    [];
  const ratings: Rating[] = [];
  const app = new hono.Hono();
  app.put("/vms", async (context) => {
    const { vms } = await context.req.json() as { vms: readonly unknown[] };
    const atMs = puts.length === 0 ? 0 : Date.now();
    puts.push({ atMs, vms });
    return context.json({ vms });
  });
  app.get("/vms", (context) => {
    const shown = puts.findLast((put) =>
      put.atMs + options.lagMs <= Date.now()
    );
    return context.json({ vms: shown?.vms ?? [] });
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

/** Starts the stand-in. */
export function startVmList(
  options: { readonly lagMs: number },
  port = 0,
): Promise<listening.FakeServer> {
  return listening.listen(buildVmListApp(options), port);
}
