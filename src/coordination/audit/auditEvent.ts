/** Events of the audit trail, with the field names that its log lines show. */
import type { CommandOutcome, CommandRoute } from './commandOutcome.js';
import type { TerminationRule } from './terminationRule.js';

/** An invariant that is checked at run time; see docs/safety.md. */
export type Invariant = 'start-beside-live-attempt' | 'attempt-vanished';

/** A decision about who may act for a shard, or about an attempt. Durations are in seconds. */
export type AuditEvent =
  | {
      event: 'leadership-gained';
      shard: string;
      fencingToken: number;
      leaseId: number | null;
      /** Seconds until the right to start work ends, unless the lease is renewed. */
      leaseLeft: number;
      /** Seconds for which an earlier leader may still answer the shard's workers. */
      otherOwnersLeft: number;
      /** Revision and age in seconds of the state cache that the shard was loaded from. */
      revision: number;
      copyAge: number;
    }
  | { event: 'leadership-lost'; shard: string; fencingToken: number }
  | { event: 'fencing-token-advanced'; shard: string; fencingToken: number }
  | {
      event: 'commands-sent';
      shard: string;
      fencingToken: number;
      machine: string;
      agentEpoch: number;
      route: CommandRoute;
      /** As `verb task#attempt`, separated by commas. */
      commands: string;
      leaseLeft: number;
    }
  | {
      event: 'commands-outcome';
      shard: string;
      fencingToken: number;
      machine: string;
      outcome: CommandOutcome;
      commands: string;
    }
  | {
      event: 'attempt-terminated';
      shard: string;
      task: string;
      attemptNumber: number;
      machine: string;
      rule: TerminationRule;
      /** Seconds since the evidence for the termination was received. */
      evidenceAge: number;
    }
  | {
      event: 'machine-release-requested';
      shard: string;
      machine: string;
      tasks: number;
      /** Seconds since the machine was last reached. */
      silentFor: number;
    }
  | { event: 'invariant-violated'; invariant: Invariant; shard: string; detail: string };
