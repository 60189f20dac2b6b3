/**
 * Store client for the HTTP/JSON gateway of etcd's v3 API. Transactions are
 * limited to compare-and-swap on a single key.
 */
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as z from "zod";
import type * as stores from "./store.ts";

const DEFAULT_TIMEOUT_MS = 1_000;
/** Longest answer of the store; one with more is taken for endless. */
const MAX_ANSWER_BYTES = 32 * 1_048_576;
const MAX_WATCH_BUFFER_CHARS = 8 * 1_048_576;

const keyValueSchema = z.object({
  key: z.string(),
  value: z.string().default(""),
  mod_revision: z.string().default("0"),
});
const rangeSchema = z.object({ kvs: z.array(keyValueSchema).default([]) });
const txnSchema = z.object({
  succeeded: z.boolean().default(false),
  responses: z.array(z.object({ response_range: rangeSchema.optional() }))
    .default([]),
});
const watchSchema = z.object({
  result: z.object({
    created: z.boolean().optional(),
    canceled: z.boolean().optional(),
    events: z.array(
      z.object({ type: z.string().optional(), kv: keyValueSchema }),
    ).default([]),
  }),
});
const ignoredReplySchema = z.looseObject({});

type KeyValue = z.infer<typeof keyValueSchema>;

function encodeBase64(text: string): string {
  return Buffer.from(text).toString("base64");
}

function decodeBase64(text: string): string {
  return Buffer.from(text, "base64").toString();
}

function decodeEntry(pair: KeyValue): stores.StoreEntry {
  return {
    key: decodeBase64(pair.key),
    value: decodeBase64(pair.value),
    modRevision: pair.mod_revision,
  };
}

/** Computes the exclusive end of the range of keys with a prefix, in base64. */
function computeRangeEnd(prefix: string): string {
  const bytes = Buffer.from(prefix);
  const last = bytes.at(-1) ?? 0;
  bytes[bytes.length - 1] = last + 1;
  return bytes.toString("base64");
}

export class EtcdStore implements stores.Store {
  readonly #client: undici.Pool;
  readonly #timeoutMs: number;

