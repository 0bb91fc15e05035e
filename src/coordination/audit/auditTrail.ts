/**
 * The audit trail: one structured log line for each decision about who may act for a shard and about attempts, and a
 * counter for each kind of event. With it one task can be followed over all controllers (docs/operations.md).
 */
import { log } from '../../base/log.js';
import type { AuditEvent } from './auditEvent.js';
import { statusCounterName } from './statusCounters.js';

/** Events that occur for every task or request and carry little information; they are logged at `debug` only. */
function isRoutine(event: AuditEvent): boolean {
  switch (event.event) {
    case 'commands-outcome':
      return event.outcome === 'executed';
    case 'attempt-terminated':
      return event.rule === 'ended';
    case 'shard-chosen':
      return event.chosen === event.home;
    case 'job-answered':
      return event.request === 'read' && (event.state === 'queued' || event.state === 'running');
    case 'cancellation-announced':
      return event.chunks === 0;
    case 'cancelled-task-renewed':
      return event.leaseLeft > 0 && event.stops === event.tasks;
    default:
      return false;
  }
}

const formatValue = (value: string | number | null): string => {
  if (typeof value === 'number' && !Number.isInteger(value)) return value.toFixed(3);
  return typeof value === 'string' && value.includes(' ') ? JSON.stringify(value) : String(value);
};

/** Formats an event as one line: `audit at=… node=… event=… name=value …`; `at` is wall-clock time in seconds. */
export function formatAuditEvent(node: string, at: number, event: AuditEvent): string {
  const values: Record<string, string | number | null> = event;
  const fields = Object.entries(values).map(([name, value]) => `${name}=${formatValue(value)}`);
  return `audit at=${at.toFixed(3)} node=${node} ${fields.join(' ')}`;
}

/** Logs and counts the audit events of one node. */
export class AuditTrail {
  private readonly counts = new Map<string, number>();

  /** `wallTime` returns the wall-clock time in seconds. */
  constructor(
    private readonly node: string,
    private readonly wallTime: () => number,
  ) {}

  /** Counts an event and logs it: violated invariants as errors, routine events at `debug`, others at `info`. */
  note(event: AuditEvent): void {
    this.count(event);
    if (event.event === 'invariant-violated') log.error(this.format(event));
    else if (isRoutine(event)) {
      if (log.getLevel() <= log.levels.DEBUG) log.debug(this.format(event));
    } else if (log.getLevel() <= log.levels.INFO) log.info(this.format(event));
  }

  /** Number of events of each kind since the start, by counter name in alphabetical order. */
  get counters(): Record<string, number> {
    return Object.fromEntries([...this.counts].sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  private count(event: AuditEvent): void {
    const name = statusCounterName(event);
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
  }

  private format(event: AuditEvent): string {
    return formatAuditEvent(this.node, this.wallTime(), event);
  }
}
