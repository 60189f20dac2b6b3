/** Client of the platform's ratings service, which rates answers some time after they were sent. */
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as z from "zod";

const REQUEST_TIMEOUT_MS = 1_000;
/** Longest answer; one with more is taken for endless. */
const MAX_ANSWER_BYTES = 16 * 1_048_576;

const ratingSchema = z.object({
  /** Sequence number; clients request the ratings after a given number. */
  number: z.int().min(1),
  requestId: z.string(),
  /** From 0 to 1. */
  score: z.number().min(0).max(1),
}).readonly();
const listSchema = z.object({ ratings: z.array(ratingSchema).readonly() });

export type Rating = z.infer<typeof ratingSchema>;

export interface RatingsClient {
  /** Reads the ratings whose number is greater than the given one. */
  readAfter(number: number): Promise<kernel.Outcome<readonly Rating[]>>;
  close(): Promise<void>;
}

export class HttpRatingsClient implements RatingsClient {
  readonly #client: undici.Pool;

  constructor(url: string) {
    this.#client = new undici.Pool(url, {
      connections: 1,
      connect: kernel.boundAnswers(
        undici.buildConnector({}),
        MAX_ANSWER_BYTES,
      ),
    });
  }

  async readAfter(number: number): Promise<kernel.Outcome<readonly Rating[]>> {
    try {
      const response = await this.#client.request({
        method: "GET",
        path: `/ratings?after=${number}`,
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const parsed = listSchema.safeParse(await response.body.json());
      if (parsed.success) return neverthrow.ok(parsed.data.ratings);
      return kernel.fail(
        "store-nonsense",
        "the reply of the ratings service does not have the expected form",
      );
    } catch (thrown) {
      return kernel.fail(
        "store-unavailable",
        `ratings service: ${kernel.describeThrown(thrown)}`,
      );
    }
  }

  async close(): Promise<void> {
    await this.#client.destroy();
  }
}
