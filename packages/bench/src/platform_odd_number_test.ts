/** Tests that numbers of callers, however large, do not spoil the accounts of replicas. */
import * as ava from "ava";
import * as harnesses from "./platform_harness.ts";

const { ROUTES, DRAFT, withHarness } = harnesses;
// Serial, because concurrent tests would distort the delays that they check.
const test = ava.default.serial;
const ODD_CALLS = 4;
const LONG_PROMPT_TOKENS = 40_000;
/** No engine reads prompts faster. */
const MAX_TOKENS_PER_MS = 1_000;
const HUGE = "9".repeat(400);

// Guards against LOST: after prompts of an odd size, a service's engines counted as so fast that no
// prompt was expected to take any time, and replicas were chosen without a look at their load.
for (
  const { what, headers } of [
    { what: "prompt", headers: { "x-jackdawbank-token-usage": "1e308,80" } },
    { what: "prompt", headers: { "x-jackdawbank-token-usage": `${HUGE},80` } },
    { what: "output", headers: { "x-jackdawbank-token-usage": `600,${HUGE}` } },
    {
      what: "part of a prompt",
      headers: { "x-jackdawbank-prefix-hash": `a1:${HUGE},b2:100` },
    },
    {
      what: "prompt",
      headers: { "x-jackdawbank-token-usage": "-1e308,-5" },
    },
  ]
) {
  const size = Object.values(headers).join().slice(0, 12);
  test(`prompts are expected to take time after requests with an odd size of their ${what}: ${size}`, (t) =>
    withHarness(async (harness) => {
      await harness.addReplica("i-1", "llm", () => ({
        type: "stream",
        events: 3,
        delayMs: 60,
        confidence: 90,
      }));
      await harness.start();
      const odd = { ...DRAFT, headers: { ...DRAFT.headers, ...headers } };
      for (let call = 0; call < ODD_CALLS; call += 1) {
        t.is((await harness.call(ROUTES.draft, odd)).status, 200);
      }
      const calls = ["d4", "e5"].map((part) =>
        harness.call(ROUTES.draft, {
          ...DRAFT,
          headers: {
            ...DRAFT.headers,
            "x-jackdawbank-token-usage": `${LONG_PROMPT_TOKENS},80`,
            "x-jackdawbank-prefix-hash": `${part}:${LONG_PROMPT_TOKENS}`,
          },
        })
      );
      await Promise.all(calls);
      const [first, second] = harness.findLogLines("attempt.sent").slice(-2)
        .map((line) => Number(line["pendingMs"] ?? NaN)) as [number, number];
      const expectedMs = LONG_PROMPT_TOKENS / MAX_TOKENS_PER_MS;
      t.true(first >= expectedMs, `${first} ms`);
      t.true(second >= first + expectedMs, `${second} ms`);
    }));
}
