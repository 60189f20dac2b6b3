/**
 * Holds a request that was read until the responses before it on its connection are
 * written, so that nothing is run whose response the connection may not carry any more.
 */
import * as bodies from "./body_reader.ts";
import type * as budgets from "./memory_budget.ts";

export interface TurnOptions {
  readonly hold: budgets.RequestHold;
  /** Aborts when the connection closes. */
  readonly signal: AbortSignal;
  /** Calls back once the responses before this one are written, or now if they are. */
  readonly waitForTurn: (callback: () => void) => void;
}

/**
 * Resolves with the body when it is the turn of its request, or when the signal aborts.
 * Rejects with `RequestReadError` if the request had to give way to others meanwhile.
 */
export async function holdUntilTurn(
  body: Buffer,
  { hold, signal, waitForTurn }: TurnOptions,
): Promise<Buffer> {
  let heldBody: Buffer | undefined = body;
  let hasTurn = signal.aborted;
  const turn = new Promise<void>((resolve) => {
    const finish = () => {
      hasTurn = true;
      resolve();
    };
    waitForTurn(finish);
    signal.addEventListener("abort", finish, { once: true });
  });
  if (hasTurn) return body;
  hold.begin("receiving", { onYield: () => heldBody = undefined });
  await turn;
  hold.begin("running");
  if (heldBody === undefined) throw bodies.makeOverBudgetError();
  return heldBody;
}
