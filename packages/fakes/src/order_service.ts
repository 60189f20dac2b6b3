/** Stand-in for an order service that counts the runs of each order id. */
import * as hono from "hono";
import * as listening from "./listen.ts";

/** Behaviour of the service; `POST /control` replaces single fields. */
export interface OrderSettings {
  readonly capacity: number;
  readonly delayMs: number;
}

const DEFAULT_SETTINGS: OrderSettings = { capacity: 16, delayMs: 5 };

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

export class FakeOrderService {
  readonly #runsByOrder = new Map<string, number>();
  #settings: OrderSettings;

  constructor(settings: Partial<OrderSettings>) {
    this.#settings = { ...DEFAULT_SETTINGS, ...settings };
  }

  buildApp(): hono.Hono {
    const app = new hono.Hono();
    app.post("/control", async (context) => {
      this.#settings = {
        ...this.#settings,
        ...await context.req.json() as Partial<OrderSettings>,
      };
      return context.json(this.#settings);
    });
    app.get(
      "/control/runs",
      (context) =>
        context.json({ runs: Object.fromEntries(this.#runsByOrder) }),
    );
    app.get(
      "/state",
      (context) =>
        context.json({ serves: [], capacity: this.#settings.capacity }),
    );
    app.post("/orders", async (context) => {
      const { id } = await context.req.json() as { id: string };
      this.#runsByOrder.set(id, (this.#runsByOrder.get(id) ?? 0) + 1);
      await sleep(this.#settings.delayMs);
      return context.json({ id, state: "accepted" }, 201);
    });
    app.get("/orders/:id", (context) => {
      const id = context.req.param("id");
      return context.json({ id, runs: this.#runsByOrder.get(id) ?? 0 });
    });
    return app;
  }
}

/** Starts the stand-in; port 0 picks a free port. */
export function startOrderService(
  settings: Partial<OrderSettings>,
  port = 0,
): Promise<listening.FakeServer> {
  return listening.listen(new FakeOrderService(settings).buildApp(), port);
}
