/** A case: an entry of another writer holds an address that is none. */
import * as timers from "node:timers/promises";
import * as clients from "../client.mjs";
import * as replicas from "../replica.mjs";
import * as sample from "../sample.mjs";
import * as scenes from "../scene.mjs";

const REQUESTS = 200;
const INTERVAL_MS = 50;
const ODD_ENTRY_AT = 40;
/** Time limit of the clients, as on the sheet of kfr-kigali. */
const CLIENT_WAIT_MS = 1_500;
const ROUTE_TIMEOUT_MS = 800;
const GRACE_MS = 500;
/** Bound of the rule: eight or more requests that last longer, and over a quarter of them. */
const MIN_UNANSWERED = 8;

await scenes.run(async (scene) => {
  const { store, record } = scene;
  const answer = async ({ response, headers }) => {
    await timers.setTimeout(30);
    response.writeHead(200, { ...headers, "content-type": "text/plain" });
    response.end("stock");
  };
  await scene.start({
    configuration: sample.buildConfiguration(),
    replicas: ["i-1", "i-2", "i-3"].map((id) =>
      new replicas.Replica({ id, service: "desk", store, record, answer })
    ),
  });
  const [entry] = scene.entries;
  await timers.setTimeout(1_000);
  const calls = [];
  for (let index = 0; index < REQUESTS; index += 1) {
    if (index === ODD_ENTRY_AT && scenes.hasTrouble) {
      const odd = {
        service: "desk",
        address: "127.0.0.1:99999",
        zone: "a",
        version: "v1",
        slots: 32,
        state: "ready",
        coldRemainingMs: 0,
        sequence: 1,
        born: Date.now(),
      };
      store.put("servers/i-odd", odd);
      record("entry of another writer", odd);
    }
    const isOrder = index % 2 === 0;
    const sent = {
      address: entry.address,
      path: `${isOrder ? sample.ORDER : sample.CHECK}${index}`,
      method: isOrder ? "POST" : "GET",
      body: isOrder ? "crates" : "",
      attempt: `a${index}`,
      key: scenes.KEY,
      waitMs: CLIENT_WAIT_MS,
    };
    record("sent", { attempt: sent.attempt, path: sent.path });
    calls.push(
      clients.call(sent).then((result) => {
        const { attempt, how, status, tookMs } = result;
        record("ended", { attempt, how, status, tookMs });
        return result;
      }),
    );
    await timers.setTimeout(INTERVAL_MS);
  }
  const results = await Promise.all(calls);
  const long = results.filter(({ tookMs }) => tookMs > ROUTE_TIMEOUT_MS);
  const unanswered = long.filter(({ how, tookMs }) =>
    how !== "whole" && tookMs >= ROUTE_TIMEOUT_MS + GRACE_MS
  );
  record("count", {
    requests: results.length,
    longerThanTheRoute: long.length,
    unansweredHalfASecondLater: unanswered.length,
  });
  return unanswered.length >= MIN_UNANSWERED &&
    unanswered.length > long.length / 4;
});
