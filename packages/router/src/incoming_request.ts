/** Builds a request that was read from what the runtime's parser tells of it. */
import type * as http from "node:http";
import * as bodies from "./body_reader.ts";
import type * as requests from "./request.ts";

/** A path and query; the parser lets further characters through. */
const TARGET_PATTERN = /^\/[\u0021-\u00ff]*$/;

/** Throws `RequestReadError` if the target or the host is not valid. */
export function buildIncomingRequest(
  request: http.IncomingMessage,
  rest: Pick<
    requests.IncomingRequest,
    "requestId" | "fields" | "body" | "receivedAtMs" | "signal"
  >,
): requests.IncomingRequest {
  const target = request.url ?? "";
  if (!TARGET_PATTERN.test(target)) {
    throw new bodies.RequestReadError(
      "bad-request",
      "the request target must be a path without spaces",
    );
  }
  if ((request.headersDistinct["host"]?.length ?? 0) > 1) {
    throw new bodies.RequestReadError(
      "bad-request",
      "the request has two hosts",
    );
  }
  const host = request.headers.host ?? "";
  return {
    ...rest,
    method: request.method ?? "GET",
    target,
    hostName: host.replace(/:\d+$/, "").toLowerCase(),
  };
}
