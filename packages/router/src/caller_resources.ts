/** What callers may take of this process's memory and descriptors. */
import type * as http from "node:http";
import * as v8 from "node:v8";
import * as decisions from "@jackdawbank/decisions";
import type * as kernel from "@jackdawbank/kernel";
import * as callerConnections from "./caller_connections.ts";
import * as budgets from "./memory_budget.ts";
import * as pacedSockets from "./paced_socket.ts";
import type * as ports from "./ports.ts";
import * as smallChunks from "./small_chunks.ts";
import type * as telemetry from "./telemetry.ts";

export interface CallerResourcesOptions {
  readonly clock: kernel.Clock;
  readonly telemetry: Pick<telemetry.Telemetry, "countEvent">;
  /** Limits of this process, if they are known. */
  readonly processLimits?: Pick<
    ports.RouterSettings,
    "memoryBytes" | "fileDescriptors"
  >;
}

/** Memory and connections of all callers. */
export class CallerResources {
  readonly budget: budgets.MemoryBudget;
  readonly connections: callerConnections.CallerConnections;
  readonly smallChunkBodies = new smallChunks.SmallChunkBodies();

  constructor({ clock, telemetry, processLimits }: CallerResourcesOptions) {
    this.budget = new budgets.MemoryBudget({
      limitBytes: decisions.computeMemoryBudget(processLimits?.memoryBytes),
      callerHeapBytes: decisions.computeCallerHeap(
        v8.getHeapStatistics().heap_size_limit,
      ),
      heapBytes: decisions.computeHeapBytes(processLimits?.memoryBytes),
      clock,
      onYield: ({ stage }, reason) =>
        telemetry.countEvent(`caller.${stage}.${reason}`),
    });
    this.connections = new callerConnections.CallerConnections({
      maxConnections: decisions.computeCallerConnections(
        processLimits?.fileDescriptors,
      ),
      onOpened: () => this.budget.openConnection(),
      onClosed: () => this.budget.closeConnection(),
      mayReadAhead: () => this.budget.mayReadAhead,
      holdAhead: (addedBytes) => this.budget.addAhead(addedBytes),
      onRefused: (reason) => telemetry.countEvent(`caller.closed.${reason}`),
    });
  }

  /** Bounds the connections of a server; `onConnection` is called for each new one. */
  watch(
    server: http.Server,
    onConnection: (socket: pacedSockets.CallerSocket) => void = () => {},
  ): void {
    pacedSockets.paceConnections(server, (socket) => {
      this.connections.accept(socket);
      onConnection(socket);
    });
  }

  /** What is held, by name of the gauge. */
  readGauges(): Readonly<Record<string, number>> {
    const { receiving, running, answering } = this.budget.bytesByStage;
    return {
      held_bytes_receiving: receiving,
      held_bytes_running: running,
      held_bytes_answering: answering,
      held_bytes_ahead: this.budget.aheadBytes,
      held_bytes_heap: this.budget.heapBytes,
      held_bytes: this.budget.heldBytes,
      held_bytes_limit: this.budget.limitBytes,
      caller_connections: this.connections.size,
    };
  }

  close(): void {
    this.budget.close();
  }
}
