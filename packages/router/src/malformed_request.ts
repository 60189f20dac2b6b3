/** Responses to bytes that are no request. */
import * as http from "node:http";

const HTTP_BAD_REQUEST = 400;
const HTTP_REQUEST_TIMEOUT = 408;
const HTTP_HEADERS_TOO_LARGE = 431;

function findStatus(code: string | undefined): number {
  if (code === "HPE_HEADER_OVERFLOW") return HTTP_HEADERS_TOO_LARGE;
  return code === "ERR_HTTP_REQUEST_TIMEOUT"
    ? HTTP_REQUEST_TIMEOUT
    : HTTP_BAD_REQUEST;
}

/** Renders the response for an error code of the HTTP parser; it is the connection's last. */
export function renderRefusal(code: string | undefined): string {
  const status = findStatus(code);
  return `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}\r\n` +
    "connection: close\r\ncontent-length: 0\r\n\r\n";
}
