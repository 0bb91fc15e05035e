/**
 * The audit trail: one structured line for each decision about who may act for a part and about attempts, and a counter
 * for each kind. With it one task can be followed over all controllers (docs/operations.md).
 */
import { log } from '../../base/log.js';
import { statusCounterName } from './statusCounters.js';
import type { TerminationRule } from '../reconciliation/attemptTermination.js';

/** Which way orders took: a request to the worker, or the answer to its report. */
export type CommandRoute = 'command' | 'answer';

/** What has become of a request with orders. */
export type CommandOutcome = 'executed' | 'refused' | 'unsent' | 'unanswered';

/** What broke an invariant that is checked at run time; see docs/safety.md. */
export type Invariant = 'start-beside-live-attempt' | 'attempt-vanished';

export type AuditEvent =
  | {
      event: 'leadership-gained';
      shard: string;
      fencingToken: number;
      leaseId: number | null;
      /** Seconds until the right to start work ends, unless it is renewed. */
      leaseLeft: number;
      /** Seconds for which an earlier owner may still answer the part's workers. */
      otherOwnersLeft: number;
      /** Revision and age in seconds of the copy of the records that the part was loaded from. */
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
      /** Seconds since what the verdict rests on was heard. */
      evidenceAge: number;
    }
  | {
      event: 'machine-release-requested';
      shard: string;
      machine: string;
      tasks: number;
      /** Seconds since something of ours last reached it. */
      silentFor: number;
    }
  | { event: 'invariant-violated'; invariant: Invariant; shard: string; detail: string };

/** Logged at `debug` only: they happen with every task, and say nothing that its start does not. */
const isRoutine = (event: AuditEvent): boolean =>
  event.event === 'commands-outcome'
    ? event.outcome === 'executed'
    : event.event === 'attempt-terminated' && event.rule === 'ended';

const formatValue = (value: string | number | null): string => {
  if (typeof value === 'number' && !Number.isInteger(value)) return value.toFixed(3);
  return typeof value === 'string' && value.includes(' ') ? JSON.stringify(value) : String(value);
};

/** One line: `audit at=… node=… event=… name=value …`. */
export function formatAuditEvent(node: string, at: number, event: AuditEvent): string {
  const fields = Object.entries(event).map(
    ([name, value]) => `${name}=${formatValue(value as string | number | null)}`,
  );
  return `audit at=${at.toFixed(3)} node=${node} ${fields.join(' ')}`;
}

export class AuditTrail {
  private readonly counts = new Map<string, number>();

  constructor(
    private readonly node: string,
    private readonly wall: () => number,
  ) {}

  note(event: AuditEvent): void {
    this.count(event);
    if (event.event === 'invariant-violated') log.error(this.format(event));
    else if (isRoutine(event)) {
      if (log.getLevel() <= log.levels.DEBUG) log.debug(this.format(event));
    } else if (log.getLevel() <= log.levels.INFO) log.info(this.format(event));
  }

  /** How often each kind was noted since the start, by its name. */
  get counters(): Record<string, number> {
    return Object.fromEntries([...this.counts].sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  private count(event: AuditEvent): void {
    const name = statusCounterName(event);
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  private format(event: AuditEvent): string {
    return formatAuditEvent(this.node, this.wall(), event);
  }
}
