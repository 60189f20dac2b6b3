/** What a request asks of the replica that is chosen for it, and the version that its session keeps. */
import type * as decisions from "@jackdawbank/decisions";
import type * as parts from "./dispatcher_dependencies.ts";
import * as priorities from "./engine_priority.ts";
import type * as groups from "./replica_group.ts";
import type * as requests from "./request.ts";
import type * as sends from "./send.ts";
import type * as speedRecorders from "./speed_recorder.ts";

type PlacementSources = Pick<
  parts.DispatcherDependencies,
  "clock" | "fleet" | "places" | "rollouts" | "sessions" | "table"
>;

/** Builds the placements of one process's requests. */
export class Placements {
  readonly #sources: PlacementSources;
  readonly #speeds: speedRecorders.SpeedRecorder;

  constructor(
    sources: PlacementSources,
    speeds: speedRecorders.SpeedRecorder,
  ) {
    this.#sources = sources;
    this.#speeds = speeds;
  }

  build(
    request: requests.AdmittedRequest,
    options: Pick<sends.SendOptions, "model" | "excluded">,
  ): groups.PlacementRequest {
    const { fields, service, route } = request;
    const nowMs = this.#sources.clock.monotonicMs();
    return {
      ...this.#sources.places.findLimits(request, nowMs),
      service,
      model: options.model,
      promptTokens: fields.promptTokens,
      prefillMsPerToken: this.#speeds.getTracker(service).predictPrefillMs(
        options.model,
        1,
      ),
      maxGapMs: route.kind === "stream" ? route.maxGapMs : undefined,
      remainingTargetMs: request.receivedAtMs + route.targetLatencyMs - nowMs,
      answerMs: this.#speeds.predictAnswerMs(request),
      neededTokens: this.#sources.table.memories.predictTokens(request),
      parts: fields.promptParts,
      excluded: options.excluded,
      needsNewConnection: route.kind === "non-idempotent",
      versionPreference: this.chooseVersionPreference(request),
      reserved: priorities.getPriority(request) === 0 ? 0 : 1,
      bodyBytes: request.body.length,
      nowMs,
    };
  }

  /** Records a session's version and tells peers that would choose another one. */
  recordSession(request: requests.AdmittedRequest, version: string): void {
    const { service, fields, versionFraction } = request;
    const { session } = fields;
    if (session === undefined) return;
    const { sessions, rollouts, fleet } = this.#sources;
    sessions.record(
      service,
      session,
      version,
      this.#sources.clock.monotonicMs(),
    );
    if (rollouts.shouldShare(service, version, versionFraction)) {
      fleet.shareSession({ service, session, version });
    }
  }

  chooseVersionPreference(
    request: requests.AdmittedRequest,
  ): decisions.VersionPreference {
    const { service, fields, versionFraction } = request;
    const version = fields.session === undefined
      ? undefined
      : this.#sources.sessions.find(
        service,
        fields.session,
        this.#sources.clock.monotonicMs(),
      );
    return this.#sources.rollouts.chooseVersionPreference(service, {
      version,
      fraction: versionFraction,
    });
  }
}
