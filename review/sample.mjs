/** Configuration of a small installation: one desk of a plain service and one model service. */
import { KEY } from "./scene.mjs";

const SHARED = {
  hostname: "shop.example",
  priority: 1,
  public: false,
};

export const ORDER = "/order/";
export const CHECK = "/check/";
export const REPORT = "/report/";
export const DRAFT = "/draft/";
export const TAG = "/tag/";

/** Builds the configuration; `streams` overrides fields of the streaming routes. */
export function buildConfiguration({ version = 1, streams = {} } = {}) {
  return {
    version,
    routes: [
      {
        ...SHARED,
        name: "r-order",
        pathPrefix: ORDER,
        type: "non_idempotent",
        service: "desk",
        timeoutMs: 800,
        targetLatencyMs: 150,
        maxAttempts: 1,
      },
      {
        ...SHARED,
        name: "r-check",
        pathPrefix: CHECK,
        type: "idempotent",
        service: "desk",
        timeoutMs: 800,
        targetLatencyMs: 150,
        maxAttempts: 2,
      },
      {
        ...SHARED,
        name: "r-report",
        pathPrefix: REPORT,
        type: "idempotent",
        service: "desk",
        timeoutMs: 20_000,
        targetLatencyMs: 3_000,
        maxAttempts: 2,
      },
      ...[[DRAFT, "r-draft", 20_000], [TAG, "r-tag", 4_000]].map((
        [pathPrefix, name, timeoutMs],
      ) => ({
        ...SHARED,
        name,
        pathPrefix,
        type: "streaming",
        service: "llm",
        timeoutMs,
        targetLatencyMs: 1_500,
        maxAttempts: 3,
        sizes: ["small", "large"],
        sessionAffinity: true,
        streamResume: true,
        gapTargetMs: 1_200,
        ...streams,
      })),
    ],
    services: [
      { name: "desk", healthPath: "/healthz", maxConnections: 96 },
      {
        name: "llm",
        healthPath: "/healthz",
        maxConnections: 230,
        engine: {
          slots: 32,
          kvCapacity: 604_348,
          models: [{ name: "small", cost: 0.02 }, { name: "large", cost: 0.3 }],
        },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeoutMs: 5_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: "lodge", apiKeys: [KEY] }],
  };
}

/** Headers of a request to a model service; `number` tells its prompt from others. */
export function buildPromptHeaders(number) {
  const parts = [
    `a${number % 16}:100`,
    `b${number % 64}:400`,
    `c${number}:100`,
  ];
  return {
    "x-jackdawbank-model": "*",
    "x-jackdawbank-token-usage": "600,80",
    "x-jackdawbank-prefix-hash": parts.join(","),
  };
}
