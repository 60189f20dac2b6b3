/**
 * Deadline of an exchange, held outside of it: an exchange that has lost its own
 * end, by whatever fault, does not keep its caller waiting.
 */
import * as shutdowns from "./shutdown.ts";

/** Time after the deadline in which an exchange ends by itself. */
const OVERDUE_MS = 300;
/** Longest delay that a timer of the runtime takes. */
const MAX_TIMER_MS = 2_147_483_647;

/** Thrown for an exchange that has not ended some time after its deadline. */
export class ExchangeOverdueError extends Error {
  constructor() {
    super("the exchange did not end at its deadline");
  }
}

/** Resolves like the exchange; rejects with `ExchangeOverdueError` if it is overdue. */
export function enforceDeadline<T>(
  exchange: Promise<T>,
  remainingMs: number,
): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  const overdue = new Promise<never>((_, reject) => {
    const delayMs = Math.min(MAX_TIMER_MS, remainingMs + OVERDUE_MS);
    timer = setTimeout(async () => {
      // After a delay of this process, the answer may wait to be read.
      await shutdowns.readPending();
      reject(new ExchangeOverdueError());
    }, delayMs);
  });
  return Promise.race([exchange, overdue]).finally(() => clearTimeout(timer));
}
