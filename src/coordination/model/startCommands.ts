/**
 * Whether a start that was sent straight to a worker may still be carried out. A command may arrive late, and once more after
 * it was answered: its 200 proves that one copy came, not that none follows (safety, T3). Only the worker itself ends that, by
 * refusing what is older than the highest fencing token that it has seen.
 */
import type { CommandOutcome } from '../audit/commandOutcome.js';

/** No command was sent under any token. */
const NO_TOKEN = -Infinity;

/** The commands that carried the start of one attempt. */
export class StartCommands {
  /** The token of the command that is on its way. There is one at a time for a machine. */
  private tokenInFlight = NO_TOKEN;

  /** `highestToken`: the highest fencing token of a command that has left with the start. */
  constructor(private highestToken = NO_TOKEN) {}

  /** The highest fencing token under which a copy may come; -Infinity where none can. */
  get latestToken(): number {
    return Math.max(this.tokenInFlight, this.highestToken);
  }

  /** A worker that has seen a fencing token carries out nothing that was sent under a lower one. */
  mayStillExecute(seenToken: number): boolean {
    return this.latestToken >= seenToken;
  }

  /** A command with the start leaves under this fencing token. */
  noteSent(fencingToken: number): void {
    this.tokenInFlight = fencingToken;
  }

  /** What became of the command that was on its way. */
  noteOutcome(fencingToken: number, outcome: CommandOutcome): void {
    this.tokenInFlight = NO_TOKEN;
    if (outcome === 'unsent') return;
    // The worker is past the fencing token or the agent epoch, and so past those of all earlier commands.
    if (outcome === 'refused') this.highestToken = NO_TOKEN;
    else this.highestToken = Math.max(this.highestToken, fencingToken);
  }
}
