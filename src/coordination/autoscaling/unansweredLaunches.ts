/** Rentals that the cloud has not answered yet, and which listed machines they may have launched. */
import type { ListedMachine } from '../../protocol/cloudProtocol.js';
import type { AutoscalingContext } from './autoscalingContext.js';

/** The recorded rentals without an answer. */
export class UnansweredLaunches {
  /** Steady time at which this process has recorded each of its own rentals. */
  private readonly recordedAt = new Map<string, number>();

  constructor(private readonly node: Pick<AutoscalingContext, 'clock' | 'inventory'>) {}

  /** This process is about to record a rental. */
  noteRecorded(group: string): void {
    this.recordedAt.set(group, this.node.clock.now());
  }

  /** The rental has been answered. */
  forget(group: string): void {
    this.recordedAt.delete(group);
  }

  /** Whether a rental without an answer may have launched the machine. Of one by an earlier process the time is not known. */
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
