/** The one elected node that rents and returns machines for all parts. */
import { sleep } from '../../base/clock.js';
import { describe, log } from '../../base/log.js';
import type { MachineType } from '../../protocol/cloudProtocol.js';
import { keys } from '../../storage/records.js';
import { CloudClient } from './cloudClient.js';
import type { AutoscalingContext } from './autoscalingContext.js';
import { MachineGroupStore } from './machineGroupStore.js';
import { InventorySync } from './inventorySync.js';
import { ScaleIn } from './scaleIn.js';
import { ScaleOut } from './scaleOut.js';

/** Time between two steps, as a ratio to the time between reports. */
const INTERVAL = 1 / 6;

export class Autoscaler {
  private active = false;
  private stopped = false;
  private isStoringTypes = false;
  private readonly cloud: CloudClient;
  private readonly groups: MachineGroupStore;
  private readonly renter: ScaleOut;
  private readonly releaser: ScaleIn;
  private readonly listing: InventorySync;

  constructor(
    private readonly node: AutoscalingContext,
    process: string,
  ) {
    const { clock, links, settings } = node;
    const { cloudEndpoint, cloudRate } = settings;
    this.cloud = new CloudClient(links.services, clock, cloudEndpoint, cloudRate);
    this.groups = new MachineGroupStore(node, process);
    this.renter = new ScaleOut(node, this.cloud, this.groups);
    this.releaser = new ScaleIn(node, this.cloud, this.groups);
    this.listing = new InventorySync(node, this.cloud, this.groups, (machine) =>
      this.releaser.isReleased(machine),
    );
  }

  /** This node has become the provisioner. */
  elected(): void {
    this.active = true;
    this.groups.pending.clear();
    this.renter.reset();
    this.listing.expire();
    log.info('this node rents and returns the machines');
  }

  /** Another node is the provisioner, or none. */
  retired(): void {
    this.active = false;
  }

  stop(): void {
    this.stopped = true;
    this.groups.stop();
  }

  /** Goes on until `stop`. */
  async run(): Promise<void> {
    const { leadership: ownership, settings } = this.node;
    while (!this.stopped) {
      try {
        if (this.active && ownership.isLeaseValid && this.node.machineTypes.size > 0) this.step();
      } catch (error) {
        log.error(`provisioner: ${describe(error)}`);
      }
      await sleep(settings.heartbeatInterval * INTERVAL);
    }
  }

  private step(): void {
    const { clock, stateClient: state, stateLeaseTtl: stateTtl } = this.node;
    const now = clock.now();
    if (this.cloud.isPausing) return;
    // What is sent into a cut may be carried out when it is over, and nobody wants it any more then.
    if (now - state.lastServed > stateTtl / 2) return;
    void this.storeTypes();
    void this.listing.readIfDue(now);
    this.renter.continueOpen(now);
    this.groups.prunePending((name) => this.renter.isOpen(name));
    this.releaser.releaseDue(now, this.listing.failed);
    this.renter.rentForDemands(now);
  }

  /** Keeps the machine types for nodes that start while the cloud's interface is down. */
  private async storeTypes(): Promise<void> {
    const { stateCache, stateClient: state } = this.node;
    const owner = this.groups.ownerCondition();
    const stored = stateCache.get(keys.types);
    const known = (stored?.value ?? []) as MachineType[];
    const machineTypes = [...this.node.machineTypes.values()];
    const namesOf = (list: MachineType[]): string => list.map((type) => type.name).join(' ');
    if (owner === null || this.isStoringTypes || namesOf(known) === namesOf(machineTypes)) return;
    this.isStoringTypes = true;
    try {
      const when = [owner, { key: keys.types, revision: stored?.revision ?? 0 }];
      const puts = [{ key: keys.types, value: machineTypes }];
      const result = await state.transact({ conditions: when, puts, deletes: [] });
      if (result.kind === 'applied') stateCache.note(keys.types, machineTypes, result.revision);
    } finally {
      this.isStoringTypes = false;
    }
  }
}
