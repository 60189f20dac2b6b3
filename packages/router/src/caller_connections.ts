/**
 * Connections of callers: how many are open, which of them are idle, and how they
 * are closed. At the limit, the connection that has been idle longest gives way.
 */
import * as pacedSockets from "./paced_socket.ts";

/** Time for a caller to read a refusal while the rest of its request is discarded. */
const LINGER_MS = 1_000;
/** Backstop: with more requests without an answer, which pacing does not let through, a connection ends. */
const MAX_PIPELINED_REQUESTS = 32;
/** Requests of one connection that are parsed before the first of them is answered. */
const MAX_REQUESTS_READ_AHEAD = 2;
/** Requests of one connection that are ignored before it is closed at once. */
const MAX_IGNORED_REQUESTS = 8;

/** Why a connection is closed. */
export type CloseReason = "idle-longest" | "none-idle" | "pipelined";

export interface CallerConnectionsOptions {
  readonly maxConnections: number;
  /** Requests of one connection without a complete response. */
  readonly maxRequests?: number;
  readonly onOpened: () => void;
  readonly onClosed: () => void;
  /** Whether a request may be parsed before the one ahead of it is answered. */
  readonly mayReadAhead?: () => boolean;
  /** Accounts for bytes that are held behind requests; returns false if there are too many. */
  readonly holdAhead?: (addedBytes: number) => boolean;
  /** Called for each connection that is closed because of a limit. */
  readonly onRefused: (reason: CloseReason) => void;
}

/** Requests of one connection. */
interface ConnectionState {
  /** Called for each request without a complete response if the connection closes before. */
  readonly onClosed: Set<() => void>;
  /** What waits for the turns of their responses. */
  readonly onTurn: Map<() => void, (() => void)[]>;
  /** The same callback of the newest one. */
  newest: (() => void) | undefined;
  /** Whether the body of the newest one is still being read. */
  isReading: boolean;
  /** Whether all of the newest one has arrived, though it may not be read yet. */
  hasArrived: () => boolean;
  /** No further request can be answered. */
  isLast: boolean;
  /** Requests since then, which are ignored. */
  ignoredRequests: number;
  /** The connection is ended after the answers to the requests before. */
  endsWhenAnswered: boolean;
}

const HAS_ARRIVED = () => true;

/** Whether requests of a connection may have been received that are not parsed yet. */
function hasHeldBytes(socket: pacedSockets.CallerSocket): boolean {
  return socket instanceof pacedSockets.PacedSocket && socket.heldBytes > 0;
}

function runTurn(state: ConnectionState, onClosed: () => void): void {
  const waiting = state.onTurn.get(onClosed) ?? [];
  state.onTurn.delete(onClosed);
  for (const callback of waiting) callback();
}

/** Resets a connection at once, even with bytes that were not sent. */
export function reset(socket: pacedSockets.CallerSocket): void {
  // The runtime calls this first, to write the rest.
  socket.destroySoon = () => socket.destroy();
  socket.resetAndDestroy();
}

/** Open connections of callers. */
export class CallerConnections {
  readonly #options: CallerConnectionsOptions;
  readonly #states = new Map<pacedSockets.CallerSocket, ConnectionState>();
  /** Connections without a request, longest idle first. */
  readonly #idle = new Set<pacedSockets.CallerSocket>();
  #endsIdle = false;
  #acceptedCount = 0;

  constructor(options: CallerConnectionsOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#states.size;
  }

  /** Connections that were accepted so far. */
  get acceptedCount(): number {
    return this.#acceptedCount;
  }

