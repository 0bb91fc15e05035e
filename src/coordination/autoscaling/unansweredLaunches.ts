/** Launch requests that the cloud has not answered yet, and the listed machines that they may have launched. */
import type { ListedMachine } from '../../protocol/cloudProtocol.js';
import type { AutoscalingContext } from './autoscalingContext.js';

/** The recorded launch requests without an answer. */
export class UnansweredLaunches {
  /** Monotonic time at which this process recorded each of its own launch requests, by the group's name. */
  private readonly recordedAt = new Map<string, number>();

  constructor(private readonly node: Pick<AutoscalingContext, 'clock' | 'inventory'>) {}

  /** Called when this process is about to record a launch request. */
  noteRecorded(group: string): void {
    this.recordedAt.set(group, this.node.clock.now());
  }

  /** Called when a launch request has been answered. */
  forget(group: string): void {
    this.recordedAt.delete(group);
  }

  /**
   * Whether an unanswered launch request may have launched the machine. The time of a request by an earlier process is not
   * available, so a machine of any age may be from it.
   */
  mayHaveLaunched({ type, zone, spot, age }: ListedMachine): boolean {
    const latestLaunch = this.node.clock.now() - age;
    for (const [name, group] of this.node.inventory.entries()) {
      if (group.requestedCount === undefined) continue;
      const isOfKind = group.type === type && group.zone === zone && group.spot === spot;
      if (isOfKind && latestLaunch >= (this.recordedAt.get(name) ?? -Infinity)) return true;
    }
    return false;
  }
}
