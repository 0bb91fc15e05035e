/** Releases machines that are lost, failed, gone or no longer needed. */
import { describeError, log } from '../../base/log.js';
import { MAX_RELEASE_COUNT } from '../../protocol/cloudProtocol.js';
import type { CloudClient } from './cloudClient.js';
import type { AutoscalingContext } from './autoscalingContext.js';
import type { MachineGroupStore } from './machineGroupStore.js';

/** How long a released machine is remembered, as a ratio to the list's lag. */
const RELEASED_RETENTION = 10;

/** Scale-in of all shards by the elected autoscaler. */
export class ScaleIn {
  /** Machines whose release was confirmed, with its monotonic time: they are gone, even if a late list contains them. */
  private readonly released = new Map<string, number>();
  private readonly releasing = new Set<string>();

  constructor(
    private readonly node: AutoscalingContext,
    private readonly cloud: CloudClient,
    private readonly groups: MachineGroupStore,
  ) {}

  /** Whether the machine's release was confirmed recently. */
  isReleased(machine: string): boolean {
    return this.released.has(machine);
  }

  /**
   * Starts the release of all machines that are due; `unusable` ones failed to come up, or are gone according to the
   * cloud's lists.
   */
  releaseDue(now: number, unusable: string[]): void {
    this.forgetOldReleases(now);
    const due = [...this.unwanted(unusable)].filter(
      (machine) => !this.releasing.has(machine) && !this.released.has(machine),
    );
    // All requests are sent at once: when hundreds of machines are lost together, replicas wait for each of them.
    for (let from = 0; from < due.length; from += MAX_RELEASE_COUNT) {
      void this.release(due.slice(from, from + MAX_RELEASE_COUNT));
    }
  }

  /**
   * The machines to release. Lost ones come first, since their tasks are restarted only after the release; then idle ones.
   */
  private unwanted(unusable: string[]): Set<string> {
    const { gossiper, peers, inventory } = this.node;
    const gossips = peers.gossips().filter((gossip) => gossip.isServed);
    return new Set([
      ...gossiper.lostMachines(),
      ...gossips.flatMap((gossip) => gossip.lostMachines),
      ...unusable,
      // Groups of two shards contain the machine: only a confirmed release ends its attempts for both.
      ...inventory.contested(),
      ...gossiper.spareMachines(),
      ...gossips.flatMap((gossip) => gossip.idleMachines),
    ]);
  }

  private forgetOldReleases(now: number): void {
    for (const [machine, at] of this.released) {
      if (now - at > this.node.settings.cloudListLag * RELEASED_RETENTION)
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
      log.debug(`release of machines failed: ${describeError(error)}`);
    } finally {
      for (const machine of machines) this.releasing.delete(machine);
    }
  }
}