  /** Registers a new connection, or closes it if there are too many and none is idle. */
  accept(socket: pacedSockets.CallerSocket): void {
    const { maxConnections, onOpened, onClosed, onRefused } = this.#options;
    this.#acceptedCount += 1;
    if (this.size >= maxConnections) {
      const [longestIdle] = this.#idle;
      onRefused(longestIdle === undefined ? "none-idle" : "idle-longest");
      if (longestIdle === undefined) {
        socket.destroy();
        return;
      }
      this.#remove(longestIdle);
      longestIdle.destroy();
    }
    const state: ConnectionState = {
      onClosed: new Set(),
      onTurn: new Map(),
      newest: undefined,
      isReading: false,
      hasArrived: HAS_ARRIVED,
      isLast: false,
      ignoredRequests: 0,
      endsWhenAnswered: false,
    };
    this.#states.set(socket, state);
    this.#idle.add(socket);
    if (socket instanceof pacedSockets.PacedSocket) {
      socket.paceBy({
        decide: () => this.#decidePass(state),
        onHeld: (addedBytes) => this.#holdAhead(socket, state, addedBytes),
      });
    }
    // The runtime calls this after a last response; to close a connection with
    // unread bytes would reset it, and could take the end of the response.
    socket.destroySoon = () => this.endSoon(socket);
    onOpened();
    socket.once("close", () => {
      this.#remove(socket);
      onClosed();
      for (const end of [...state.onClosed]) end();
    });
  }

  /**
   * Records a request; returns false if it must not be handled: the connection ends
   * before it could be answered, or has too many and ends after these. `onClosed` is
   * called if it closes before the end of the response: the runtime reports that for
   * the response that is being written only.
   */
  startRequest(
    socket: pacedSockets.CallerSocket,
    onClosed: () => void,
    hasArrived: () => boolean = () => false,
  ): boolean {
    const state = this.#states.get(socket);
    if (state === undefined) return !socket.destroyed;
    const { maxRequests = MAX_PIPELINED_REQUESTS } = this.#options;
    if (!state.isLast && state.onClosed.size >= maxRequests) {
      this.#endPipelined(socket);
    }
    if (state.isLast) {
      state.ignoredRequests += 1;
      if (state.ignoredRequests > MAX_IGNORED_REQUESTS) socket.destroy();
      return false;
    }
    state.onClosed.add(onClosed);
    state.newest = onClosed;
    state.isReading = true;
    state.hasArrived = hasArrived;
    this.#idle.delete(socket);
    return true;
  }

