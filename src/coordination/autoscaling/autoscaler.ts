/** Scale-out and scale-in of all shards, run by the one controller that is elected for it. */
import { sleep } from '../../base/clock.js';
import { describeError, log } from '../../base/log.js';
import type { MachineType } from '../../protocol/cloudProtocol.js';
import { keys } from '../../storage/records.js';
import { CloudClient } from './cloudClient.js';
import type { AutoscalingContext } from './autoscalingContext.js';
import { MachineGroupStore } from './machineGroupStore.js';
import { InventorySync } from './inventorySync.js';
import { UnansweredLaunches } from './unansweredLaunches.js';
import { ScaleIn } from './scaleIn.js';
import { ScaleOut } from './scaleOut.js';

/** Time between two steps, as a ratio to the heartbeat interval. */
const INTERVAL = 1 / 6;

/** Launches and releases machines while this controller is the elected autoscaler. */
export class Autoscaler {
  private isElected = false;
  private stopped = false;
  private isStoringTypes = false;
  private readonly cloud: CloudClient;
  private readonly groups: MachineGroupStore;
  private readonly scaleOut: ScaleOut;
  private readonly scaleIn: ScaleIn;
  private readonly inventorySync: InventorySync;

  constructor(
    private readonly node: AutoscalingContext,
    process: string,
  ) {
    const { clock, links, settings } = node;
    const { cloudEndpoint, cloudRequestRate } = settings;
    this.cloud = new CloudClient(links.services, clock, cloudEndpoint, cloudRequestRate);
    this.groups = new MachineGroupStore(node, process);
    const unansweredLaunches = new UnansweredLaunches(node);
    this.scaleOut = new ScaleOut(node, this.cloud, this.groups, unansweredLaunches);
    this.scaleIn = new ScaleIn(node, this.cloud, this.groups);
    const isReleased = (machine: string): boolean => this.scaleIn.isReleased(machine);
    this.inventorySync = new InventorySync(
      node,
      this.cloud,
      this.groups,
      unansweredLaunches,
      isReleased,
    );
  }

  /** Called when this controller has been elected as the autoscaler. */
  onElected(): void {
    this.isElected = true;
    this.groups.pendingMachines.clear();
    this.scaleOut.reset();
    this.inventorySync.invalidate();
    log.info('this node is the autoscaler');
  }

  /** Called when another controller is the autoscaler, or none is. */
  onElectionLost(): void {
    this.isElected = false;
  }

  /** Ends `run`. */
  stop(): void {
    this.stopped = true;
    this.groups.stop();
  }

  /** Runs steps until `stop`. */
  async run(): Promise<void> {
    const { leadership, settings } = this.node;
    while (!this.stopped) {
      try {
        if (this.isElected && leadership.isLeaseValid && this.node.machineTypes.size > 0)
          this.step();
      } catch (error) {
        log.error(`autoscaling step failed: ${describeError(error)}`);
      }
      await sleep(settings.heartbeatInterval * INTERVAL);
    }
  }

  private step(): void {
    const { clock, stateClient, stateLeaseTtl } = this.node;
    const now = clock.now();
    if (this.cloud.isPaused) return;
    // A request sent during a partition may be executed after it has ended, when nobody wants it any more.
    if (now - stateClient.lastServedAt > stateLeaseTtl / 2) return;
    void this.storeTypes();
    void this.inventorySync.readIfDue(now);
    this.scaleOut.continueOpen(now);
    this.groups.prunePending((name) => this.scaleOut.isOpen(name));
    this.scaleIn.releaseDue(now, this.inventorySync.unusable);
    this.scaleOut.launchForDemands(now);
  }

  /** Stores the machine types for controllers that start while the cloud's interface is down. */
  private async storeTypes(): Promise<void> {
    const { stateCache, stateClient: state } = this.node;
    const leader = this.groups.leaderCondition();
    const stored = stateCache.get(keys.machineTypes);
    const known = (stored?.value ?? []) as MachineType[];
    const machineTypes = [...this.node.machineTypes.values()];
    const namesOf = (list: MachineType[]): string => list.map((type) => type.name).join(' ');
    if (leader === null || this.isStoringTypes || namesOf(known) === namesOf(machineTypes)) return;
    this.isStoringTypes = true;
    try {
      const conditions = [leader, { key: keys.machineTypes, revision: stored?.revision ?? 0 }];
      const puts = [{ key: keys.machineTypes, value: machineTypes }];
      const result = await state.transact({ conditions, puts, deletes: [] });
      if (result.kind === 'applied')
        stateCache.applyPut(keys.machineTypes, machineTypes, result.revision);
    } finally {
      this.isStoringTypes = false;
    }
  }
}
