/**
 * The wait of a job, estimated by replaying a part's queue: running tasks end when expected, and at
 * each such moment the queue is gone through in order, later jobs filling what earlier ones leave
 * (PAPER, III.A: the approximate wait time comes from simulating the local policy).
 *
 * An end changes the room of one machine only, so only that machine is looked at again: a part of
 * hundreds of machines is replayed for every submission and every question of a peer.
 */
import { Heap } from './heap.js';
import { satisfiesConstraints, shapeOf } from './placement.js';
import { fits, subtractResources, type Resources } from '../model/resources.js';
import type { JobSpec } from '../../protocol/job.js';

export interface ReplayMachine {
  type: string;
  zone: string;
  spot: boolean;
  free: Resources;
  /** Seconds until it can take work: 0, or the rest of its boot time. */
  ready: number;
  running: { ends: number; need: Resources }[];
}

export interface ReplayItem {
  spec: JobSpec;
  zone: string | null;
  count: number;
  run: number;
}

export interface ReplayResult {
  /** Seconds until the last of the candidate's tasks starts; Infinity if it fits nowhere. */
  wait: number;
}

const MAX_EVENTS = 4000;

interface End {
  at: number;
  host: number;
  need: Resources;
}

/** Work that the same machines suit, in the order of the queue. */
interface Lane {
  spec: JobSpec;
  zone: string | null;
  waiting: { item: ReplayItem; left: number; order: number }[];
  /** The first of them that is not wholly started. */
  head: number;
}

const NOTHING: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };

/** The queue by shapes: of those that want the same, only the first has to be looked at. */
function lanesOf(items: ReplayItem[]): Lane[] {
  const lanes = new Map<string, Lane>();
  items.forEach((item, order) => {
    const { spec, zone, count: left } = item;
    const shape = shapeOf(spec, zone);
    const lane = lanes.get(shape) ?? { spec, zone, waiting: [], head: 0 };
    lanes.set(shape, lane);
    if (left > 0) lane.waiting.push({ item, left, order });
  });
  return [...lanes.values()];
}

/** The machines as a replay begins; it can be used for any number of replays. */
export class ReplayStart {
  /** When running tasks end and machines get ready, soonest first. */
  readonly ends: readonly End[];

  constructor(readonly hosts: readonly ReplayMachine[]) {
    const ends: End[] = [];
    hosts.forEach(({ running, ready }, host) => {
      for (const task of running) ends.push({ at: Math.max(0, task.ends), host, need: task.need });
      if (ready > 0) ends.push({ at: ready, host, need: NOTHING });
    });
    this.ends = ends.sort((a, b) => a.at - b.at);
  }
}

/** What ends in a replay: what ran or was getting ready at its start, and what it has started itself. */
class Ends {
  private passed = 0;
  private readonly started = new Heap<End>((a, b) => a.at - b.at);

  constructor(private readonly atStart: readonly End[]) {}

  add(end: End): void {
    this.started.push(end);
  }

  /** The next, which is taken out. */
  next(): End | undefined {
    const known = this.atStart[this.passed];
    const started = this.started.peek();
    if (known === undefined || (started !== undefined && started.at < known.at)) {
      return this.started.pop();
    }
    this.passed++;
    return known;
  }
}

export function replay(
  start: ReplayStart,
  queue: ReplayItem[],
  candidate: ReplayItem,
): ReplayResult {
  const { hosts } = start;
  if (
    !hosts.some(
      (h) => satisfiesConstraints(candidate.spec, candidate.zone, h) && everHolds(h, candidate),
    )
  ) {
    return { wait: Infinity };
  }
  let lanes = lanesOf([...queue, candidate]);
  const rooms = hosts.map((h) => ({ ...h.free }));
  const ends = new Ends(start.ends);
  let own = candidate.count;
  /** Starts what this machine has room for, first come first served, later work filling in behind. */
  const fill = (host: ReplayMachine, index: number, resources: Resources, now: number): void => {
    for (;;) {
      let first: Lane | null = null;
      let order = Infinity;
      for (const lane of lanes) {
        const next = lane.waiting[lane.head];
        if (next === undefined || next.order > order) continue;
        if (!fits(resources, lane.spec) || !satisfiesConstraints(lane.spec, lane.zone, host))
          continue;
        [first, order] = [lane, next.order];
      }
      const next = first?.waiting[first.head];
      if (first === null || next === undefined) return;
      const { spec: need, run } = next.item;
      subtractResources(resources, need);
      if (Number.isFinite(run)) ends.add({ at: now + run, host: index, need });
      if (next.item === candidate) own--;
      if (--next.left > 0) continue;
      first.head++;
      if (first.head === first.waiting.length) lanes = lanes.filter((lane) => lane !== first);
    }
  };
  hosts.forEach((host, index) => {
    const room = rooms[index];
    if (room !== undefined && host.ready <= 0) fill(host, index, room, 0);
  });
  if (own === 0) return { wait: 0 };
  let now = 0;
  for (let event = 0; event < MAX_EVENTS; event++) {
    const next = ends.next();
    if (next === undefined) return { wait: Infinity };
    now = Math.max(now, next.at);
    const room = rooms[next.host];
    const host = hosts[next.host];
    if (room === undefined || host === undefined) continue;
    subtractResources(room, next.need, -1);
    if (host.ready <= now) fill(host, next.host, room, now);
    if (own === 0) return { wait: now };
  }
  return { wait: now };
}

function everHolds(host: ReplayMachine, item: ReplayItem): boolean {
  if (fits(host.free, item.spec)) return true;
  const room = { ...host.free };
  for (const task of host.running) subtractResources(room, task.need, -1);
  return fits(room, item.spec);
}
