/**
 * Tracks whether a start that was sent to a worker as a command may still be executed. A command may arrive late, and again
 * after it was answered: a response with status 200 proves that one copy arrived, not that no other follows (safety, T3). Only
 * the worker can rule that out, by refusing commands with a lower fencing token than the highest that it has seen.
 */
import type { CommandOutcome } from '../audit/commandOutcome.js';

/** Below every fencing token: no command was sent. */
const NO_TOKEN = -Infinity;

/** The commands that carried the start of one attempt. */
export class StartCommands {
  /** The token of the command that is in flight; there is at most one at a time for a machine. */
  private tokenInFlight = NO_TOKEN;

  /** `highestToken`: the highest fencing token of a command with the start that has been sent. */
  constructor(private highestToken = NO_TOKEN) {}

  /** The highest fencing token under which a copy may still arrive; -Infinity if none can. */
  get latestToken(): number {
    return Math.max(this.tokenInFlight, this.highestToken);
  }

  /** Whether a worker that has seen this token may still execute a copy: it refuses commands with a lower token. */
  mayStillExecute(seenToken: number): boolean {
    return this.latestToken >= seenToken;
  }

  /** Records that a command with the start is sent under this fencing token. */
  noteSent(fencingToken: number): void {
    this.tokenInFlight = fencingToken;
  }

  /** Records the outcome of the command that was in flight. */
  noteOutcome(fencingToken: number, outcome: CommandOutcome): void {
    this.tokenInFlight = NO_TOKEN;
    if (outcome === 'unsent') return;
    // The worker has seen a higher fencing token or agent epoch, so it also refuses copies of all earlier commands.
    if (outcome === 'refused') this.highestToken = NO_TOKEN;
    else this.highestToken = Math.max(this.highestToken, fencingToken);
  }
}
