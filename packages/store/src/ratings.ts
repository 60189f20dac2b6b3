/** The platform's service that rates answers, some time after they were given. */
import * as kernel from "@jackdawbank/kernel";
import * as neverthrow from "neverthrow";
import * as undici from "undici";
import * as z from "zod";

const TIMEOUT_MS = 1_000;

const ratingSchema = z.object({
  /** Counts up; ratings after a number are asked for. */
  number: z.int().min(1),
  requestId: z.string(),
  /** From 0 to 1. */
  score: z.number().min(0).max(1),
}).readonly();
const listSchema = z.object({ ratings: z.array(ratingSchema).readonly() });

export type Rating = z.infer<typeof ratingSchema>;

/** Source of ratings. */
export interface RatingsClient {
  readAfter(number: number): Promise<kernel.Outcome<readonly Rating[]>>;
  close(): Promise<void>;
}

/** Reads ratings over HTTP. */
export class HttpRatingsClient implements RatingsClient {
  readonly #client: undici.Pool;

  constructor(url: string) {
    this.#client = new undici.Pool(url, { connections: 1 });
  }

  async readAfter(number: number): Promise<kernel.Outcome<readonly Rating[]>> {
    try {
      const response = await this.#client.request({
        method: "GET",
        path: `/ratings?after=${number}`,
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      const parsed = listSchema.safeParse(await response.body.json());
      if (parsed.success) return neverthrow.ok(parsed.data.ratings);
      return kernel.fail(
        "store-nonsense",
        "the ratings do not have the expected form",
      );
    } catch (thrown) {
      return kernel.fail(
        "store-unavailable",
        `ratings: ${kernel.describeThrown(thrown)}`,
      );
    }
  }

  async close(): Promise<void> {
    await this.#client.destroy();
  }
}
