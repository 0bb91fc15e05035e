/** Events of the audit trail, with the field names that its log lines show. */
import type { JobStatus } from '../../protocol/job.js';
import type { CancellationEvent } from './cancellationEvent.js';
import type { CommandOutcome, CommandRoute } from './commandOutcome.js';
import type { TerminationRule } from './terminationRule.js';

/** An invariant that is checked at run time; see docs/safety.md. */
export type Invariant =
  | 'start-beside-live-attempt'
  | 'attempt-vanished'
  /** A worker was sent an attempt's acknowledgement under a fencing token that a copy of its start may have as well. */
  | 'acknowledgement-under-start-token'
  /** A worker reported an attempt again that it had forgotten. */
  | 'acknowledged-attempt-returned'
  /** A user's request was about to be answered by information about the job that is older than the request. */
  | 'answer-older-than-question'
  /** A job that was reported as done was about to be reported as cancelled, or the other way round. */
  | 'final-states-differ'
  /** A start of a task was about to be sent although its job's cancellation is announced or stored. */
  | 'start-of-cancelled-job'
  /** A worker's lease was renewed over a task of a cancelled job without a stop of the task being sent. */
  | 'renewal-without-stop'
  /** A chunk of a cancelled job was in a shard as if the job were open. */
  | 'unmarked-cancelled-chunk';

/** The kind of a user's request about a job. */
export type UserRequestKind = 'read' | 'submit' | 'cancel';

/** The source of an answer about a job's state. Durations are in seconds. */
export type AnswerSource =
  /** A final record; `revision` is that of this node's cached record. */
  | { source: 'final'; revision: number }
  | { source: 'leader'; shard: string; fencingToken: number; leaseLeft: number }
  /** `age`: time since the store, or the peer, was queried. */
  | { source: 'store'; age: number }
  | { source: 'peer'; peer: string; age: number };

/**
 * Why the response to a user asks for a retry and reports no state. `told-final-before`: this node has reported before that
 * the job is over; `leadership-ended`: the right to answer for the job's shard has ended, or a change of its record has no
 * answer; `older-than-question`, `final-states-differ`: an invariant is violated; `dependency-may-be-cancelled`: a job that
 * it depends on was cancelled, or this node can't rule that out (safety, P4); `job-is-known`: the answer was about to be
 * that there is no such job.
 */
export type AnswerWithheldReason =
  | 'told-final-before'
  | 'leadership-ended'
  | 'older-than-question'
  | 'final-states-differ'
  | 'dependency-may-be-cancelled'
  | 'job-is-known';

/**
 * Why a machine's release is requested. `never-came`: not up long after its boot; `silent`: it does not respond while
 * others do.
 */
export type MachineReleaseReason = 'never-came' | 'silent';

/** A decision about who may act for a shard, or about an attempt. Durations are in seconds. */
export type AuditEvent =
  | CancellationEvent
  | {
      event: 'leadership-gained';
      shard: string;
      fencingToken: number;
      leaseId: number | null;
      /** Seconds until the right to start work ends, unless the lease is renewed. */
      leaseLeft: number;
      /** Seconds for which an earlier leader may still answer the shard's workers. */
      otherOwnersLeft: number;
      /** Revision, and age in seconds, of the state cache from which the shard was loaded. */
      revision: number;
      copyAge: number;
    }
  | { event: 'leadership-lost'; shard: string; fencingToken: number }
  | { event: 'fencing-token-advanced'; shard: string; fencingToken: number }
  | {
      event: 'commands-sent';
      shard: string;
      /** The token of the message. */
      fencingToken: number;
      /** The highest token under which a start was sent to the machine before; null: none was under this leadership. */
      startToken: number | null;
      /** The highest token that the worker has shown. */
      seenToken: number;
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
      /**
       * The highest token in the heartbeat that came back; null: none did. If it is above `fencingToken`, the command was
       * outdated.
       */
      seenToken: number | null;
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
      reason: MachineReleaseReason;
      tasks: number;
      /** Seconds since the machine was last reached. */
      silentFor: number;
    }
  /** The peers were asked where work would start sooner. Durations are in seconds. */
  | {
      event: 'shard-chosen';
      job: string;
      home: string;
      chosen: string;
      /** Wait and turnaround estimated at home. */
      wait: number;
      turnaround: number;
      /** As `shard=turnaround` of each answer, separated by commas. */
      answers: string;
    }
  /** A job's state was reported to a user. */
  | ({
      event: 'job-answered';
      request: UserRequestKind;
      job: string;
      state: JobStatus;
    } & AnswerSource)
  | {
      event: 'answer-withheld';
      request: UserRequestKind;
      job: string;
      reason: AnswerWithheldReason;
    }
  | { event: 'invariant-violated'; invariant: Invariant; shard: string; detail: string };
