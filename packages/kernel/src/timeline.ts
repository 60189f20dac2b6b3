/**
 * A ring buffer of events with hybrid logical timestamps, by which the events of
 * all processes can be merged into one causally consistent order.
 */
import type { Clock } from "./clock.ts";

/** Hybrid logical time: wall-clock milliseconds, and a counter within the millisecond. */
export interface HybridTime {
  readonly wallMs: number;
  readonly count: number;
}

/** Optional fields of an event. */
export interface EventFields {
  readonly requestId?: string;
  readonly attemptId?: string;
  readonly revision?: number;
  readonly account?: string;
  readonly target?: string;
  readonly detail?: string;
}

export interface TimelineEvent extends EventFields {
  readonly processId: string;
  readonly sequence: number;
  readonly time: HybridTime;
  readonly name: string;
}

const DEFAULT_CAPACITY_EVENTS = 8192;

/** Orders events of different processes by hybrid time. */
export function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  return a.time.wallMs - b.time.wallMs ||
    a.time.count - b.time.count ||
    a.processId.localeCompare(b.processId) ||
    a.sequence - b.sequence;
}

/** Timeline of one process; the oldest events are overwritten when it is full. */
export class Timeline {
  readonly #events: TimelineEvent[] = [];
  readonly #clock: Clock;
  readonly #processId: string;
  readonly #capacityEvents: number;
  #time: HybridTime = { wallMs: 0, count: 0 };
  #sequence = 0;
  /** Index of the oldest event once the buffer is full. */
  #head = 0;

  constructor(
    clock: Clock,
    processId: string,
    capacityEvents = DEFAULT_CAPACITY_EVENTS,
  ) {
    this.#clock = clock;
    this.#processId = processId;
    this.#capacityEvents = capacityEvents;
  }

  /** Records an event at the current hybrid time. */
  record(name: string, fields: EventFields = {}): void {
    this.#sequence += 1;
    const event = {
      processId: this.#processId,
      sequence: this.#sequence,
      time: this.tick(),
      name,
      ...fields,
    };
    if (this.#events.length < this.#capacityEvents) {
      this.#events.push(event);
      return;
    }
    this.#events[this.#head] = event;
    this.#head = (this.#head + 1) % this.#capacityEvents;
  }

  /** Advances the hybrid time and returns it, for a message about to be sent. */
  tick(): HybridTime {
    const wallMs = Math.floor(this.#clock.wallMs());
    this.#time = wallMs > this.#time.wallMs
      ? { wallMs, count: 0 }
      : { wallMs: this.#time.wallMs, count: this.#time.count + 1 };
    return this.#time;
  }

  /** Advances the hybrid time to that of a received message, if that is later. */
  observe(remote: HybridTime): void {
    const isLater = remote.wallMs > this.#time.wallMs ||
      (remote.wallMs === this.#time.wallMs && remote.count > this.#time.count);
    if (isLater) this.#time = remote;
  }

  /** Lists the events after a sequence number, oldest first. */
  list(afterSequence = 0): readonly TimelineEvent[] {
    const ordered = [
      ...this.#events.slice(this.#head),
      ...this.#events.slice(0, this.#head),
    ];
    return ordered.filter((event) => event.sequence > afterSequence);
  }
}
