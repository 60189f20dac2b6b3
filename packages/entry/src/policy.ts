/** Where a cascade's request starts while nothing has been learnt: the bundle's static rule. */
import type * as bundle from "@jackdawbank/bundle";
import type * as dispatchers from "./dispatch.ts";
import type * as requests from "./requests.ts";

/** Starts short prompts on the cheap model. */
export class StaticCascade implements dispatchers.CascadePolicy {
  chooseModel(request: requests.ModelRequest, cascade: bundle.Cascade): string {
    return request.promptChars <= cascade.cheapMaxPromptChars
      ? cascade.cheap
      : cascade.large;
  }
}
