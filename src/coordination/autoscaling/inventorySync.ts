/** Synchronises the stored machines with the cloud's list: assigns unknown machines to shards and stores addresses. */
import { describeError, log } from '../../base/log.js';
import type { ListedMachine } from '../../protocol/cloudProtocol.js';
import type { MachineGroupRecord } from '../../storage/records.js';
import type { CloudClient } from './cloudClient.js';
import type { AutoscalingContext } from './autoscalingContext.js';
import type { MachineGroupStore } from './machineGroupStore.js';
import { VanishedMachines } from './vanishedMachines.js';
import type { UnansweredLaunches } from './unansweredLaunches.js';
import { chooseShardFor, groupLimit, splitGroup } from './machineGroups.js';

/** Time between two reads of the list, as a ratio to the list's lag. */
const INTERVAL = 0.75;

/** How long a group's record waits for the addresses of all its machines, as a ratio to the list's lag. */
const ADDRESS_WINDOW = 4;

/**
 * How long a machine waits for adoption if an unanswered launch request may have launched it, as a ratio to the list's lag:
 * the cloud may refuse to answer for long, and the machine costs money.
 */
const UNANSWERED_LAUNCH_WINDOW = 4;

/** Share of this controller's write rate that writes of addresses may use. */
const ADDRESS_SHARE = 1 / 10;

/** The address of a running machine, else empty: a booting machine would seem to be silent. */
const addressOf = (machine: ListedMachine | undefined): string =>
  machine?.status === 'running' ? machine.address : '';

/** Keeps the stored machines in line with the cloud's list. */
export class InventorySync {
  private listed = new Map<string, ListedMachine>();
  /** Listed machines without a record, with the monotonic time at which each was first found. */
  private readonly unknownSince = new Map<string, number>();
  private readonly vanished: VanishedMachines;
  private lastRead = -Infinity;
  private isReading = false;

  constructor(
    private readonly node: AutoscalingContext,
    private readonly cloud: CloudClient,
    private readonly groups: MachineGroupStore,
    private readonly unansweredLaunches: Pick<UnansweredLaunches, 'mayHaveLaunched'>,
    /** Whether the release of a machine was confirmed: a late list may still show the machine. */
    private readonly isReleased: (machine: string) => boolean,
  ) {
    this.vanished = new VanishedMachines(node.settings.cloudListLag);
  }

  /** Makes the next `readIfDue` read the list. */
  invalidate(): void {
    this.lastRead = -Infinity;
  }

  /** Machines that failed to come up or are gone, according to the cloud's lists. */
  get unusable(): string[] {
    const failed = [...this.listed.values()].filter(({ status }) => status === 'failed');
    return [...failed.map(({ name }) => name), ...this.vanished.names];
  }

  /** Reads the list if it is due, and stores what is new. */
  async readIfDue(now: number): Promise<void> {
    if (this.isReading || now - this.lastRead <= this.node.settings.cloudListLag * INTERVAL) return;
    this.isReading = true;
    try {
      const found = await this.cloud.listMachines();
      if (found === null) return;
      this.listed = found;
      this.noteVanished(now);
      await this.adoptUnknown();
      await this.storeAddresses();
    } catch (error) {
      log.debug(`synchronising with the machine list failed: ${describeError(error)}`);
    } finally {
      this.isReading = false;
      this.lastRead = this.node.clock.now();
    }
  }

  /** `requestedAt`: monotonic time at which the current list was requested. */
  private noteVanished(requestedAt: number): void {
    const { clock, inventory } = this.node;
    const isListed = (machine: string): boolean => this.listed.has(machine);
    const gone = this.vanished.noteList(inventory.names(), isListed, requestedAt, clock.now());
    if (gone.length > 0) log.info(`no longer in the cloud's machine list: ${gone.join(' ')}`);
  }

  /** Assigns unknown machines to shards: machines of late scale-outs, and machines that ran from the start. */
  private async adoptUnknown(): Promise<void> {
    const { node } = this;
    const groups = new Map<string, MachineGroupRecord>();
    const assigned: { shard: string; type: string; count: number }[] = [];
    for (const machine of this.adoptableMachines()) {
      const { name, type, zone, spot, age } = machine;
      const shard = chooseShardFor(node, zone, '', assigned);
      assigned.push({ shard, type, count: 1 });
      const key = [shard, type, zone, String(spot)].join(' ');
      const group = groups.get(key) ?? { shard, type, zone, spot, machines: {} };
      groups.set(key, group);
      const address = addressOf(machine);
      const launchedAt = node.clock.wall() - age;
      group.machines[name] = address === '' ? { launchedAt } : { launchedAt, address };
    }
    const limit = groupLimit(node.settings.valueBytes);
    const stored = [...groups.values()].flatMap((group) => splitGroup(group, limit));
    await Promise.all(stored.map((group) => this.groups.adopt(group)));
  }

  /** Listed machines that have had no record for longer than the list may lag behind. */
  private adoptableMachines(): ListedMachine[] {
    const { clock, inventory, settings } = this.node;
    const now = clock.now();
    const pending = new Set([...this.groups.pendingMachines.values()].flat());
    for (const name of this.unknownSince.keys()) {
      if (!this.listed.has(name)) this.unknownSince.delete(name);
    }
    // The list may be older than a release by the previous autoscaler. Without any recorded machine there has been no
    // release.
    const usualWindow = inventory.size === 0 ? 0 : settings.cloudListLag;
    const unansweredWindow = settings.cloudListLag * UNANSWERED_LAUNCH_WINDOW;
    const found: ListedMachine[] = [];
    for (const [name, machine] of this.listed) {
      if (inventory.get(name) !== undefined || pending.has(name) || this.isReleased(name)) continue;
      const since = this.unknownSince.get(name) ?? now;
      this.unknownSince.set(name, since);
      const window = this.unansweredLaunches.mayHaveLaunched(machine)
        ? unansweredWindow
        : usualWindow;
      if (now - since >= window) found.push(machine);
    }
    return found;
  }

  /** Stores the addresses of a group once all were received, or those received until the end of `ADDRESS_WINDOW`. */
  private async storeAddresses(): Promise<void> {
    const { inventory, settings } = this.node;
    // Writes that users and starts wait for have priority over addresses.
    let writesLeft = Math.max(1, settings.stateWriteRate * ADDRESS_SHARE);
    for (const name of [...inventory.entries()].map(([group]) => group)) {
      // Read again here: machines may have been released while other groups were written, and must not come back.
      const group = inventory.group(name);
      if (group === undefined || !this.hasNewAddresses(group)) continue;
      if (--writesLeft < 0) return;
      await this.groups.replace(new Map([[name, this.withAddresses(group)]]), 'later');
    }
  }

  private hasNewAddresses(group: MachineGroupRecord): boolean {
    const wall = this.node.clock.wall();
    let missing = 0;
    let found = 0;
    let oldest = wall;
    for (const [name, machine] of Object.entries(group.machines)) {
      if (machine.address !== undefined) continue;
      oldest = Math.min(oldest, machine.launchedAt);
      if (addressOf(this.listed.get(name)) === '') missing++;
      else found++;
    }
    const isLate = wall - oldest > this.node.settings.cloudListLag * ADDRESS_WINDOW;
    return found > 0 && (missing === 0 || isLate);
  }

  private withAddresses(group: MachineGroupRecord): MachineGroupRecord {
    const machines = Object.entries(group.machines).map(([name, machine]) => {
      const address = machine.address ?? addressOf(this.listed.get(name));
      return [name, address === '' ? machine : { ...machine, address }] as const;
    });
    return { ...group, machines: Object.fromEntries(machines) };
  }
}