  constructor(url: string, timeoutMs = DEFAULT_TIMEOUT_MS) {
    this.#client = new undici.Pool(url, {
      connections: 8,
      connect: kernel.boundAnswers(
        undici.buildConnector({}),
        MAX_ANSWER_BYTES,
      ),
    });
    this.#timeoutMs = timeoutMs;
  }

  async get(
    key: string,
  ): Promise<kernel.Outcome<stores.StoreEntry | undefined>> {
    const range = await this.#post(
      "/v3/kv/range",
      { key: encodeBase64(key) },
      rangeSchema,
    );
    return range.map((found) => found.kvs[0]).map((first) =>
      first && decodeEntry(first)
    );
  }

  async list(
    prefix: string,
  ): Promise<kernel.Outcome<readonly stores.StoreEntry[]>> {
    const body = {
      key: encodeBase64(prefix),
      range_end: computeRangeEnd(prefix),
    };
    const range = await this.#post("/v3/kv/range", body, rangeSchema);
    return range.map((found) => found.kvs.map(decodeEntry));
  }

  async create(
    key: string,
    value: string,
  ): Promise<kernel.Outcome<stores.CreateResult>> {
    const result = await this.#compareAndSwap(key, value, {
      target: "CREATE",
      create_revision: "0",
    });
    return result.andThen((txn): kernel.Outcome<stores.CreateResult> => {
      if (txn.succeeded) return neverthrow.ok({ type: "created" });
      const entry = this.#getConflictingEntry(txn);
      if (entry === undefined) {
        return kernel.fail(
          "store-nonsense",
          "the store rejected a create but returned no existing entry",
        );
      }
      return neverthrow.ok({ type: "exists", entry });
    });
  }

  async replace(
    entry: stores.StoreEntry,
    value: string,
  ): Promise<kernel.Outcome<stores.ReplaceResult>> {
    const compare = { target: "MOD", mod_revision: entry.modRevision };
    const result = await this.#compareAndSwap(entry.key, value, compare);
    return result.map((txn) =>
      txn.succeeded
        ? { type: "replaced" as const }
        : { type: "changed" as const, entry: this.#getConflictingEntry(txn) }
    );
  }

  async removeRange(first: string, end: string): Promise<kernel.Outcome<void>> {
    const body = { key: encodeBase64(first), range_end: encodeBase64(end) };
    const result = await this.#post(
      "/v3/kv/deleterange",
      body,
      ignoredReplySchema,
    );
    return result.map(() => undefined);
  }

  async watchOnce(
    key: string,
    options: {
      readonly afterModRevision: string;
      readonly signal: AbortSignal;
    },
  ): Promise<kernel.Outcome<stores.StoreEntry | undefined>> {
    const start = (BigInt(options.afterModRevision) + 1n).toString();
    const body = {
      create_request: { key: encodeBase64(key), start_revision: start },
    };
    try {
      const response = await this.#client.request({
        method: "POST",
        path: "/v3/watch",
        body: JSON.stringify(body),
        headers: { "content-type": "application/json" },
        signal: options.signal,
        bodyTimeout: 0,
        headersTimeout: this.#timeoutMs,
      });
      if (response.statusCode !== 200) {
        await response.body.dump();
        return kernel.fail(
          "store-unavailable",
          `the store answered with HTTP status ${response.statusCode}`,
        );
      }
      return await this.#readFirstEvent(response.body);
    } catch (thrown) {
      if (options.signal.aborted) return neverthrow.ok(undefined);
      return kernel.fail("store-unavailable", kernel.describeThrown(thrown));
    }
  }

  async close(): Promise<void> {
    await this.#client.destroy();
  }

  async #readFirstEvent(
    body: undici.Dispatcher.ResponseData["body"],
  ): Promise<kernel.Outcome<stores.StoreEntry | undefined>> {
    let text = "";
    for await (const chunk of body) {
      text += String(chunk);
      const lines = text.split("\n");
      text = lines.pop() ?? "";
      if (text.length > MAX_WATCH_BUFFER_CHARS) break;
      for (const line of lines) {
        const parsed = watchSchema.safeParse(JSON.parse(line));
        if (!parsed.success) {
          return kernel.fail(
            "store-nonsense",
            "a watch reply of the store does not have the expected form",
          );
        }
        if (parsed.data.result.canceled === true) {
          body.destroy();
          return kernel.fail("history-lost", "the store canceled the watch");
        }
        const event = parsed.data.result.events.find((other) =>
          other.type !== "DELETE"
        );
        if (event === undefined) continue;
        body.destroy();
        return neverthrow.ok(decodeEntry(event.kv));
      }
    }
    return neverthrow.ok(undefined);
  }

  #getConflictingEntry(
    txn: z.infer<typeof txnSchema>,
  ): stores.StoreEntry | undefined {
    const found = txn.responses[0]?.response_range?.kvs[0];
    return found === undefined ? undefined : decodeEntry(found);
  }

  #compareAndSwap(
    key: string,
    value: string,
    compare: Readonly<Record<string, string>>,
  ): Promise<kernel.Outcome<z.infer<typeof txnSchema>>> {
    const encoded = encodeBase64(key);
    const body = {
      compare: [{ key: encoded, result: "EQUAL", ...compare }],
      success: [{ request_put: { key: encoded, value: encodeBase64(value) } }],
      failure: [{ request_range: { key: encoded } }],
    };
    return this.#post("/v3/kv/txn", body, txnSchema);
  }

  async #post<Schema extends z.ZodType>(
    path: string,
    body: unknown,
    schema: Schema,
  ): Promise<kernel.Outcome<z.infer<Schema>>> {
    let text: string;
    try {
      const response = await this.#client.request({
        method: "POST",
        path,
        body: JSON.stringify(body),
        headers: { "content-type": "application/json" },
        signal: AbortSignal.timeout(this.#timeoutMs),
      });
      text = await response.body.text();
      if (response.statusCode !== 200) {
        return kernel.fail(
          "store-unavailable",
          `the store answered with HTTP status ${response.statusCode}`,
        );
      }
    } catch (thrown) {
      return kernel.fail("store-unavailable", kernel.describeThrown(thrown));
    }
    return parseReply(text, schema);
  }
}

function parseReply<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
): kernel.Outcome<z.infer<Schema>> {
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    if (parsed.success) return neverthrow.ok(parsed.data);
    return kernel.fail(
      "store-nonsense",
      "the reply of the store does not have the expected form",
    );
  } catch {
    return kernel.fail(
      "store-nonsense",
      "the reply of the store is not valid JSON",
    );
  }
}
