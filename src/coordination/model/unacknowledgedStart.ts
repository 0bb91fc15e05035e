/**
 * Whether a start that was sent straight to a worker may still be carried out. Each command counts by itself: what becomes of
 * a repeat says nothing of an earlier one that got no answer and may arrive minutes later (safety, T3).
 */
import type { CommandOutcome } from '../audit/commandOutcome.js';

/** No command was sent under any token. */
const NO_TOKEN = -Infinity;

/** The start commands of one attempt that may still be carried out. */
export class UnacknowledgedStart {
  /** The token of the command that is on its way. There is one at a time for a machine. */
  private tokenInFlight = NO_TOKEN;

  /** `unanswered`: the highest fencing token of a command that got no answer. */
  constructor(private unansweredToken = NO_TOKEN) {}

  /** A worker that has seen a fencing token carries out nothing that was sent under a lower one. */
  mayStillExecute(seenToken: number): boolean {
    return Math.max(this.tokenInFlight, this.unansweredToken) >= seenToken;
  }

  /** A command with the start leaves under this fencing token. */
  noteSent(fencingToken: number): void {
    this.tokenInFlight = fencingToken;
  }

  /** What became of the command that was on its way. */
  noteOutcome(fencingToken: number, outcome: CommandOutcome): void {
    this.tokenInFlight = NO_TOKEN;
    switch (outcome) {
      case 'unanswered':
        this.unansweredToken = Math.max(this.unansweredToken, fencingToken);
        return;
      case 'refused':
        // The worker is past the fencing token or the agent epoch, and so past those of all earlier commands.
        this.unansweredToken = NO_TOKEN;
        return;
      case 'executed':
        // The worker has seen this fencing token. A copy under the same one is carried out all the same.
        if (this.unansweredToken < fencingToken) this.unansweredToken = NO_TOKEN;
        return;
      case 'unsent':
        return;
    }
  }
}
