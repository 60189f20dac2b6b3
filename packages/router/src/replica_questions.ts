/**
 * What other processes are asked before a replica is chosen: the loads of a few
 * candidates, and whether one with a rate may get the request.
 */
import * as decisions from "@jackdawbank/decisions";
import * as colds from "./cold_replicas.ts";
import type * as parts from "./dispatcher_dependencies.ts";
import type * as placements from "./placements.ts";
import type * as groups from "./replica_group.ts";
import type * as requests from "./request.ts";
import type * as sends from "./send.ts";

/** Interval at which the evidence about a plain service's replica is asked for. */
const EVIDENCE_QUERY_INTERVAL_MS = 1_000;
/** Replicas with a rate that are asked for one request, one after the other. */
const MAX_RATE_QUESTIONS = 2;

type QuestionSources = Pick<parts.DispatcherDependencies, "fleet" | "table">;

/** The questions of one process. */
export class ReplicaQuestions {
  readonly #sources: QuestionSources;
  readonly #placements: placements.Placements;

  constructor(sources: QuestionSources, placements: placements.Placements) {
    this.#sources = sources;
    this.#placements = placements;
  }

  /** Asks for the load of replicas not asked yet; resolves with the keys of the known ones. */
  async queryLoads(
    request: requests.AdmittedRequest,
    options: sends.SendOptions,
    askedKeys: ReadonlySet<number>,
  ): Promise<ReadonlySet<number>> {
    const { table, fleet } = this.#sources;
    const askedIds = [...askedKeys].flatMap((key) =>
      table.find(key)?.entry.id ?? []
    );
    const keys = table.listQueryKeys({
      ...this.#placements.build(request, options),
      excluded: new Set([...options.excluded, ...askedIds]),
      mayAskForRate: true,
      mayReserveRoom: true,
    });
    if (
      request.fields.promptTokens > 0 ||
      decisions.isLargeBody(request.body.length)
    ) {
      return new Set(await fleet.queryLoads(keys));
    }
    // A plain request would wait longer for the answers than it gains by them: they
    // serve the next ones, which learn from them which replicas are slow or fail.
    for (const key of keys) {
      fleet.keepLoadFresh(key, EVIDENCE_QUERY_INTERVAL_MS);
    }
    return new Set(keys);
  }

  /** Takes a request at a replica with a rate if that is the best choice and grants it. */
  async takeAtRate(
    request: requests.AdmittedRequest,
    options: sends.SendOptions,
    known: Pick<groups.PlacementRequest, "queriedKeys" | "reservedKey">,
  ): Promise<number | undefined> {
    const { table, fleet } = this.#sources;
    const excluded = new Set(options.excluded);
    for (let questions = 0; questions < MAX_RATE_QUESTIONS; questions += 1) {
      const placement = this.#placements.build(request, {
        ...options,
        excluded,
      });
      const pick = table.pick({
        ...placement,
        ...known,
        mayAskForRate: true,
      });
      if (pick === undefined) break;
      const { key, entry } = pick.state;
      if (fleet.readRate(key) === undefined) break;
      const isPreferred = fleet.isCold(key) &&
        colds.isPreferredWhileCold(
          pick,
          placement,
          table.listActive(request.service),
        );
      if (await fleet.takeRequest(key, placement.reserved, isPreferred)) {
        return key;
      }
      excluded.add(entry.id);
    }
    return undefined;
  }
}
