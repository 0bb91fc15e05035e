/** The stored groups of machines, written by the elected provisioner alone and under its ownership. */
import { sleep } from '../../base/clock.js';
import { TRANSACTION_BYTES } from '../../protocol/stateProtocol.js';
import type { RequestPriority } from '../../storage/rateLimiter.js';
import { keys, type MachineGroupRecord } from '../../storage/records.js';
import type { TransactionResult } from '../../storage/stateClient.js';
import { AUTOSCALER_DUTY } from '../leadership/shardLeadership.js';
import type { AutoscalingContext } from './autoscalingContext.js';

/** How often the removal of released machines from their records may fail. */
const REMOVAL_TRIES = 20;

export class MachineGroupStore {
  /** Machines whose group is being stored, by the group's name: they are not unknown. */
  readonly pending = new Map<string, string[]>();
  private readonly storing = new Set<string>();
  private sequence = 0;
  private stopped = false;

  constructor(
    private readonly node: AutoscalingContext,
    private readonly process: string,
  ) {}

  stop(): void {
    this.stopped = true;
  }

  /** The condition that this node is the provisioner; null when it is not. */
  ownerCondition(): { key: string; revision: number } | null {
    const leadership = this.node.leadership.get(AUTOSCALER_DUTY);
    if (leadership === undefined || !this.node.leadership.isLeaseValid) return null;
    return { key: keys.owner(AUTOSCALER_DUTY), revision: leadership.revision };
  }

  /** A name for a rental and its group that is never used again. */
  nextName(): string {
    return `${this.node.settings.label}-${this.process}-${++this.sequence}`;
  }

  /** Forgets pending machines, but for groups that are still being stored. */
  prunePending(isOpen: (name: string) => boolean): void {
    for (const name of this.pending.keys()) {
      if (!isOpen(name) && !this.storing.has(name)) this.pending.delete(name);
    }
  }

  /** Stores a rental's intention, unless anything under its name is stored already. */
  async create(name: string, group: MachineGroupRecord): Promise<TransactionResult> {
    const owner = this.ownerCondition();
    if (owner === null) return { kind: 'refused' };
    const key = keys.group(name);
    const when = [owner, { key, revision: 0 }];
    const puts = [{ key, value: group }];
    const result = await this.node.stateClient.transact(
      { conditions: when, puts, deletes: [] },
      'rental',
    );
    if (result.kind === 'applied') this.node.stateCache.note(key, group, result.revision);
    return result;
  }

  /** Stores machines that no rental of ours brought, under a name that is used once. */
  async adopt(group: MachineGroupRecord): Promise<void> {
    const { node } = this;
    const name = this.nextName();
    const leadership = node.leadership.get(AUTOSCALER_DUTY);
    this.storing.add(name);
    this.pending.set(name, Object.keys(group.machines));
    // Its machines are stored in no other group before this one's fate is known: a machine that were
    // in two groups would have two owners.
    while (!this.stopped && node.leadership.get(AUTOSCALER_DUTY) === leadership) {
      if (await this.tryAdopt(name, group)) break;
    }
    this.storing.delete(name);
  }

  /** True once it is known what has become of the group. */
  private async tryAdopt(name: string, group: MachineGroupRecord): Promise<boolean> {
    const { node } = this;
    const result = await this.create(name, group);
    if (result.kind === 'applied') return true;
    if (result.kind !== 'conflict') {
      await sleep(node.settings.heartbeatInterval / 6);
      return false;
    }
    const key = keys.group(name);
    const item = await node.stateClient.get(key).catch(() => undefined);
    if (item === undefined) return false;
    if (item !== null) node.stateCache.note(key, item.value, item.revision);
    // Neither our key nor our ownership is as we thought: a new provisioner will find them.
    else await node.leadership.verifyLeadership(AUTOSCALER_DUTY).catch(() => undefined);
    return true;
  }

  /** Changes groups in one transaction; null removes one. */
  async replace(
    groups: Map<string, MachineGroupRecord | null>,
    priority: RequestPriority,
  ): Promise<TransactionResult> {
    const { stateCache, stateClient: state } = this.node;
    const owner = this.ownerCondition();
    if (owner === null) return { kind: 'refused' };
    const when = [owner];
    const puts: { key: string; value: unknown }[] = [];
    const removes: string[] = [];
    for (const [name, group] of groups) {
      const key = keys.group(name);
      when.push({ key, revision: stateCache.get(key)?.revision ?? 0 });
      if (group === null) removes.push(key);
      else puts.push({ key, value: group });
    }
    const result = await state.transact({ conditions: when, puts, deletes: removes }, priority);
    if (result.kind === 'applied') {
      for (const put of puts) stateCache.note(put.key, put.value, result.revision);
      for (const key of removes) stateCache.noteRemoved(key, result.revision);
    }
    return result;
  }

  /** A copy of a change that got no answer may have been applied: takes the stored record. */
  async reread(name: string): Promise<void> {
    const { stateCache, stateClient: state } = this.node;
    const key = keys.group(name);
    const item = await state.get(key);
    if (item === null) stateCache.noteRemoved(key, Infinity);
    else stateCache.note(key, item.value, item.revision);
  }

  /** The cloud has said that they are gone: what ran there is over. */
  async removeMachines(machines: string[]): Promise<void> {
    const { leadership: ownership, settings } = this.node;
    for (let failures = 0; failures < REMOVAL_TRIES;) {
      const groups = this.withoutMachines(machines);
      if (groups.size === 0) return;
      const result = await this.replace(groups, 'urgent');
      if (result.kind === 'refused' && this.ownerCondition() === null) return;
      if (result.kind === 'conflict') {
        // An earlier copy was applied, or the watch is late: look again.
        for (const name of groups.keys()) await this.reread(name);
        await ownership.verifyLeadership(AUTOSCALER_DUTY);
      }
      if (result.kind === 'applied') continue;
      failures++;
      await sleep(settings.heartbeatInterval / 12);
    }
  }

  /** The groups that hold any of the machines, without them: as many as fit a transaction, or one. */
  private withoutMachines(machines: string[]): Map<string, MachineGroupRecord | null> {
    const { inventory, stateCache, settings, stateClient: state } = this.node;
    const groups = new Map<string, MachineGroupRecord | null>();
    const operations = new Map<string, number>();
    let bytes = 0;
    for (const machine of machines) {
      const name = inventory.groupOf(machine);
      if (name === undefined) continue;
      const stored = stateCache.get(keys.group(name))?.value as MachineGroupRecord | undefined;
      const before = groups.get(name) ?? stored;
      if (before === undefined) continue;
      if (!groups.has(name)) bytes += JSON.stringify(before).length;
      const rest = Object.entries(before.machines).filter(([other]) => other !== machine);
      const after = rest.length === 0 ? null : { ...before, machines: Object.fromEntries(rest) };
      const others = [...operations].filter(([other]) => other !== name);
      const cost = state.operations(keys.group(name), after);
      const all = others.reduce((sum, [, count]) => sum + count, cost);
      if (groups.size > 0 && (all > settings.txnOps || bytes > TRANSACTION_BYTES)) break;
      groups.set(name, after);
      operations.set(name, cost);
    }
    return groups;
  }
}
