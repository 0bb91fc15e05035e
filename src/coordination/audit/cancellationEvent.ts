/**
 * Audit events that trace one cancellation: who announced it, who acknowledged it under which fencing token, what was
 * stored, and which workers' leases were renewed meanwhile (docs/operations.md, Following one cancellation).
 */
import type { TransactionResult } from '../../storage/stateClient.js';

/** Why a node does not acknowledge a cancellation for a chunk that it has. */
export type AcknowledgementWithheldReason =
  /** The chunk is, or may be, on its way to another shard. */
  | 'migrating'
  /** An earlier leader of the shard may still answer the worker of one of the chunk's tasks for too long. */
  | 'previous-leader';

/** A step of a cancellation. Durations are in seconds, revisions are those of the state service. */
export type CancellationEvent =
  /** This node has received the announcement of a job's cancellation. */
  | {
      event: 'cancellation-announced';
      job: string;
      /** Chunks of the job in shards that this node leads, and the number of them that it acknowledges. */
      chunks: number;
      acknowledged: number;
      /** As `chunk=reason`, separated by commas. */
      withheld: string;
      copyRevision: number;
      copyAge: number;
    }
  /** The leader of the home shard has received answers from all nodes, or has waited long enough. */
  | {
      event: 'cancellation-prepared';
      job: string;
      shard: string;
      jobRevision: number;
      /** Indices of open chunks that nobody has acknowledged; if empty, the cancellation may be stored. */
      missing: string;
      /** The leadership of each shard that was counted, as `shard=token@revision`. */
      leaders: string;
    }
  /** The transaction that stores the cancellation was tried. */
  | {
      event: 'cancellation-write';
      job: string;
      shard: string;
      fencingToken: number;
      outcome: TransactionResult['kind'];
      jobRevision: number;
      /** Time since the first attempt to store this cancellation began. */
      age: number;
    }
  /** The job is still open after its cancellation was announced, and continues here. */
  | { event: 'cancellation-abandoned'; job: string; age: number; copyRevision: number }
  /** A chunk of a job whose cancellation is announced or stored has arrived in a shard. */
  | {
      event: 'cancelled-chunk-taken-up';
      job: string;
      shard: string;
      chunk: number;
      cancellation: 'announced' | 'stored';
    }
  /** A 200 has renewed the lease of a worker that reports tasks of cancelled jobs. */
  | {
      event: 'cancelled-task-renewed';
      shard: string;
      fencingToken: number;
      machine: string;
      /** Number of such tasks, and of those for which the answer carries the stop. */
      tasks: number;
      stops: number;
      /** Time until this node may start no more work; negative: it answers in its grace period. */
      leaseLeft: number;
    };
