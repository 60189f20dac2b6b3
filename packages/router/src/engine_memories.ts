/**
 * The memory of the engines, in tokens: what a request will take, what all
 * processes' requests take at a replica, and which prompts fit into none.
 */
import type * as bundle from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";
import * as admissions from "./admission.ts";
import type * as groups from "./replica_group.ts";
import type * as requests from "./request.ts";

/** Parts of a request that decide what it takes. */
export type SizedRequest =
  & Pick<requests.AdmittedRequest, "service">
  & {
    readonly route: { readonly name: string };
    readonly fields: Pick<
      requests.AdmittedRequest["fields"],
      "promptTokens" | "expectedOutputTokens"
    >;
  };

/** A stream whose output may exceed what was expected. */
export interface GrowingOutput {
  /** Tokens that the request holds beyond those expected when it was sent. */
  extraTokens: number;
  readonly splitter: { readonly count: number };
}

/** The account of memory that one process reads, and adds to. */
export class EngineMemories {
  readonly #readPeerLoad: groups.LoadSources["readPeerLoad"];
  readonly #lengthsByService = new Map<string, decisions.OutputLengths>();
  #services: ReadonlyMap<string, bundle.RouteTableService> = new Map();

  constructor({ readPeerLoad }: Pick<groups.LoadSources, "readPeerLoad">) {
    this.#readPeerLoad = readPeerLoad;
  }

  setServices(services: ReadonlyMap<string, bundle.RouteTableService>): void {
    this.#services = services;
  }

  /** Tokens that a request takes until its end; 0 where no engine serves it. */
  predictTokens({ service, route, fields }: SizedRequest): number {
    const { promptTokens, expectedOutputTokens } = fields;
    if (this.#findCapacity(service) === undefined) return 0;
    const lengths = this.#findLengths(service);
    return promptTokens +
      lengths.predictTokens(route.name, expectedOutputTokens);
  }

  /** What all processes hold in the memory of a replica. */
  read(
    state: groups.ReplicaState,
    others = this.#readPeerLoad(state.key),
  ): decisions.EngineMemory {
    return {
      heldTokens: state.heldTokens + others.heldTokens,
      runningRequests: state.inFlight + others.running,
      capacityTokens: this.#findCapacity(state.entry.service),
    };
  }

  /** Share of a replica's memory that would be held with one more request. */
  readShare(
    state: groups.ReplicaState,
    neededTokens: number,
    others = this.#readPeerLoad(state.key),
  ): number {
    const memory = this.read(state, others);
    return decisions.computeMemoryShare(memory, neededTokens);
  }

  /** Why a request fits into no replica; absent if it does. */
  findRefusal(
    { service, fields }: SizedRequest,
  ): admissions.Refusal | undefined {
    const capacityTokens = this.#findCapacity(service);
    return decisions.isLargerThanMemory(fields.promptTokens, capacityTokens)
      ? admissions.makeTooLargeRefusal(service)
      : undefined;
  }

  /** Counts the output of a running stream as what it is once it exceeds its estimate. */
  recordOutput(
    { service, fields }: SizedRequest,
    { state, heldTokens }: Pick<groups.SentLoad, "heldTokens"> & {
      readonly state: Pick<groups.ReplicaState, "heldTokens">;
    },
    output: GrowingOutput,
  ): void {
    if (heldTokens === 0) return;
    const tokens = this.#findLengths(service).countTokens(
      output.splitter.count,
    );
    const extraTokens = fields.promptTokens + tokens - heldTokens;
    if (extraTokens <= output.extraTokens) return;
    state.heldTokens += extraTokens - output.extraTokens;
    output.extraTokens = extraTokens;
  }

  /** Learns from the number of events of a whole answer. */
  recordLength({ service, route, fields }: SizedRequest, events: number): void {
    if (this.#findCapacity(service) === undefined) return;
    const hintTokens = fields.expectedOutputTokens;
    this.#findLengths(service).record(route.name, hintTokens, events);
  }

  #findCapacity(service: string): number | undefined {
    return this.#services.get(service)?.engine?.kvCacheTokens;
  }

  #findLengths(service: string): decisions.OutputLengths {
    const existing = this.#lengthsByService.get(service);
    if (existing !== undefined) return existing;
    const lengths = new decisions.OutputLengths();
    this.#lengthsByService.set(service, lengths);
    return lengths;
  }
}
