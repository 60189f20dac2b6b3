/**
 * Whether the body of a request fits into the memory of a replica, beside the
 * bodies that all processes have in flight there. Load pattern: many entries send
 * large bodies to few replicas, some of which read slowly.
 */

const MB = 1_048_576;
/** A larger body is sent only with room for it in the account of all processes. */
const SMALL_BODY_BYTES = 65_536;
/** Most bytes of bodies in flight to a replica, of all processes, where a large one is among them. */
const LARGE_BODIES_BYTES = 8 * MB;
/** Bodies of the largest size allowed that fit even if that is more. */
const MIN_LARGEST_BODIES = 2;
/** Most bytes of large bodies from processes that the replica's owner does not answer. */
const SILENT_BODIES_BYTES = 4 * MB;
/** Further bytes that only small bodies may take. */
const SMALL_BODIES_BYTES = 8 * MB;

/** What is known of the bodies that other processes have in flight to a replica. */
export type BodyAccount =
  /** Bytes in the answer of the replica's owner. */
  | { readonly type: "answered"; readonly othersBytes: number }
  /** The owner did not answer; `rank` is this process's place in an order in which all agree. */
  | {
    readonly type: "silent";
    readonly processes: number;
    readonly rank: number;
  };

/** A body that is about to be sent to a replica. */
export interface OfferedBody {
  readonly bodyBytes: number;
  /** Bytes of the other bodies that this process has in flight there. */
  readonly ownBytes: number;
  /** Largest body that callers may send. */
  readonly maxBodyBytes: number;
}

/** Whether a body needs room in the account of all processes. */
export function isLargeBody(bodyBytes: number): boolean {
  return bodyBytes > SMALL_BODY_BYTES;
}

/** Whether a body is sent whatever others have in flight: this process has next to nothing there. */
export function fitsWithoutAccount(
  { bodyBytes, ownBytes }: OfferedBody,
): boolean {
  return ownBytes + bodyBytes <= SMALL_BODY_BYTES;
}

/** Most bytes in flight to a replica that a large body may fill up. */
export function computeLargeBodiesBytes(maxBodyBytes: number): number {
  return Math.max(LARGE_BODIES_BYTES, MIN_LARGEST_BODIES * maxBodyBytes);
}

/**
 * Most bytes that large bodies of all processes but the owner fill up while it is
 * silent; it may be sending all the same, up to the other bound.
 */
export function computeSilentBytes(maxBodyBytes: number): number {
  return Math.max(SILENT_BODIES_BYTES, maxBodyBytes);
}

/**
 * Share of a process while a replica's owner is silent. For large bodies, the
 * first processes after the owner get one each that holds the largest body, and
 * the others none, so that the sum stays within a bound.
 */
function computeSilentShareBytes(
  account: Extract<BodyAccount, { type: "silent" }>,
  body: OfferedBody,
): number {
  const { processes, rank } = account;
  const isAlone = processes === 1;
  const largeBytes = isAlone
    ? computeLargeBodiesBytes(body.maxBodyBytes)
    : computeSilentBytes(body.maxBodyBytes);
  const holders = Math.min(
    Math.max(1, processes - 1),
    Math.floor(largeBytes / body.maxBodyBytes),
  );
  const isHolder = isAlone || rank >= 1 && rank <= holders;
  const largeShareBytes = isHolder ? largeBytes / holders : 0;
  return isLargeBody(body.bodyBytes)
    ? largeShareBytes
    : largeShareBytes + SMALL_BODIES_BYTES / processes;
}

/** Whether a body fits a replica by what is known of all processes. */
export function fitsReplica(body: OfferedBody, account: BodyAccount): boolean {
  if (fitsWithoutAccount(body)) return true;
  const { bodyBytes, ownBytes } = body;
  if (account.type === "silent") {
    return ownBytes + bodyBytes <= computeSilentShareBytes(account, body);
  }
  const boundBytes = computeLargeBodiesBytes(body.maxBodyBytes) +
    (isLargeBody(bodyBytes) ? 0 : SMALL_BODIES_BYTES);
  return ownBytes + account.othersBytes + bodyBytes <= boundBytes;
}
