/** The plan of a rollout: a file of Java-style properties that operators write. */
import { createHash } from 'node:crypto';
import { parse } from 'dot-properties';
import { closest } from 'fastest-levenshtein';

/** The plan is faulty; the message says where. */
export class PlanError extends Error {}

/** What is done when a controller does not come back well. */
export type FailurePolicy = 'pause' | 'rollback';

/** What operators ask of a rollout. */
export interface RolloutPlan {
  name: string;
  /** Controllers in the order in which they are replaced. */
  order: string[];
  /** Where users reach each of them. */
  addresses: Record<string, string>;
  /** The version that they must have afterwards. */
  version: string;
  /** Program and arguments that replace one controller. */
  command: string[];
  rollbackVersion: string | null;
  rollbackCommand: string[] | null;
  /** Controllers that may be away at a time. */
  concurrency: number;
  drainsFirst: boolean;
  /** Seconds until a controller must have given up its shards, and until it must be back. */
  drainTimeout: number;
  startTimeout: number;
  /** Seconds for which the cluster must be well before the next controller. */
  soak: number;
  onFailure: FailurePolicy;
  /** False: an operator finalises the level. */
  autoFinalize: boolean;
  /** Seconds without a sign of life after which another driver may go on. */
  permitTtl: number;
  /** Of the live replicas that ran before a controller was replaced, what must run again. */
  replicaShare: number;
  /** How many times as many tasks may wait as before. */
  waitingFactor: number;
  /** Tells one plan from another. */
  digest: string;
}

const ADDRESS = 'address.';

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

/** Reads single settings of the file, each with its check. */
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
    if (settingKeys.includes(key) || key.startsWith(ADDRESS)) return;
    throw new PlanError(`plan: unknown key "${key}"; did you mean "${closest(key, settingKeys)}"?`);
  }

  get addresses(): Record<string, string> {
    const found = [...this.values].filter(([key]) => key.startsWith(ADDRESS));
    return Object.fromEntries(found.map(([key, value]) => [key.slice(ADDRESS.length), value]));
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

  number(key: string, usual: number, least: number): number {
    const value = this.optional(key);
    if (value === null) return usual;
    const number = Number(value);
    if (!Number.isFinite(number) || number < least) {
      throw new PlanError(`plan: ${key}: expected a number of at least ${least}`);
    }
    return number;
  }

  choice<Choice extends string>(key: string, choices: readonly Choice[]): Choice {
    const [usual] = choices;
    const value = this.optional(key) ?? usual;
    const choice = choices.find((name) => name === value);
    if (choice === undefined) {
      throw new PlanError(`plan: ${key}: expected one of ${choices.join(', ')}`);
    }
    return choice;
  }
}

const words = (text: string): string[] => text.split(/\s+/);

function readOrder(reader: PlanReader): string[] {
  const order = reader.text('order').split(/\s*,\s*/);
  const { addresses } = reader;
  order.forEach((label, i) => {
    if (order.indexOf(label) < i) throw new PlanError(`plan: order names ${label} twice`);
    if (addresses[label] === undefined) {
      throw new PlanError(`plan: order names ${label}, and ${ADDRESS}${label} is missing`);
    }
  });
  return order;
}

/**
 * Reads a plan.
 * @throws {PlanError} if anything is wrong with it, so that nothing has been touched by then.
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
    command: words(reader.text('command')),
    rollbackVersion: reader.optional('rollback.version'),
    rollbackCommand: rollbackCommand === null ? null : words(rollbackCommand),
    concurrency,
    drainsFirst: reader.choice('drain', ['true', 'false']) === 'true',
    drainTimeout: reader.number('drain.timeout', 30, 0),
    startTimeout: reader.number('start.timeout', 120, 0),
    soak: reader.number('soak', 30, 0),
    onFailure,
    autoFinalize: reader.choice('finalize', ['auto', 'manual']) === 'auto',
    permitTtl: reader.number('permit.ttl', 15, 1),
    replicaShare: reader.number('health.replicas', 1, 0),
    waitingFactor: reader.number('health.waiting', 2, 1),
    digest: createHash('sha256').update(text).digest('hex').slice(0, 16),
  };
}

/**
 * Checks the plan against the controllers that the cluster's settings name.
 * @throws {PlanError} if it names another.
 */
export function checkControllers(plan: RolloutPlan, known: string[]): void {
  for (const label of Object.keys(plan.addresses)) {
    if (known.includes(label)) continue;
    throw new PlanError(`plan: ${label} is no controller of this cluster (${known.join(', ')})`);
  }
}

/** The command for one controller. */
export const expandCommand = (command: string[], label: string, version: string | null): string[] =>
  command.map((word) =>
    word.replaceAll('{controller}', label).replaceAll('{version}', version ?? ''),
  );
