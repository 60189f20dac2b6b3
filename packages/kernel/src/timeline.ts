/**
 * A bounded ring of typed events with hybrid logical time, so that the events
 * of all processes merge into one order that respects cause and effect.
 */
import type { Clock } from "./clock.ts";

/** Hybrid logical time: wall milliseconds, then a counter within the millisecond. */
export interface HybridTime {
  readonly wallMs: number;
  readonly count: number;
}

/** What an event may carry besides its name. */
export interface EventFields {
  readonly requestId?: string;
  readonly attemptId?: string;
  readonly revision?: number;
  readonly account?: string;
  readonly target?: string;
  readonly detail?: string;
}

/** One event of one process. */
export interface TimelineEvent extends EventFields {
  readonly processId: string;
  readonly sequence: number;
  readonly time: HybridTime;
  readonly name: string;
}

const DEFAULT_CAPACITY_EVENTS = 8192;

/** Orders events over all processes. */
export function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  return a.time.wallMs - b.time.wallMs ||
    a.time.count - b.time.count ||
    a.processId.localeCompare(b.processId) ||
    a.sequence - b.sequence;
}

/** The ring of one process. */
export class Timeline {
  readonly #events: TimelineEvent[] = [];
  readonly #clock: Clock;
  readonly #processId: string;
  readonly #capacityEvents: number;
  #time: HybridTime = { wallMs: 0, count: 0 };
  #sequence = 0;
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

  /** Takes in the hybrid time of a received message. */
  observe(remote: HybridTime): void {
    const isLater = remote.wallMs > this.#time.wallMs ||
      (remote.wallMs === this.#time.wallMs && remote.count > this.#time.count);
    if (isLater) this.#time = remote;
  }

  /** The events held, oldest first, after the given sequence number. */
  list(afterSequence = 0): readonly TimelineEvent[] {
    const ordered = [
      ...this.#events.slice(this.#head),
      ...this.#events.slice(0, this.#head),
    ];
    return ordered.filter((event) => event.sequence > afterSequence);
  }
}
