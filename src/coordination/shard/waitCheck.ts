/** Checks at run time that work which waits without a demand for machines does get room. */
import { log } from '../../base/log.js';
import type { Chunk } from '../model/chunk.js';
import { shapeOf } from '../scheduling/placement.js';

const NO_PLACEMENTS: ReadonlyMap<string, number> = new Map();

/** A wait of the tasks of one shape, for room on machines of the shard. */
interface Wait {
  /** Monotonic time since which none of them has been placed. */
  since: number;
  /** Changes with each placement of a task of the shape. */
  progress: number;
  isReported: boolean;
}

/**
 * Reports work that has waited for too long for machines that were expected to have room: the estimate of their room is wrong
 * then, and nothing else would show it (docs/safety.md, W1).
 */
export class WaitCheck {
  private waits = new Map<string, Wait>();

  constructor(private readonly shard: string) {}

  /**
   * `waiting`: the queued chunks that no machine is demanded for; `chunks`: all chunks of the shard; `limit`: seconds within which
   * one of the waiting tasks of a shape should be placed. Returns the shapes that have waited for longer.
   */
  update(
    waiting: readonly Chunk[],
    chunks: Iterable<Chunk>,
    now: number,
    limit: number,
  ): Set<string> {
    const firstByShape = new Map<string, Chunk>();
    for (const chunk of waiting) {
      const shape = shapeOf(chunk.spec, chunk.zone);
      if (!firstByShape.has(shape)) firstByShape.set(shape, chunk);
    }
    const progressByShape = firstByShape.size === 0 ? NO_PLACEMENTS : placementsByShape(chunks);
    const waits = new Map<string, Wait>();
    const overdue = new Set<string>();
    for (const [shape, first] of firstByShape) {
      const wait = this.follow(shape, progressByShape.get(shape) ?? 0, now);
      waits.set(shape, wait);
      if (now - wait.since <= limit) continue;
      overdue.add(shape);
      this.report(first, wait, now);
    }
    this.waits = waits;
    return overdue;
  }

  /** The wait of a shape, which begins anew with each placement. */
  private follow(shape: string, progress: number, now: number): Wait {
    const known = this.waits.get(shape);
    if (known?.progress === progress) return known;
    return { since: now, progress, isReported: false };
  }

  private report(chunk: Chunk, wait: Wait, now: number): void {
    if (wait.isReported) return;
    wait.isReported = true;
    const seconds = Math.round(now - wait.since);
    log.error(
      `shard ${this.shard}: ${chunk.pendingCount} task(s) of chunk ${chunk.id} have waited for ${seconds} s ` +
        'for machines that were expected to have room, and no machine is demanded for them',
    );
  }
}

/** Numbers that change with each placement of a task of a shape. */
function placementsByShape(chunks: Iterable<Chunk>): Map<string, number> {
  const placements = new Map<string, number>();
  for (const { spec, zone, nextAttemptNumber } of chunks) {
    const shape = shapeOf(spec, zone);
    placements.set(shape, (placements.get(shape) ?? 0) + nextAttemptNumber);
  }
  return placements;
}
