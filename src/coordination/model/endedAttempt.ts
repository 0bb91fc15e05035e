/** Attempts that have ended and that their worker still reports, until it may forget them. */
import type { Chunk } from './chunk.js';
import type { UnacknowledgedStart } from './unacknowledgedStart.js';

/** The key of one attempt of one task. */
export const attemptKey = (task: string, attemptNumber: number): string =>
  `${task}#${attemptNumber}`;

/** What an ended attempt of which this shard sent, or may have sent, the start still waits for. */
export interface PendingStart {
  readonly unacknowledgedStart: UnacknowledgedStart;
  /** The machine it was sent to. */
  readonly machine: { readonly highestFencingToken: number };
}

/** An ended attempt that its worker still reports, and the conditions of its acknowledgement. */
export class EndedAttempt {
  /** The version of the chunk that records the end. */
  private readonly chunkVersion: number;

  constructor(
    private readonly chunk: Chunk,
    /** Steady time at which its end was reported. */
    readonly endedAt: number,
    /** A start of it was sent with the answer to a heartbeat, and no heartbeat has followed that answer. */
    public startSentInAnswer: boolean,
    /** Null where this shard never had a start of it to send. */
    private readonly start: PendingStart | null,
  ) {
    this.chunkVersion = chunk.version;
  }

  /** A start of it may still be executed. */
  get hasUnacknowledgedStart(): boolean {
    if (this.start === null) return false;
    const { unacknowledgedStart, machine } = this.start;
    return unacknowledgedStart.mayStillExecute(machine.highestFencingToken);
  }

  /**
   * Whether the worker may forget it: its end must be stored first, and a start that may still arrive would run it
   * once more.
   */
  get mayAcknowledge(): boolean {
    const { chunk } = this;
    const isEndStored = chunk.storedVersion >= this.chunkVersion || chunk.isDropped;
    return isEndStored && !this.hasUnacknowledgedStart && !this.startSentInAnswer;
  }
}
