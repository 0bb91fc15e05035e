/** Formats the state of a rollout for the command line. */
import type { DriverRecord, RolloutStatus } from '@barrowlb/rollout';

const formatAge = (now: number, since: number): string =>
  `${Math.max(0, Math.round(now - since))} s`;

/** The lines that describe the cluster's version; `now`: wall-clock time in seconds. */
export function describeStatus(status: RolloutStatus, now: number): string[] {
  const { version, features, nodes, parts, blockers } = status;
  const change = version.phase === 'steady' ? 'steady' : `${version.phase} to ${version.target}`;
  const lines = [`level ${version.level}, ${change}`];
  if (status.damage !== null) lines.push(`  ${status.damage}`);
  if (version.hold !== null) {
    const { by, reason, at } = version.hold;
    lines.push(`  held by ${by} for ${formatAge(now, at)}: ${reason}`);
  }
  for (const { name, level, step, isReversible } of features) {
    lines.push(`feature ${name} (level ${level}): ${step}${isReversible ? ', reversible' : ''}`);
  }
  for (const { label, reads, wants } of nodes) {
    const range = reads === null ? 'publishes nothing' : `reads ${reads.min} to ${reads.max}`;
    lines.push(`node ${label}: ${range}${wants === null ? '' : `, switched to ${wants}`}`);
  }
  if (version.walk > 0) lines.push(...describeParts(parts));
  for (const { cause, subject, detail, since } of blockers) {
    lines.push(`waiting for ${formatAge(now, since)}: ${subject} (${cause}): ${detail}`);
  }
  return lines;
}

function describeParts(parts: RolloutStatus['parts']): string[] {
  return parts.flatMap(({ part, isFinished, converted, quarantined, unnamed }) => {
    const state = isFinished ? 'walked through' : 'being walked through';
    const lines = [`records of ${part}: ${state}, ${converted} converted`];
    for (const [key, reason] of Object.entries(quarantined)) {
      lines.push(`  quarantined: ${key}: ${reason}`);
    }
    if (unnamed > 0) lines.push(`  quarantined: ${unnamed} more`);
    return lines;
  });
}

/** The lines that describe the controllers' rollout; `now`: wall-clock time in seconds. */
export function describeDriver(record: DriverRecord, now: number): string[] {
  const { name, phase, direction, cause, permit, controllers, order } = record;
  const directionNote = direction === 'back' ? ', going back' : '';
  return [
    `rollout ${name}: ${phase}${directionNote}, driven by ${permit.holder}`,
    `  for ${formatAge(now, cause.since)}: ${cause.text}`,
    ...order.map((label) => {
      const progress = controllers[label];
      if (progress === undefined) return `  ${label}: unknown`;
      return `  ${label}: ${progress.state} for ${formatAge(now, progress.since)}`;
    }),
  ];
}
