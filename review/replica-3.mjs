/**
 * A model replica as a process of its own: streams events without length or chunks,
 * one run at a time for each slot, and refuses what is beyond its slots.
 */
import * as http from "node:http";

const [id, slotsText, eventsText, gapText] = process.argv.slice(2);
const slots = Number(slotsText);
const events = Number(eventsText);
const gapMs = Number(gapText);
let running = 0;

function tell(text) {
  process.stdout.write(`${text}\n`);
}

const server = http.createServer(async (request, response) => {
  request.resume();
  const attempt = request.headers["x-jackdawbank-attempt-id"] ?? "";
  const from = Number(request.headers["last-event-id"] ?? 0);
  const answered = { "x-jackdawbank-attempt-id": attempt };
  if (request.headers["x-jackdawbank-expected-instance"] !== id) {
    response.writeHead(421, { "x-jackdawbank-not-executed": "1" }).end();
    return;
  }
  if (running >= slots) {
    tell(`refuses ${attempt} as full (Last-Event-Id ${from})`);
    response.writeHead(503, {
      ...answered,
      "x-jackdawbank-not-executed": "1",
      "content-length": "0",
    }).end();
    return;
  }
  running += 1;
  response.once("close", () => running -= 1);
  tell(`runs ${attempt} (Last-Event-Id ${from})`);
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(200, {
    ...answered,
    "x-jackdawbank-response-signature": `${id}.${attempt}`,
    "content-type": "text/event-stream",
  });
  for (let event = from + 1; event <= events; event += 1) {
    response.write(`id: ${event}\ndata: piece ${event} of ${events}\n\n`);
    tell(`wrote event ${event} of ${attempt}`);
    await new Promise((resolve) => setTimeout(resolve, gapMs));
    if (response.destroyed) return;
  }
  response.end();
  tell(`ended ${attempt}`);
});
server.listen(0, "127.0.0.1", () => tell(`port ${server.address().port}`));
