/** Attempts that have ended and that their worker still reports, until it may forget them. */
import type { Chunk } from './chunk.js';
import type { StartCommands } from './startCommands.js';

/** The key of one attempt of one task. */
export const attemptKey = (task: string, attemptNumber: number): string =>
  `${task}#${attemptNumber}`;

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
    readonly startCommands: StartCommands | null,
  ) {
    this.chunkVersion = chunk.version;
  }

  /**
   * Whether the worker may forget it: its end must be stored first. Under which fencing token is up to `CommandTokens`: a
   * copy of its start may still come, and must be refused.
   */
  get mayAcknowledge(): boolean {
    const { chunk } = this;
    const isEndStored = chunk.storedVersion >= this.chunkVersion || chunk.isDropped;
    return isEndStored && !this.startSentInAnswer;
  }
}
