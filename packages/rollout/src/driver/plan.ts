/** The plan of a rollout: a file of Java-style properties written by operators. */
import { createHash } from 'node:crypto';
import { parse } from 'dot-properties';
import { closest } from 'fastest-levenshtein';

/** The plan is invalid; the message says what is wrong. */
export class PlanError extends Error {}

/** The reaction to a controller that does not become healthy after its replacement. */
export type FailurePolicy = 'pause' | 'rollback';

/** A parsed plan. */
export interface RolloutPlan {
  name: string;
  /** Labels of the controllers, in the order of their replacement. */
  order: string[];
  /** The client address of each controller. */
  addresses: Record<string, string>;
  /** The version that each controller must run after its replacement. */
  version: string;
  /** Program and arguments of the command that replaces one controller. */
  command: string[];
  rollbackVersion: string | null;
  rollbackCommand: string[] | null;
  /** Maximum number of controllers that may be unavailable at a time. */
  concurrency: number;
  /** Whether a controller is drained before it is replaced. */
  drainsFirst: boolean;
  /** Seconds within which a controller must have relinquished its shards. */
  drainTimeout: number;
  /** Seconds within which a replaced controller must be ready again. */
  startTimeout: number;
  /** Seconds for which the cluster must stay healthy before the next controller is replaced. */
  soak: number;
  onFailure: FailurePolicy;
  /** Whether the driver ends the hold on the level after the rollout; otherwise an operator does. */
  autoFinalize: boolean;
  /** Seconds without a renewal after which another driver may take over the permit. */
  permitTtl: number;
  /** The share of the live replicas before the replacement that must run again. */
  minReplicaRatio: number;
  /** The factor by which the number of waiting tasks may grow compared to the baseline. */
  maxWaitingRatio: number;
  /** Hash of the plan's text; identifies the plan. */
  digest: string;
}

const ADDRESS_PREFIX = 'address.';

const settingKeys = [
  'rollout',
  'order',
  'version',
  'command',
  'rollback.version',
  'rollback.command',
  'concurrency',
  'drain',
  'drain.timeout',
  'start.timeout',
  'soak',
  'on.failure',
  'finalize',
  'permit.ttl',
  'health.replicas',
  'health.waiting',
];

/** Reads and validates single settings of the plan. */
class PlanReader {
  private readonly values: Map<string, string>;

  constructor(text: string) {
    const parsed = parse(text) as Record<string, unknown>;
    this.values = new Map(
      Object.entries(parsed).map(([key, value]) => [key, String(value).trim()]),
    );
    for (const key of this.values.keys()) this.checkKey(key);
  }

  private checkKey(key: string): void {
    if (settingKeys.includes(key) || key.startsWith(ADDRESS_PREFIX)) return;
    throw new PlanError(`plan: unknown key "${key}"; did you mean "${closest(key, settingKeys)}"?`);
  }

  get addresses(): Record<string, string> {
    const found = [...this.values].filter(([key]) => key.startsWith(ADDRESS_PREFIX));
    return Object.fromEntries(
      found.map(([key, value]) => [key.slice(ADDRESS_PREFIX.length), value]),
    );
  }

  text(key: string): string {
    const value = this.values.get(key) ?? '';
    if (value === '') throw new PlanError(`plan: ${key} is missing`);
    return value;
  }

  optional(key: string): string | null {
    const value = this.values.get(key) ?? '';
    return value === '' ? null : value;
  }

  number(key: string, fallback: number, min: number): number {
    const value = this.optional(key);
    if (value === null) return fallback;
    const number = Number(value);
    if (!Number.isFinite(number) || number < min) {
      throw new PlanError(`plan: ${key}: expected a number of at least ${min}`);
    }
    return number;
  }

  choice<Choice extends string>(key: string, choices: readonly Choice[]): Choice {
    const [fallback] = choices;
    const value = this.optional(key) ?? fallback;
    const choice = choices.find((name) => name === value);
    if (choice === undefined) {
      throw new PlanError(`plan: ${key}: expected one of ${choices.join(', ')}`);
    }
    return choice;
  }
}

const splitWords = (text: string): string[] => text.split(/\s+/);

function readOrder(reader: PlanReader): string[] {
  const order = reader.text('order').split(/\s*,\s*/);
  const { addresses } = reader;
  order.forEach((label, i) => {
    if (order.indexOf(label) < i) throw new PlanError(`plan: order names ${label} twice`);
    if (addresses[label] === undefined) {
      throw new PlanError(`plan: order names ${label}, and ${ADDRESS_PREFIX}${label} is missing`);
    }
  });
  return order;
}

/**
 * Parses a plan.
 * @throws {PlanError} if the plan is invalid, before any controller is changed.
 */
export function parsePlan(text: string): RolloutPlan {
  const reader = new PlanReader(text);
  const order = readOrder(reader);
  const rollbackCommand = reader.optional('rollback.command');
  const onFailure = reader.choice('on.failure', ['pause', 'rollback']);
  if (onFailure === 'rollback' && rollbackCommand === null) {
    throw new PlanError('plan: on.failure is rollback, and rollback.command is missing');
  }
  const concurrency = reader.number('concurrency', 1, 1);
  if (!Number.isInteger(concurrency))
    throw new PlanError('plan: concurrency: expected a whole number');
  return {
    name: reader.text('rollout'),
    order,
    addresses: reader.addresses,
    version: reader.text('version'),
    command: splitWords(reader.text('command')),
    rollbackVersion: reader.optional('rollback.version'),
    rollbackCommand: rollbackCommand === null ? null : splitWords(rollbackCommand),
    concurrency,
    drainsFirst: reader.choice('drain', ['true', 'false']) === 'true',
    drainTimeout: reader.number('drain.timeout', 30, 0),
    startTimeout: reader.number('start.timeout', 120, 0),
    soak: reader.number('soak', 30, 0),
    onFailure,
    autoFinalize: reader.choice('finalize', ['auto', 'manual']) === 'auto',
    permitTtl: reader.number('permit.ttl', 15, 1),
    minReplicaRatio: reader.number('health.replicas', 1, 0),
    maxWaitingRatio: reader.number('health.waiting', 2, 1),
    digest: createHash('sha256').update(text).digest('hex').slice(0, 16),
  };
}

/**
 * Checks that all controllers of the plan belong to the cluster.
 * @throws {PlanError} if the plan names a controller that is not in the cluster's settings.
 */
export function checkControllers(plan: RolloutPlan, known: string[]): void {
  for (const label of Object.keys(plan.addresses)) {
    if (known.includes(label)) continue;
    throw new PlanError(`plan: ${label} is no controller of this cluster (${known.join(', ')})`);
  }
}

/** Substitutes the label and the version in the command for one controller. */
export const expandCommand = (command: string[], label: string, version: string | null): string[] =>
  command.map((word) =>
    word.replaceAll('{controller}', label).replaceAll('{version}', version ?? ''),
  );
