/** The stored groups of machines. Only the elected autoscaler writes them, on condition of its leadership. */
import { sleep } from '../../base/clock.js';
import { MAX_TRANSACTION_CHANGE_BYTES } from '../../protocol/stateProtocol.js';
import type { RequestPriority } from '../../storage/rateLimiter.js';
import { keys, type MachineGroupRecord } from '../../storage/records.js';
import type { TransactionResult } from '../../storage/stateClient.js';
import { AUTOSCALER_ROLE } from '../leadership/shardLeadership.js';
import type { AutoscalingContext } from './autoscalingContext.js';

/** Failed writes after which the removal of released machines from their records is given up. */
const REMOVAL_TRIES = 20;

/** Writes of machine group records. */
export class MachineGroupStore {
  /** Machines whose group is being stored, by the group's name. They do not count as unknown. */
  readonly pendingMachines = new Map<string, string[]>();
  private readonly storing = new Set<string>();
  private sequence = 0;
  private stopped = false;

  constructor(
    private readonly node: AutoscalingContext,
    private readonly process: string,
  ) {}

  /** Ends the retries of writes. */
  stop(): void {
    this.stopped = true;
  }

  /** The condition that this controller is the elected autoscaler; null when it is not. */
  leaderCondition(): { key: string; revision: number } | null {
    const leadership = this.node.leadership.get(AUTOSCALER_ROLE);
    if (leadership === undefined || !this.node.leadership.isLeaseValid) return null;
    return { key: keys.leader(AUTOSCALER_ROLE), revision: leadership.revision };
  }

  /** A name for a scale-out and its group that is never used again. */
  nextName(): string {
    return `${this.node.settings.label}-${this.process}-${++this.sequence}`;
  }

  /** Whether a machine is being stored in another group than this one. */
  isBeingStoredElsewhere(machine: string, group: string): boolean {
    for (const [name, machines] of this.pendingMachines)
      if (name !== group && machines.includes(machine)) return true;
    return false;
  }

  /** Forgets pending machines, except those of open scale-outs and of groups that are still being stored. */
  prunePending(isOpen: (name: string) => boolean): void {
    for (const name of this.pendingMachines.keys()) {
      if (!isOpen(name) && !this.storing.has(name)) this.pendingMachines.delete(name);
    }
  }

  /** Records a scale-out before it is requested, unless its name is stored already. */
  async create(name: string, group: MachineGroupRecord): Promise<TransactionResult> {
    const leader = this.leaderCondition();
    if (leader === null) return { kind: 'refused' };
    const key = keys.machineGroup(name);
    const conditions = [leader, { key, revision: 0 }];
    const puts = [{ key, value: group }];
    const result = await this.node.stateClient.transact(
      { conditions, puts, deletes: [] },
      'rental',
    );
    if (result.kind === 'applied') this.node.stateCache.applyPut(key, group, result.revision);
    return result;
  }

  /** Stores machines that no recorded scale-out launched as a group with a name of its own. */
  async adopt(group: MachineGroupRecord): Promise<void> {
    const { node } = this;
    const name = this.nextName();
    const leadership = node.leadership.get(AUTOSCALER_ROLE);
    this.storing.add(name);
    this.pendingMachines.set(name, Object.keys(group.machines));
    // The write is repeated until it is certain whether the group is stored. Until then its machines must not go into another
    // group: a machine in two groups would belong to two shards.
    while (!this.stopped && node.leadership.get(AUTOSCALER_ROLE) === leadership) {
      if (await this.tryAdopt(name, group)) break;
    }
    this.storing.delete(name);
  }

  /** Returns true once it is certain whether the group is stored. */
  private async tryAdopt(name: string, group: MachineGroupRecord): Promise<boolean> {
    const { node } = this;
    const result = await this.create(name, group);
    if (result.kind === 'applied') return true;
    if (result.kind !== 'conflict') {
      await sleep(node.settings.heartbeatInterval / 6);
      return false;
    }
    const key = keys.machineGroup(name);
    const item = await node.stateClient.get(key).catch(() => undefined);
    if (item === undefined) return false;
    if (item !== null) node.stateCache.applyPut(key, item.value, item.revision);
    // The record does not exist, so the leadership has changed: a new autoscaler will find the machines.
    else await node.leadership.verifyLeadership(AUTOSCALER_ROLE).catch(() => undefined);
    return true;
  }

