/** What a router needs of the program that hosts it, and the ports that it binds. */
import type * as kernel from "@jackdawbank/kernel";
import type * as logs from "./decision_log.ts";
import type * as ports from "./ports.ts";

/** Dependencies that the hosting program provides. */
export interface RouterOptions {
  readonly settings: ports.RouterSettings;
  readonly controlPlane: ports.ControlPlane;
  readonly codec: ports.MessageCodec;
  readonly clock: kernel.Clock;
  readonly log: logs.DecisionLog;
  readonly random: () => number;
  /** Where metrics are served; absent if they are disabled. */
  readonly metrics?: { readonly port: number; readonly path: string };
}

/** Ports that a router listens on. */
export interface RouterPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly metrics: number | undefined;
}
