/** Releases machines that are lost, failed, gone or no longer needed. */
import { describeError, log } from '../../base/log.js';
import { MAX_RELEASE_COUNT } from '../../protocol/cloudProtocol.js';
import type { CloudClient } from './cloudClient.js';
import type { AutoscalingContext } from './autoscalingContext.js';
import type { MachineGroupStore } from './machineGroupStore.js';

/** How long a released machine is remembered, as a ratio to the lag of the cloud's list. */
const RELEASED_MEMORY = 10;

/** Scale-in of all shards by the elected autoscaler. */
export class ScaleIn {
  /** Machines whose release was confirmed, and when: gone, whatever a late list says. */
  private readonly released = new Map<string, number>();
  private readonly releasing = new Set<string>();

  constructor(
    private readonly node: AutoscalingContext,
    private readonly cloud: CloudClient,
    private readonly groups: MachineGroupStore,
  ) {}

  /** Whether the machine's release was confirmed lately. */
  isReleased(machine: string): boolean {
    return this.released.has(machine);
  }

  /** Starts the release of all that is due; `unusable` machines failed to come up, or are gone by the cloud's lists. */
  releaseDue(now: number, unusable: string[]): void {
    this.forget(now);
    const due = [...this.unwanted(unusable)].filter(
      (machine) => !this.releasing.has(machine) && !this.released.has(machine),
    );
    // All at once: when hundreds of machines are lost together, replicas wait for each of them.
    for (let from = 0; from < due.length; from += MAX_RELEASE_COUNT) {
      void this.release(due.slice(from, from + MAX_RELEASE_COUNT));
    }
  }

  /** Lost machines first, since their tasks are started anew once they are released; then idle ones. */
  private unwanted(unusable: string[]): Set<string> {
    const { gossiper, peers, inventory } = this.node;
    const gossips = peers.gossips().filter((gossip) => gossip.isServed);
    return new Set([
      ...gossiper.lostMachines(),
      ...gossips.flatMap((gossip) => gossip.lostMachines),
      ...unusable,
      // Two shards count on it: only a confirmed release ends its attempts for both.
      ...inventory.contested(),
      ...gossiper.spareMachines(),
      ...gossips.flatMap((gossip) => gossip.idleMachines),
    ]);
  }

  private forget(now: number): void {
    for (const [machine, at] of this.released) {
      if (now - at > this.node.settings.cloudListLag * RELEASED_MEMORY)
        this.released.delete(machine);
    }
  }

  private async release(machines: string[]): Promise<void> {
    for (const machine of machines) this.releasing.add(machine);
    try {
      if (!(await this.cloud.release(machines))) return;
      log.info(`released ${machines.join(' ')}`);
      const now = this.node.clock.now();
      for (const machine of machines) this.released.set(machine, now);
      await this.groups.removeMachines(machines);
    } catch (error) {
      log.debug(`release: ${describeError(error)}`);
    } finally {
      for (const machine of machines) this.releasing.delete(machine);
    }
  }
}
