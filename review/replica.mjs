/** Stand-in for a replica, as PROTOCOL.md describes it; a case gives the answers. */
import * as http from "node:http";

const HEARTBEAT_MS = 1_200;
const NOT_EXECUTED = { "x-jackdawbank-not-executed": "1" };

export class Replica {
  #sequence = 0;
  #timer;
  #server = http.createServer((request, response) => {
    void this.#serve(request, response);
  });

  /**
   * `answer` gets the request's fields and the response to write; it is called only
   * for requests that the replica runs.
   */
  constructor({ id, service, store, record, answer, version = "v1" }) {
    Object.assign(this, { id, service, store, record, answer, version });
    this.slots = 32;
    this.born = Date.now();
    // Longer than any pause of a case, so that no idle connection closes under a request.
    this.#server.keepAliveTimeout = 60_000;
  }

  async listen(host = "127.0.0.1") {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
    this.#beat();
    this.#timer = setInterval(() => this.#beat(), HEARTBEAT_MS);
  }

  close() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #beat() {
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: "a",
      version: this.version,
      slots: this.slots,
      state: "ready",
      coldRemainingMs: 0,
      sequence: this.#sequence++,
      born: this.born,
    });
  }

  async #serve(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      // The sender closed the connection before its request was complete: nothing runs.
      return;
    }
    const { headers } = request;
    const attempt = headers["x-jackdawbank-attempt-id"];
    if (attempt === undefined) {
      response.writeHead(400, NOT_EXECUTED).end();
      return;
    }
    const echo = { "x-jackdawbank-attempt-id": attempt };
    const expected = headers["x-jackdawbank-expected-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { ...NOT_EXECUTED, ...echo }).end();
      return;
    }
    this.record("run", { attempt, replica: this.id, path: request.url });
    await this.answer({
      attempt,
      request,
      response,
      lastEventId: Number(headers["last-event-id"] ?? 0),
      headers: {
        ...echo,
        "x-jackdawbank-response-signature": `sig.${this.id}.${attempt}`,
      },
    });
  }
}