  /** Writes groups in one transaction; null removes a group. */
  async replace(
    groups: Map<string, MachineGroupRecord | null>,
    priority: RequestPriority,
  ): Promise<TransactionResult> {
    const { stateCache, stateClient: state } = this.node;
    const leader = this.leaderCondition();
    if (leader === null) return { kind: 'refused' };
    const conditions = [leader];
    const puts: { key: string; value: unknown }[] = [];
    const deletes: string[] = [];
    for (const [name, group] of groups) {
      const key = keys.machineGroup(name);
      conditions.push({ key, revision: stateCache.get(key)?.revision ?? 0 });
      if (group === null) deletes.push(key);
      else puts.push({ key, value: group });
    }
    const result = await state.transact({ conditions, puts, deletes }, priority);
    if (result.kind === 'applied') {
      for (const put of puts) stateCache.applyPut(put.key, put.value, result.revision);
      for (const key of deletes) stateCache.applyRemoval(key, result.revision);
    }
    return result;
  }

  /** Reads the stored record into the cache: a change without an answer may have been applied. */
  async reread(name: string): Promise<void> {
    const { stateCache, stateClient: state } = this.node;
    const key = keys.machineGroup(name);
    const item = await state.get(key);
    if (item === null) stateCache.applyRemoval(key, Infinity);
    else stateCache.applyPut(key, item.value, item.revision);
  }

  /** Removes machines from their groups after the cloud has confirmed their release: what ran there has ended. */
  async removeMachines(machines: string[]): Promise<void> {
    const { leadership, settings } = this.node;
    for (let failures = 0; failures < REMOVAL_TRIES;) {
      const groups = this.withoutMachines(machines);
      if (groups.size === 0) return;
      const result = await this.replace(groups, 'urgent');
      if (result.kind === 'refused' && this.leaderCondition() === null) return;
      if (result.kind === 'conflict') {
        // An earlier copy of the transaction was applied, or the watch lags behind: read the records again.
        for (const name of groups.keys()) await this.reread(name);
        await leadership.verifyLeadership(AUTOSCALER_ROLE);
      }
      if (result.kind === 'applied') continue;
      failures++;
      await sleep(settings.heartbeatInterval / 12);
    }
  }

  /** The groups that contain any of the machines, without those: as many groups as fit a transaction, at least one. */
  private withoutMachines(machines: string[]): Map<string, MachineGroupRecord | null> {
    const { inventory, stateCache, settings, stateClient: state } = this.node;
    const groups = new Map<string, MachineGroupRecord | null>();
    const operations = new Map<string, number>();
    let bytes = 0;
    const claims = machines.flatMap((machine) =>
      inventory.groupsOf(machine).map((name) => ({ machine, name })),
    );
    for (const { machine, name } of claims) {
      const stored = stateCache.get(keys.machineGroup(name))?.value as
        MachineGroupRecord | undefined;
      const before = groups.get(name) ?? stored;
      if (before === undefined) continue;
      if (!groups.has(name)) bytes += JSON.stringify(before).length;
      const rest = Object.entries(before.machines).filter(([other]) => other !== machine);
      const after = rest.length === 0 ? null : { ...before, machines: Object.fromEntries(rest) };
      const others = [...operations].filter(([other]) => other !== name);
      const cost = state.operations(keys.machineGroup(name), after);
      const all = others.reduce((sum, [, count]) => sum + count, cost);
      if (groups.size > 0 && (all > settings.txnOps || bytes > MAX_TRANSACTION_CHANGE_BYTES)) break;
      groups.set(name, after);
      operations.set(name, cost);
    }
    return groups;
  }
}
