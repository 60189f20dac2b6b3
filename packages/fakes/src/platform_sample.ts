/** Sample installation in the platform's formats: configuration, settings file and a request. */
import type * as replicas from "./replica.ts";

export const HOST = "shop.example";
export const KEY = "key-of-lodge";
export const ACCOUNT = "lodge";
/** Path of the platform's readiness probe. */
export const READINESS_PATH = "/-/readyz";

/**
 * Path prefixes of the sample routes. `order` must not be repeated, `check` and
 * `open` may be, `draft` is streamed; `open` needs no key.
 */
export const ROUTES = {
  order: "/order/",
  check: "/check/",
  draft: "/draft/",
  open: "/open/",
} as const;

/** Builds the operator's configuration. */
export function buildConfiguration(
  overrides: Readonly<Record<string, unknown>> = {},
): Readonly<Record<string, unknown>> {
  const shared = { hostname: HOST, priority: 0, public: false };
  return {
    version: 1,
    routes: [
      {
        ...shared,
        name: "order",
        pathPrefix: ROUTES.order,
        type: "non_idempotent",
        service: "desk",
        timeoutMs: 800,
        targetLatencyMs: 150,
        maxAttempts: 1,
      },
      {
        ...shared,
        name: "check",
        pathPrefix: ROUTES.check,
        type: "idempotent",
        service: "desk",
        timeoutMs: 800,
        targetLatencyMs: 150,
        maxAttempts: 2,
      },
      {
        ...shared,
        name: "draft",
        pathPrefix: ROUTES.draft,
        type: "streaming",
        service: "llm",
        timeoutMs: 5_000,
        targetLatencyMs: 500,
        maxAttempts: 3,
        sizes: ["small", "large"],
        sessionAffinity: true,
        streamResume: true,
        gapTargetMs: 400,
      },
      {
        ...shared,
        name: "open",
        pathPrefix: ROUTES.open,
        type: "idempotent",
        service: "desk",
        timeoutMs: 800,
        targetLatencyMs: 150,
        maxAttempts: 2,
        public: true,
      },
    ],
    services: [
      { name: "desk", healthPath: "/healthz", maxConnections: 96 },
      {
        name: "llm",
        healthPath: "/healthz",
        maxConnections: 230,
        engine: {
          slots: 8,
          kvCapacity: 100_000,
          models: [{ name: "small", cost: 0.02 }, { name: "large", cost: 0.3 }],
        },
      },
    ],
    limits: {
      maxHeaderBytes: 8_192,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: ACCOUNT, apiKeys: [KEY], priority: 1 }],
    ...overrides,
  };
}

/** A route of the operator, in our own words. */
export interface SampleRoute {
  readonly name: string;
  readonly pathPrefix: string;
  readonly kind: "non_idempotent" | "idempotent" | "streaming";
  readonly isResumable: boolean;
  readonly isPublic: boolean;
  readonly timeoutMs: number;
}

/** Builds a configuration with these routes; streams go to the engines, all else to the desk. */
export function buildRoutedConfiguration(
  version: number,
  routes: readonly SampleRoute[],
): Readonly<Record<string, unknown>> {
  return buildConfiguration({
    version,
    routes: routes.map((route) => {
      const shared = {
        name: route.name,
        hostname: HOST,
        pathPrefix: route.pathPrefix,
        type: route.kind,
        timeoutMs: route.timeoutMs,
        priority: 0,
        public: route.isPublic,
      };
      if (route.kind !== "streaming") {
        return {
          ...shared,
          service: "desk",
          targetLatencyMs: 300,
          maxAttempts: route.kind === "idempotent" ? 2 : 1,
        };
      }
      return {
        ...shared,
        service: "llm",
        targetLatencyMs: 500,
        maxAttempts: 3,
        sizes: ["small", "large"],
        sessionAffinity: true,
        streamResume: route.isResumable,
        gapTargetMs: 400,
      };
    }),
  });
}

/** Builds the configuration after the account's keys were revoked. */
export function buildRevokedConfiguration(
  version: number,
): Readonly<Record<string, unknown>> {
  return buildConfiguration({
    version,
    tenants: [{ name: ACCOUNT, apiKeys: [] }],
  });
}

/** A request that leaves the choice of the model to the router. */
export const DRAFT = {
  method: "POST",
  body: "prompt",
  headers: {
    "x-jackdawbank-model": "*",
    "x-jackdawbank-token-usage": "600,80",
    "x-jackdawbank-prefix-hash": "a1:100,b2:400,c3:100",
  },
} as const;

export function isSmallModel(request: replicas.ReceivedRequest): boolean {
  return request.headers["x-jackdawbank-model"] === "small";
}

/** Builds the environment variable that names the settings file. */
export function buildEnvironment(
  settingsPath: string,
): Readonly<Record<string, string>> {
  return { JACKDAWBANK_NODE_FILE: settingsPath };
}

const MS_PER_S = 1_000;

/** The machine of a settings file. */
export interface SampleMachine {
  readonly name: string;
  readonly ip: string;
  readonly dataCentre: string;
  readonly graceMs: number;
  /** Without these, the entry works without its peers. */
  readonly internalPorts?: readonly [number, number];
}

const SAMPLE_MACHINE: SampleMachine = {
  name: "edge-1",
  ip: "127.0.0.1",
  dataCentre: "a",
  graceMs: 4_000,
};

/** Renders a settings file in the platform's format. */
export function renderSettings(ports: {
  readonly callers: number;
  readonly readiness: number;
  readonly store: number;
}, machine: SampleMachine = SAMPLE_MACHINE): string {
  const { name, ip, dataCentre, graceMs, internalPorts } = machine;
  const internal = internalPorts === undefined
    ? ""
    : `internalPorts = [${internalPorts.join(",")}]\n`;
  return `
nodeName = "${name}"
ip = "${ip}"
zone = "${dataCentre}"
${internal}[listen]
frontend = "${ip}:${ports.callers}"
readiness = "${ip}:${ports.readiness}"
[bounds]
drainMs = 2000
graceS = ${graceMs / MS_PER_S}
revokeMs = 5000
strictRevocation = true
retryBudgetRatio = 0.9
retryWindowS = 10
retrySlack = 500
exposureShare = 0.15
[platform]
address = "127.0.0.1:${ports.store}"
`;
}
