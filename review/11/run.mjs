/** A part of prompts crashes each replica that begins to write an answer on it: with the first event. */
import * as fs from "node:fs";
import * as http from "node:http";
import * as path from "node:path";
import * as url from "node:url";
import * as scene from "../scene-3.mjs";

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url));
/** With TROUBLE=0 the same is played without the disruption. */
const HAS_TROUBLE = process.env.TROUBLE !== "0";
const REPLICAS = 4;
const RESTART_MS = 2_000;
const STABLE_WINDOW_MS = 3_000;
const SEND_INTERVAL_MS = 1_500;
const DURATION_MS = 30_000;
/** A sound stream, and the time between two of them. */
const SOUND_EVENTS = 50;
const SOUND_GAP_MS = 100;
const SOUND_INTERVAL_MS = 400;
/** Events that the replica has sent when it crashes. */
const EVENTS_BEFORE = Number(process.env.EVENTS_BEFORE ?? 1);
/** The part, which no other prompt has. */
const DEADLY_PART = "dead01";

function writeRecord(text) {
  fs.writeFileSync(path.join(FOLDER, "record.txt"), text);
}

await scene.runCase(writeRecord, async ({ record, use }) => {
  const store = use(new scene.Store());
  await store.start();
  store.put("op/config", scene.buildConfiguration());
  /** Monotonic times of the crashes. */
  const crashes = [];
  /** Attempts by the time at which they reached a replica. */
  const reached = [];

  class Replica {
    #boots = 0;
    #isClosed = false;

    constructor(name) {
      this.name = name;
    }

    async start() {
      this.#boots += 1;
      this.id = `${this.name}-${this.#boots}`;
      this.server = http.createServer((request, response) =>
        this.#serve(request, response)
      );
      this.port = await scene.listen(this.server);
      store.put(`servers/${this.id}`, scene.buildEntry("llm", this.port, 8));
      record.add(`replica ${this.id} is up`);
    }

    async #serve(request, response) {
      request.resume();
      const attempt = request.headers["x-jackdawbank-attempt-id"];
      const isDeadly = request.headers["x-jackdawbank-prefix-hash"]
        ?.startsWith(DEADLY_PART);
      const from = Number(request.headers["last-event-id"] ?? 0);
      if (isDeadly) {
        reached.push({ atMs: performance.now(), attempt });
        record.add(`${this.id} runs ${attempt} (Last-Event-Id ${from})`);
      }
      response.writeHead(200, {
        "x-jackdawbank-attempt-id": attempt,
        "x-jackdawbank-response-signature": `${this.id}.${attempt}`,
        "content-type": "text/event-stream",
      });
      response.flushHeaders();
      const events = isDeadly ? 6 : SOUND_EVENTS;
      for (let event = from + 1; event <= events; event += 1) {
        if (isDeadly && HAS_TROUBLE && event > from + EVENTS_BEFORE) {
          return this.#crash(attempt);
        }
        response.write(`id: ${event}\ndata: piece ${event}\n\n`);
        await scene.sleep(isDeadly ? 10 : SOUND_GAP_MS);
        if (response.destroyed) return;
      }
      response.end();
    }

    #crash(attempt) {
      crashes.push(performance.now());
      record.add(`${this.id} crashes on ${attempt}`);
      const { id, server } = this;
      server.close();
      server.closeAllConnections();
      setTimeout(() => {
        store.remove(`servers/${id}`);
        if (!this.#isClosed) void this.start();
      }, RESTART_MS);
    }

    close() {
      this.#isClosed = true;
      this.server.close();
      this.server.closeAllConnections();
    }
  }

  for (let index = 1; index <= REPLICAS; index += 1) {
    await use(new Replica(`i-${index}`)).start();
  }
  const entry = use(await scene.Entry.start(store));
  await entry.waitUntilReady();
  await scene.sleep(STABLE_WINDOW_MS);
  const send = (firstPart) => {
    // No two of them are alike.
    const body = `prompt ${Math.random()}`;
    const ownPart = Math.floor(Math.random() * 2 ** 32).toString(16);
    const request = scene.renderRequest("/draft/one", {
      "X-Jackdawbank-Deadline-Ms": "20000",
      "X-Jackdawbank-Model": "m",
      "X-Jackdawbank-Token-Usage": "600,80",
      "X-Jackdawbank-Prefix-Hash": `${firstPart}:200,${ownPart}:400`,
      "Content-Length": String(body.length),
    });
    return {
      id: request.id,
      answer: scene.Answer.send(entry, request.text + body),
    };
  };
  const sound = [];
  const soundTimer = setInterval(
    () => sound.push(send("a1")),
    SOUND_INTERVAL_MS,
  );
  use({ close: () => clearInterval(soundTimer) });
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < DURATION_MS) {
    const { id, answer } = send(DEADLY_PART);
    await scene.sleep(SEND_INTERVAL_MS);
    const read = answer.readBody();
    record.add(
      `${id}: the caller got status ${answer.status}, ` +
        `${read.body.toString().match(/^data: /gm)?.length ?? 0} events, ` +
        (read.isComplete ? "complete" : "not complete"),
    );
    answer.socket.destroy();
  }
  clearInterval(soundTimer);
  await scene.sleep(SOUND_EVENTS * SOUND_GAP_MS + 4_000);
  const broken = sound.filter(({ answer }) => !answer.readBody().isComplete);
  for (const { id, answer } of broken) {
    const events = answer.readBody().body.toString().match(/^data: /gm);
    record.add(
      `sound ${id} was broken off after ${events?.length ?? 0} events`,
    );
  }
  record.add(`${broken.length} of ${sound.length} sound streams not answered`);
  const fifth = crashes[4];
  const late = fifth === undefined
    ? []
    : reached.filter(({ atMs }) => atMs > fifth + STABLE_WINDOW_MS);
  record.add(
    `${crashes.length} crashes; ${late.length} sends reached a replica later ` +
      `than ${STABLE_WINDOW_MS} ms after the fifth`,
  );
  return late.length > 3;
});
