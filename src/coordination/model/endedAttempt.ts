/** Attempts that have ended, and that their worker reports until they are acknowledged. */
import type { Chunk } from './chunk.js';
import type { StartCommands } from './startCommands.js';

/** The key of one attempt of one task. */
export const attemptKey = (task: string, attemptNumber: number): string =>
  `${task}#${attemptNumber}`;

/** An ended attempt that its worker still reports, and the conditions of its acknowledgement. */
export class EndedAttempt {
  /** The version of the chunk that includes the end. */
  private readonly chunkVersion: number;

  constructor(
    private readonly chunk: Chunk,
    /** Monotonic time at which its end was reported. */
    readonly endedAt: number,
    /** A start of it was sent in the answer to a heartbeat, and no heartbeat has been received since. */
    public startSentInAnswer: boolean,
    /** Null if this shard never had to send a start of it. */
    readonly startCommands: StartCommands | null,
  ) {
    this.chunkVersion = chunk.version;
  }

  /**
   * Whether the attempt may be acknowledged: its end must be stored first. `CommandTokens` decides the fencing token of the
   * acknowledgement, since a copy of the attempt's start may still arrive, and must be refused.
   */
  get mayAcknowledge(): boolean {
    const { chunk } = this;
    const isEndStored = chunk.storedVersion >= this.chunkVersion || chunk.isDropped;
    return isEndStored && !this.startSentInAnswer;
  }
}
