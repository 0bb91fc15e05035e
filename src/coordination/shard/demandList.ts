/** Merges demands for machines. */
import type { Demand } from '../../protocol/peerMessages.js';

/** Demands of a shard, with one demand for all work that fits the same machines: thousands of tasks may be queued. */
export class DemandList {
  private readonly demands = new Map<string, Demand>();

  /** The merged demands. */
  get all(): Demand[] {
    return [...this.demands.values()];
  }

  /** Whether one of them is for a live service. */
  get hasService(): boolean {
    return this.all.some((demand) => demand.isService);
  }

  /** Adds a demand for work of a shape, or merges it into an existing one of the same shape, rank and kind. */
  add(shape: string, demand: Demand): void {
    const { rank, isService, count } = demand;
    const key = `${shape} ${rank} ${String(isService)}`;
    const merged = this.demands.get(key);
    if (merged === undefined) {
      this.demands.set(key, demand);
      return;
    }
    const total = merged.count + count;
    merged.expectedRunSeconds =
      (merged.expectedRunSeconds * merged.count + demand.expectedRunSeconds * count) / total;
    merged.imageGb = (merged.imageGb * merged.count + demand.imageGb * count) / total;
    merged.count = total;
    merged.onDemandCount += demand.onDemandCount;
    merged.boundCount += demand.boundCount;
  }
}
