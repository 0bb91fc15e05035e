/**
 * The counters of audit events that `/v1/overview` shows. Their names are part of that interface and stay those of version
 * 0.4.1, while the events have the names that the log lines show.
 */
import type { AuditEvent } from './auditEvent.js';
import type { TerminationRule } from './terminationRule.js';

/** Counters of events that are counted under one name, whatever their fields. */
const EVENT_COUNTERS = {
  'leadership-gained': 'part-gained',
  'leadership-lost': 'part-lost',
  'fencing-token-advanced': 'token-raised',
  'machine-release-requested': 'machine-given-up',
  'cancellation-announced': 'cancellations.announced',
  'cancellation-abandoned': 'cancellations.abandoned',
  'cancelled-chunk-taken-up': 'cancellations.chunk-taken-up',
  'cancelled-task-renewed': 'cancellations.task-renewed',
} as const;

/** The last part of the counter's name for terminated attempts, by the rule of their termination. */
const RULE_COUNTERS: Record<TerminationRule, string> = {
  ended: 'ended',
  absent: 'absent',
  'never-started': 'unwanted-absent',
  'new-agent-epoch': 'new-session',
  'lease-expired': 'lease-over',
  'machine-released': 'machine-gone',
  'never-sent': 'never-sent',
};

/** The name of an event's counter in `/v1/overview`. */
export function statusCounterName(event: AuditEvent): string {
  switch (event.event) {
    case 'attempt-terminated':
      return `attempt-over.${RULE_COUNTERS[event.rule]}`;
    case 'commands-outcome':
      return `orders-outcome.${event.outcome}`;
    case 'commands-sent':
      return `orders-sent.${event.route}`;
    case 'job-answered':
      return `answers.${event.source}`;
    case 'answer-withheld':
      return `answers-withheld.${event.reason}`;
    case 'shard-chosen':
      return `shard-chosen.${event.chosen === event.home ? 'home' : 'peer'}`;
    case 'cancellation-prepared':
      return `cancellations.${event.missing === '' ? 'prepared' : 'not-prepared'}`;
    case 'cancellation-write':
      return `cancellations.write.${event.outcome}`;
    case 'invariant-violated':
      return `invariant-broken.${event.invariant}`;
    default:
      return EVENT_COUNTERS[event.event];
  }
}
