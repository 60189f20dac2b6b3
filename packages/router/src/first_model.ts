/** The model on which a request starts. */
import * as decisions from "@jackdawbank/decisions";
import type * as requests from "./request.ts";

/** Returns the caller's choice, or the route's; absent if the service has no models. */
export function chooseFirstModel(
  { fields, route }: Pick<requests.AdmittedRequest, "fields" | "route">,
): string | undefined {
  if (fields.model !== undefined || route.kind !== "stream") {
    return fields.model;
  }
  const { candidateModels, isResumable } = route;
  // A stream that cannot be resumed gets one attempt, so it starts on the largest model.
  return isResumable
    ? decisions.chooseStartModel(candidateModels)
    : candidateModels.at(-1);
}
