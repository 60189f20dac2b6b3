/** Tests of the checks that are repeated when a request is sent. */
import * as ava from "ava";
import * as bundle from "@jackdawbank/bundle";
import * as admissions from "./admission.ts";
import type * as controls from "./control_task.ts";
import type * as ports from "./ports.ts";
import type * as requests from "./request.ts";

const test = ava.default;

function buildIndex(revision: number, keysSha256: readonly string[]) {
  return bundle.indexRoutes({
    revision,
    routes: [{
      name: "r",
      hostName: "host",
      pathPrefix: "/",
      kind: "idempotent",
      isResumable: false,
      timeoutMs: 1_000,
      targetLatencyMs: 100,
      maxGapMs: 1_000,
      priority: 0,
      maxAttempts: 2,
      isPublic: false,
      candidateModels: [],
      homeRegions: [],
      targets: [{ service: "desk", weight: 1 }],
    }],
    services: [],
    accounts: [{ name: "a", keysSha256, priority: undefined, homeRegions: [] }],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
}

// Guards against CONFIG: a request that was admitted by an old configuration was sent after a
// newer one, without its key, had made the view young again.
test("a key that was revoked between the admission and the send is refused", (t) => {
  const control = {
    routeIndex: buildIndex(1, ["digest"]),
    hasView: true,
    viewAgeMs: 12_000,
  };
  const admission = new admissions.Admission(
    control as unknown as controls.ControlTask,
    { revocationBoundMs: 5_000 } as ports.RouterSettings,
  );
  const admitted = admission.admit({
    hostName: "host",
    target: "/x",
    requestId: "1",
    receivedAtMs: 0,
    fields: { keySha256: "digest" },
  } as unknown as requests.IncomingRequest);
  const request = admitted._unsafeUnwrap();
  t.is(
    admission.checkConfigurationAge(request)?.error.kind,
    "stale-configuration",
  );
  control.viewAgeMs = 10;
  t.is(admission.checkConfigurationAge(request), undefined);
  control.routeIndex = buildIndex(2, []);
  t.is(admission.checkConfigurationAge(request)?.error.kind, "unauthenticated");
});
