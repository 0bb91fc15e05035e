/** Demands for machines, merged: pure. */
import type { Demand } from '../../protocol/peerMessages.js';

/** One demand for all work that the same machines suit: thousands of tasks may wait. */
export class DemandList {
  private readonly demands = new Map<string, Demand>();

  /** All demands. */
  get all(): Demand[] {
    return [...this.demands.values()];
  }

  /** Whether one of them is for a live service. */
  get hasService(): boolean {
    return this.all.some((demand) => demand.isService);
  }

  /** Adds a demand for work of a shape to those that are the same but for their counts. */
  add(shape: string, demand: Demand): void {
    const { rank, isService: service, count } = demand;
    const key = `${shape} ${rank} ${String(service)}`;
    const known = this.demands.get(key);
    if (known === undefined) {
      this.demands.set(key, demand);
      return;
    }
    const all = known.count + count;
    known.expectedRunSeconds =
      (known.expectedRunSeconds * known.count + demand.expectedRunSeconds * count) / all;
    known.imageGb = (known.imageGb * known.count + demand.imageGb * count) / all;
    known.count = all;
    known.onDemandCount += demand.onDemandCount;
  }
}
