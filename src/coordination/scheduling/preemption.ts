/** Stops lower-ranked work, and what teams have borrowed, where others need the room. */
import { rankOrder } from '../../protocol/job.js';
import type { Chunk } from '../model/chunk.js';
import { Heap } from './heap.js';
import type { Machine, Placement } from '../model/machine.js';
import type { PreemptibleShard } from './schedulableShard.js';
import { satisfiesConstraints, shapeOf, victimsFor } from './placement.js';
import { fits, type Resources } from '../model/resources.js';
import type { TeamResources, TeamUsage } from '../quota/teamUsage.js';

/** Running tasks that may be stopped. */
type Victims = { rank: number; need: Resources; loss: number; placed: Placement }[];

/** A machine on which stopping some tasks makes room for one. */
interface Offer {
  machine: Machine;
  victims: Victims;
  loss: number;
}

/** What work may be stopped for it: it is of its own rank, whatever it has inherited. */
const claimOf = (chunk: Chunk): number => rankOrder[chunk.spec.rank];

/** Added to the loss, in seconds of work, where the image is missing: machines that hold it come first. */
const FETCH_LOSS = 1e6;

export class Preemption {
  constructor(
    private readonly shard: PreemptibleShard,
    private readonly teams: TeamUsage,
    /** Seconds between two reports of a worker. */
    private readonly heartbeatInterval: number,
  ) {}

  /** Stops lower-ranked work on the machines where that costs least. */
  makeRoom(blocked: Chunk[], now: number, outOfTime: () => boolean): void {
    if (blocked.length === 0) return;
    const { lowestRank, ending } = this.running();
    let making = ending;
    // Where nothing of a lower rank runs there is nothing to look for on hundreds of machines.
    const claimants = blocked.filter(
      (c) => claimOf(c) > lowestRank || this.teams.isEntitled(c.spec),
    );
    const offers = new Map<string, Heap<Offer>>();
    for (const chunk of claimants) {
      // One task's room at a time for each that waits; more would stop work for nothing.
      const left = Math.max(0, chunk.pendingCount - making);
      making = Math.max(0, making - chunk.pendingCount);
      if (left === 0) continue;
      if (outOfTime()) return;
      const claim = claimOf(chunk);
      const key = [shapeOf(chunk.spec, chunk.zone), claim, chunk.spec.team, chunk.spec.image];
      const shape = key.join(' ');
      let heap = offers.get(shape);
      if (heap === undefined) {
        heap = new Heap<Offer>((a, b) => a.loss - b.loss);
        for (const machine of this.shard.machines.values()) this.offer(heap, machine, chunk, now);
        offers.set(shape, heap);
      }
      this.stopFor(chunk, left, heap, now);
    }
  }

  /** The lowest rank of what runs, and how many tasks are being stopped already. */
  private running(): { lowestRank: number; ending: number } {
    let ending = 0;
    let lowestRank = Infinity;
    for (const chunk of this.shard.chunks.values()) {
      if (chunk.attempts.size === 0) continue;
      lowestRank = Math.min(lowestRank, chunk.rank);
      if (chunk.isCancelled) continue;
      for (const attempt of chunk.attempts.values()) if (attempt.stop !== null) ending++;
    }
    return { lowestRank, ending };
  }

  /** Takes the cheapest offers for so many tasks. */
  private stopFor(chunk: Chunk, count: number, offers: Heap<Offer>, now: number): void {
    let left = count;
    while (left > 0) {
      const best = offers.pop();
      if (best === undefined) return;
      // Another shape may have been given some of it meanwhile.
      if (!best.victims.some((v) => v.placed.attempt.stop !== null)) {
        left--;
        for (const { placed: placement } of best.victims) {
          const { checkpointInterval: checkpoint, checkpointDuration: save } = placement.chunk.spec;
          this.shard.requestStop(best.machine, placement.attempt, checkpoint > 0 ? save : 0);
        }
      }
      this.offer(offers, best.machine, chunk, now);
    }
  }

  private offer(heap: Heap<Offer>, machine: Machine, chunk: Chunk, now: number): void {
    if (!machine.isSchedulable(now) || !satisfiesConstraints(chunk.spec, chunk.zone, machine))
      return;
    const victims = victimsFor(
      machine.free,
      chunk.spec,
      this.stoppable(machine, chunk, now),
      claimOf(chunk),
    );
    if (victims === null || victims.length === 0) return;
    const fetch = machine.hasImage(chunk.spec.image) ? 0 : FETCH_LOSS;
    heap.push({ machine, victims, loss: victims.reduce((sum, v) => sum + v.loss, fetch) });
  }

  private stoppable(machine: Machine, claimant: Chunk, now: number): Victims {
    const list: Victims = [];
    const entitled = this.teams.isEntitled(claimant.spec);
    const borrowed = new Map<string, TeamResources>();
    for (const placement of machine.placements.values()) {
      const { chunk, attempt } = placement;
      if (attempt.stop !== null) continue;
      const ran = attempt.runningSince === null ? 0 : now - attempt.runningSince;
      const loss =
        chunk.spec.checkpointInterval > 0 ? Math.min(ran, chunk.spec.checkpointDuration) : ran;
      let { rank } = chunk;
      if (entitled && chunk.spec.team !== claimant.spec.team) {
        // Work of any rank that another team runs beyond its own guarantee gives way.
        const { team, cpus, gpus } = chunk.spec;
        const over = borrowed.get(team) ?? this.teams.borrowed(team);
        borrowed.set(team, over);
        if (over.cpus >= cpus && over.gpus >= gpus) {
          over.cpus -= cpus;
          over.gpus -= gpus;
          rank = -1;
        }
      }
      list.push({ rank, need: chunk.spec, loss, placed: placement });
    }
    return list;
  }

  /**
   * A replica that would wait for its image where there is room, while a machine that has the image is
   * full of lower-ranked work: that work makes room, and the replica waits the moment it takes.
   */
  makeRoomAtImage(chunk: Chunk, now: number): boolean {
    if (chunk.pendingCount === 0) return false;
    const { spec } = chunk;
    const patience = this.heartbeatInterval / 6;
    if (chunk.preemptingSince !== null && now - chunk.preemptingSince > patience) return false;
    const stoppable: { machine: Machine; victims: Victims; loss: number }[] = [];
    for (const machine of this.shard.machines.values()) {
      if (!machine.isSchedulable(now) || !satisfiesConstraints(spec, chunk.zone, machine)) continue;
      if (!machine.hasImage(spec.image) || machine.slowness > 1.5) continue;
      if (fits(machine.free, spec)) return false;
      const running = this.stoppable(machine, chunk, now);
      const victims = victimsFor(machine.free, spec, running, chunk.rank);
      if (victims === null || victims.some((v) => v.placed.chunk.spec.checkpointInterval > 0))
        continue;
      stoppable.push({ machine, victims, loss: victims.reduce((n, v) => n + v.loss, 0) });
    }
    if (chunk.preemptingSince !== null) return true;
    const best = stoppable.sort((a, b) => a.loss - b.loss)[0];
    if (best === undefined || best.victims.length === 0) return false;
    chunk.preemptingSince = now;
    for (const { placed: placement } of best.victims)
      this.shard.requestStop(best.machine, placement.attempt, 0);
    return true;
  }
}