  /** Whether another request of the connection has no complete response. */
  isBehindOthers(socket: pacedSockets.CallerSocket): boolean {
    return (this.#states.get(socket)?.onClosed.size ?? 0) > 1;
  }

  /** Ends the connection after the answers to the requests before; false if there are none. */
  refuseBehindOthers(socket: pacedSockets.CallerSocket): boolean {
    const isBehind = this.isBehindOthers(socket);
    if (isBehind) this.#endPipelined(socket);
    return isBehind;
  }

  /** Records that the body of the newest request was read. */
  endBody(socket: pacedSockets.CallerSocket): void {
    const state = this.#states.get(socket);
    if (state !== undefined) state.isReading = false;
  }

  /** Records the end of a response. */
  endRequest(socket: pacedSockets.CallerSocket, onClosed: () => void): void {
    const state = this.#states.get(socket);
    if (state === undefined || !state.onClosed.delete(onClosed)) return;
    state.onTurn.delete(onClosed);
    if (state.newest === onClosed) {
      // Both keep the request in memory, with its head.
      state.newest = undefined;
      state.hasArrived = HAS_ARRIVED;
      state.isReading = false;
    }
    if (socket.destroyed) return;
    if (socket instanceof pacedSockets.PacedSocket) socket.passOnLater();
    // Nothing is written after a response that ends the connection.
    if (socket.writableEnded) {
      if (state.onClosed.size === 0) this.#idle.add(socket);
      return;
    }
    const [next] = state.onClosed;
    if (next !== undefined) runTurn(state, next);
    if (state.endsWhenAnswered) this.#endIfAnswered(socket);
    else if (state.onClosed.size === 0) this.#becomeIdle(socket);
  }

  /** Calls back once the responses before that of a request are written, or now if they are. */
  waitForTurn(
    socket: pacedSockets.CallerSocket,
    onClosed: () => void,
    callback: () => void,
  ): void {
    const state = this.#states.get(socket);
    if (state === undefined || !state.onClosed.has(onClosed)) return;
    const waiting = state.onTurn.get(onClosed) ?? [];
    state.onTurn.set(onClosed, [...waiting, callback]);
    const [current] = state.onClosed;
    if (current === onClosed) runTurn(state, onClosed);
  }

  /**
   * Called when the head of a response is written that may close its connection:
   * returns whether it is to do so. It is not if further requests wait behind it;
   * bytes that are held belong to one, unless the rest of this one `isUnread`.
   */
  beginLastResponse(
    socket: pacedSockets.CallerSocket,
    onClosed: () => void,
    isUnread: boolean,
  ): boolean {
    const state = this.#states.get(socket);
    if (state === undefined || state.newest !== onClosed) return false;
    if (!isUnread && hasHeldBytes(socket)) return false;
    state.isLast = true;
    return true;
  }

  /** Whether a request that has arrived has no complete response yet. */
  isAnswering(socket: pacedSockets.CallerSocket): boolean {
    const state = this.#states.get(socket);
    if (state === undefined) return false;
    const isArriving = state.isReading && !state.hasArrived();
    return state.onClosed.size > (isArriving ? 1 : 0);
  }

  /** Ends a connection after what was written; its caller may not keep it open. */
  endSoon(socket: pacedSockets.CallerSocket): void {
    const state = this.#states.get(socket);
    if (state !== undefined) state.isLast = true;
    socket.end();
    const timer = setTimeout(() => socket.destroy(), LINGER_MS).unref();
    socket.once("close", () => clearTimeout(timer));
  }

  /** Ends a connection whose newest request was refused without reading it, after all answers. */
  endAfterRefusal(socket: pacedSockets.CallerSocket): void {
    const unanswered = this.#states.get(socket)?.onClosed.size ?? 0;
    if (unanswered > 1) this.endWhenAnswered(socket);
    else this.endSoon(socket);
  }

  /** Whether the connection ends as soon as its requests are answered. */
  isEnding(socket: pacedSockets.CallerSocket): boolean {
    return this.#states.get(socket)?.endsWhenAnswered === true;
  }

  /** Ends a connection once the requests that were read are answered; it takes no others. */
  endWhenAnswered(socket: pacedSockets.CallerSocket): void {
    const state = this.#states.get(socket);
    if (state === undefined) return this.endSoon(socket);
    state.isLast = true;
    state.endsWhenAnswered = true;
    this.#endIfAnswered(socket);
  }

  /** Ends all idle connections, and from now on each one that becomes idle. */
  endIdle(): void {
    this.#endsIdle = true;
    for (const socket of this.#idle) this.endSoon(socket);
  }

  /** Decides on the bytes that follow: none is parsed that cannot be answered soon. */
  #decidePass(state: ConnectionState): pacedSockets.PassDecision {
    const isArriving = state.isReading && !state.hasArrived();
    if (isArriving) return "pass";
    if (state.isLast) return "discard";
    const unanswered = state.onClosed.size;
    if (unanswered === 0) return "pass";
    const { mayReadAhead } = this.#options;
    const mayPass = unanswered < MAX_REQUESTS_READ_AHEAD &&
      (mayReadAhead?.() ?? true);
    return mayPass ? "pass" : "hold";
  }

  /** A connection that sent too much ahead ends after the answers to what was parsed. */
  #holdAhead(
    socket: pacedSockets.PacedSocket,
    state: ConnectionState,
    addedBytes: number,
  ): void {
    const mayHold = this.#options.holdAhead?.(addedBytes) ?? true;
    const isIdle = state.onClosed.size === 0 && !state.isLast &&
      !socket.destroyed;
    if (isIdle && !this.#idle.has(socket)) this.#becomeIdle(socket);
    if (mayHold || addedBytes < 0 || state.isLast) return;
    this.#endPipelined(socket);
    socket.passOnLater();
  }

  #becomeIdle(socket: pacedSockets.CallerSocket): void {
    // It is idle once these bytes are passed on, if they begin no request.
    if (hasHeldBytes(socket)) return;
    this.#idle.add(socket);
    if (this.#endsIdle) this.endSoon(socket);
  }

  #endIfAnswered(socket: pacedSockets.CallerSocket): void {
    if (!this.isAnswering(socket)) this.endSoon(socket);
  }

  #endPipelined(socket: pacedSockets.CallerSocket): void {
    this.#options.onRefused("pipelined");
    this.endWhenAnswered(socket);
  }

  #remove(socket: pacedSockets.CallerSocket): void {
    this.#states.delete(socket);
    this.#idle.delete(socket);
  }
}
