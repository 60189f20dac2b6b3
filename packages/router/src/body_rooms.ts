/**
 * Reserves room for large bodies at replicas, whose memory all processes fill. A
 * process counts the body as its own, tells that to the replica's owner, and then
 * asks it for what the others have there. `decisions.fitsReplica` decides.
 */
import type * as bundle from "@jackdawbank/bundle";
import * as decisions from "@jackdawbank/decisions";
import * as admissions from "./admission.ts";
import type * as fleets from "./fleet.ts";
import type * as logs from "./decision_log.ts";
import * as groups from "./replica_group.ts";
import type * as replicas from "./replica_table.ts";
import type * as requests from "./request.ts";
import type * as sends from "./send.ts";
import type * as telemetry from "./telemetry.ts";

/** Replicas at which room is tried to be reserved for one request, one after the other. */
const MAX_RESERVATIONS = 4;
/** Replicas that are asked once more for their bodies where none seemed to have room. */
const MAX_REPEATED_QUESTIONS = 32;
/** Largest body until a configuration is known. */
const DEFAULT_MAX_BODY_BYTES = 1_048_576;

type LoadFleet = Pick<fleets.Fleet, "loads" | "owners" | "size">;

/** What this process knows of the bodies of all processes, by replica. */
export class BodyAccounts implements groups.ReplicaBodies {
  readonly #getFleet: () => LoadFleet;
  readonly #getRouteIndex: () => bundle.RouteIndex | undefined;

  constructor(
    getFleet: () => LoadFleet,
    getRouteIndex: () => bundle.RouteIndex | undefined,
  ) {
    this.#getFleet = getFleet;
    this.#getRouteIndex = getRouteIndex;
  }

  get maxBodyBytes(): number {
    return this.#getRouteIndex()?.table.limits.maxBodyBytes ??
      DEFAULT_MAX_BODY_BYTES;
  }

  readBodies(replicaKey: number): decisions.BodyAccount | undefined {
    const answered = this.#getFleet().loads?.readOthers(replicaKey);
    return answered && { type: "answered", othersBytes: answered.heldBytes };
  }

  /** Tells a replica's owner what this process has there, and asks for what others have. */
  async ask(replicaKey: number): Promise<decisions.BodyAccount> {
    const answered = await this.#getFleet().loads?.tellAndAsk(replicaKey);
    return answered === undefined
      ? this.buildSilentAccount(replicaKey)
      : { type: "answered", othersBytes: answered.heldBytes };
  }

  buildSilentAccount(replicaKey: number): decisions.BodyAccount {
    const { owners, size } = this.#getFleet();
    const rank = owners.findOwnRank(replicaKey);
    return { type: "silent", processes: size, rank };
  }
}

/** Dependencies of the rooms. */
export interface BodyRoomsOptions {
  readonly table: Pick<replicas.ReplicaTable, "listActive" | "pick">;
  readonly fleet: Pick<fleets.Fleet, "queryLoads">;
  readonly accounts: Pick<BodyAccounts, "ask" | "maxBodyBytes">;
  readonly log: Pick<logs.DecisionLog, "addRoutine">;
  readonly telemetry: Pick<telemetry.Telemetry, "countEvent">;
}

/** Room at a replica, or why the request must not be sent; neither if no replica can be used at all. */
export interface RoomResult {
  readonly reservation?: sends.BodyReservation;
  readonly refusal?: admissions.Refusal;
}

/** Reservations of one process. */
export class BodyRooms {
  readonly #options: BodyRoomsOptions;

  constructor(options: BodyRoomsOptions) {
    this.#options = options;
  }

  /** Reserves room for a request's body at the best replica that has it. */
  async reserve(
    request: Pick<requests.AdmittedRequest, "requestId">,
    placement: groups.PlacementRequest,
  ): Promise<RoomResult> {
    const { telemetry, log } = this.#options;
    const excluded = new Set(placement.excluded);
    let hasAskedAgain = false;
    let tries = 0;
    while (tries < MAX_RESERVATIONS) {
      const state = this.#pick({ ...placement, excluded });
      if (state === undefined) {
        if (hasAskedAgain) break;
        hasAskedAgain = true;
        await this.#askAgain(placement);
        continue;
      }
      tries += 1;
      const reservation = await this.#tryReserve(request, placement, state);
      if (reservation !== undefined) {
        if (tries > 1) telemetry.countEvent("body.moved");
        return { reservation };
      }
      excluded.add(state.entry.id);
    }
    const isRoomMissing = this.#pick({ ...placement, bodyBytes: 0 }) !==
      undefined;
    if (!isRoomMissing) return {};
    telemetry.countEvent("body.refused");
    log.addRoutine("body.refused", {
      requestId: request.requestId,
      service: placement.service,
      bodyBytes: placement.bodyBytes,
      tries,
    });
    return { refusal: admissions.makeNoBodyRoomRefusal(placement.service) };
  }

  /** A replica without a rate goes first, as one with a rate may refuse the request. */
  #pick(
    placement: groups.PlacementRequest,
  ): groups.ReplicaState | undefined {
    const { table } = this.#options;
    const request = { ...placement, mayReserveRoom: true };
    const pick = table.pick(request) ??
      table.pick({ ...request, mayAskForRate: true });
    return pick?.state;
  }

  /** Asks for the bodies at a service's replicas, where older answers say that all are full. */
  async #askAgain(
    { service, excluded, homeDataCentres }: groups.PlacementRequest,
  ): Promise<void> {
    const { table, fleet } = this.#options;
    const keys = table.listActive(service).filter((state) =>
      !excluded.has(state.entry.id) &&
      groups.isAtHome(state, { homeDataCentres })
    ).map(({ key }) => key);
    await fleet.queryLoads(keys.slice(0, MAX_REPEATED_QUESTIONS));
  }

  async #tryReserve(
    { requestId }: Pick<requests.AdmittedRequest, "requestId">,
    { bodyBytes }: groups.PlacementRequest,
    { key, entry, pool }: groups.ReplicaState,
  ): Promise<sends.BodyReservation | undefined> {
    const { accounts, log } = this.#options;
    const release = pool.reserveBody(bodyBytes);
    const account = await accounts.ask(key).catch((thrown: unknown) => {
      release();
      throw thrown;
    });
    const ownBytes = pool.bodyBytesInFlight - bodyBytes;
    const { maxBodyBytes } = accounts;
    const fits = decisions.fitsReplica(
      { bodyBytes, ownBytes, maxBodyBytes },
      account,
    );
    if (fits) return { replicaKey: key, release };
    release();
    log.addRoutine("body.no-room", {
      requestId,
      replica: entry.id,
      bodyBytes,
      ownBytes,
      ...account,
    });
    return undefined;
  }
}
