/** Limits of the daemon's HTTP listeners, which share the memory and the descriptors of the process. */
import * as admin from "@jackdawbank/admin";
import type * as config from "@jackdawbank/config";
import type * as kernel from "@jackdawbank/kernel";
import type * as mesh from "@jackdawbank/mesh";
import * as router from "@jackdawbank/router";
import type * as daemonSettings from "./settings.ts";

const BYTES_PER_MB = 1_048_576;
const DEFAULT_MAX_BODY_BYTES = BYTES_PER_MB;
const MAX_HEADER_BYTES = 16_384;
/** Time for the head of a request. */
const HEADER_TIMEOUT_MS = 10_000;
/** Time for a body beyond that, and of a connection between two requests. */
const IDLE_TIMEOUT_MS = 30_000;

/** Guards of one process. */
export class ListenerGuards {
  readonly #resources: router.CallerResources;

  constructor(
    services: kernel.KernelServices,
    { memoryMb, fileDescriptors }: Pick<
      daemonSettings.CommonSettings,
      "memoryMb" | "fileDescriptors"
    >,
  ) {
    this.#resources = new router.CallerResources({
      clock: services.clock,
      telemetry: {
        countEvent: (event) => services.metrics.increment(event),
      },
      processLimits: {
        memoryBytes: memoryMb === undefined
          ? undefined
          : memoryMb * BYTES_PER_MB,
        fileDescriptors,
      },
    });
  }

  /** What is held, by name. */
  readGauges(): Readonly<Record<string, number>> {
    return this.#resources.readGauges();
  }

  /** Guard of the callers' listener, with the bundle's limit of bodies. */
  createCallerGuard(holder: config.BundleHolder): router.RequestGuard {
    return this.#create(() =>
      holder.index?.bundle.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES
    );
  }

  createAdminGuard(): router.RequestGuard {
    return this.#create(() => admin.MAX_BUNDLE_REQUEST_BYTES);
  }

  /** Guard of the mesh listener: connections that are not authenticated give way to new ones. */
  createMeshGuard(): mesh.ConnectionGuard {
    const { connections } = this.#resources;
    return {
      watch: (server) => this.#resources.watch(server),
      keep: (socket) => void connections.startRequest(socket, () => {}),
      end: (socket) => connections.endSoon(socket),
    };
  }

  close(): void {
    this.#resources.close();
  }

  #create(getMaxBodyBytes: () => number): router.RequestGuard {
    return new router.RequestGuard(this.#resources, {
      maxHeaderBytes: MAX_HEADER_BYTES,
      headerTimeoutMs: HEADER_TIMEOUT_MS,
      idleTimeoutMs: IDLE_TIMEOUT_MS,
      getMaxBodyBytes,
    });
  }
}
