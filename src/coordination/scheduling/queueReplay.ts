/**
 * Estimates the wait of a job by replaying a shard's queue: running tasks end when expected, and at each end the queue is
 * scanned in order, with later work backfilled (PAPER, III.A: the approximate wait time comes from simulating the local
 * policy).
 *
 * A task's end changes the free resources of one machine only, so only that machine is examined again: a shard of hundreds
 * of machines is replayed for every submission and every estimate that a peer requests.
 */
import { Heap } from './heap.js';
import { satisfiesConstraints, shapeOf } from './placement.js';
import { fits, subtractResources, type Resources } from '../model/resources.js';
import type { JobSpec } from '../../protocol/job.js';

/** State of a machine at the beginning of a replay. */
export interface ReplayMachine {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: Readonly<Resources>;
  /** Seconds until tasks can be placed on it: 0, or the rest of its boot time. */
  readonly readyIn: number;
  /** Running tasks: the seconds until each ends, and the resources that it uses. */
  readonly running: readonly { readonly endsIn: number; readonly resources: Resources }[];
}

/** Tasks of one chunk in the replayed queue. */
export interface ReplayItem {
  readonly spec: JobSpec;
  readonly zone: string | null;
  /** Number of tasks. */
  readonly count: number;
  /** Expected run time of one task in seconds; Infinity for a live service. */
  readonly run: number;
}

/** Result of a replay. */
export interface ReplayResult {
  /** Seconds until the last of the candidate's tasks starts; Infinity if it fits nowhere. */
  readonly wait: number;
}

/** Maximum number of replayed events; when it is reached, the result is a lower bound of the wait. */
const MAX_EVENTS = 4000;

/** A task's end that releases resources or, with none, a machine that becomes ready. Times are seconds from the start. */
interface ReplayEvent {
  readonly at: number;
  readonly machineIndex: number;
  readonly released: Resources;
}

interface QueuedItem {
  readonly item: ReplayItem;
  unstarted: number;
  /** Position in the queue. */
  readonly order: number;
}

/** Items of one shape, which fit the same machines, in queue order. */
interface ShapeQueue {
  readonly spec: JobSpec;
  readonly zone: string | null;
  readonly items: QueuedItem[];
  /** Index of the first item with tasks that have not started. */
  head: number;
}

const NO_RESOURCES: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };

/** State of the machines at the beginning of a replay; one instance can be used for any number of replays. */
export class ReplaySnapshot {
  /** Ends of running tasks and boots of machines, earliest first. */
  readonly events: readonly ReplayEvent[];

  constructor(readonly machines: readonly ReplayMachine[]) {
    const events: ReplayEvent[] = [];
    machines.forEach(({ running, readyIn }, machineIndex) => {
      for (const { endsIn, resources } of running) {
        events.push({ at: Math.max(0, endsIn), machineIndex, released: resources });
      }
      if (readyIn > 0) events.push({ at: readyIn, machineIndex, released: NO_RESOURCES });
    });
    this.events = events.sort((a, b) => a.at - b.at);
  }
}

/** Replays the queue with the candidate at its end, and computes when the candidate's last task starts. */
export function replayQueue(
  start: ReplaySnapshot,
  queue: ReplayItem[],
  candidate: ReplayItem,
): ReplayResult {
  const fitsSomewhere = start.machines.some(
    (machine) =>
      satisfiesConstraints(candidate.spec, candidate.zone, machine) &&
      couldEverHold(machine, candidate),
  );
  if (!fitsSomewhere) return { wait: Infinity };
  return new Replay(start, queue, candidate).run();
}

/** State of one replay: the queue, the machines' free resources and the remaining events. */
class Replay {
  /** Items grouped by shape: only the first item of each group has to be examined. */
  private shapeQueues: ShapeQueue[];
  private readonly free: Resources[];
  private readonly events: EventQueue;
  /** Number of the candidate's tasks that have not started. */
  private unstartedCandidateTasks: number;

  constructor(
    private readonly start: ReplaySnapshot,
    queue: ReplayItem[],
    private readonly candidate: ReplayItem,
  ) {
    this.shapeQueues = groupByShape([...queue, candidate]);
    this.free = start.machines.map((machine) => ({ ...machine.free }));
    this.events = new EventQueue(start.events);
    this.unstartedCandidateTasks = candidate.count;
  }

  run(): ReplayResult {
    this.start.machines.forEach((machine, index) => {
      if (machine.readyIn <= 0) this.startTasks(index, 0);
    });
    if (this.unstartedCandidateTasks === 0) return { wait: 0 };
    let now = 0;
    for (let count = 0; count < MAX_EVENTS; count++) {
      const event = this.events.next();
      if (event === undefined) return { wait: Infinity };
      now = Math.max(now, event.at);
      this.apply(event, now);
      if (this.unstartedCandidateTasks === 0) return { wait: now };
    }
    return { wait: now };
  }

  private apply({ machineIndex, released }: ReplayEvent, now: number): void {
    const free = this.free[machineIndex];
    const machine = this.start.machines[machineIndex];
    if (free === undefined || machine === undefined) return;
    subtractResources(free, released, -1);
    if (machine.readyIn <= now) this.startTasks(machineIndex, now);
  }

  /** Starts the tasks that the machine has room for, in queue order with later work backfilled. */
  private startTasks(machineIndex: number, now: number): void {
    const machine = this.start.machines[machineIndex];
    const free = this.free[machineIndex];
    if (machine === undefined || free === undefined) return;
    for (;;) {
      const shapeQueue = this.firstThatFits(machine, free);
      const next = shapeQueue?.items[shapeQueue.head];
      if (shapeQueue === null || next === undefined) return;
      this.startTask(next, machineIndex, free, now);
      if (next.unstarted === 0) this.advance(shapeQueue);
    }
  }

  /** Of the shapes that fit the machine, the one whose first item comes first in the queue. */
  private firstThatFits(machine: ReplayMachine, free: Resources): ShapeQueue | null {
    let first: ShapeQueue | null = null;
    let firstOrder = Infinity;
    for (const shapeQueue of this.shapeQueues) {
      const { spec, zone, items, head } = shapeQueue;
      const next = items[head];
      if (next === undefined || next.order > firstOrder) continue;
      if (!fits(free, spec) || !satisfiesConstraints(spec, zone, machine)) continue;
      first = shapeQueue;
      firstOrder = next.order;
    }
    return first;
  }

  private startTask(next: QueuedItem, machineIndex: number, free: Resources, now: number): void {
    const { spec, run } = next.item;
    subtractResources(free, spec);
    if (Number.isFinite(run)) this.events.add({ at: now + run, machineIndex, released: spec });
    if (next.item === this.candidate) this.unstartedCandidateTasks--;
    next.unstarted--;
  }

  /** Moves on to the shape's next item once all tasks of the first have started. */
  private advance(shapeQueue: ShapeQueue): void {
    shapeQueue.head++;
    if (shapeQueue.head === shapeQueue.items.length) {
      this.shapeQueues = this.shapeQueues.filter((other) => other !== shapeQueue);
    }
  }
}

/** Events of a replay: those known at its start, and the ends of the tasks that it starts. */
class EventQueue {
  private position = 0;
  private readonly added = new Heap<ReplayEvent>((a, b) => a.at - b.at);

  constructor(private readonly initialEvents: readonly ReplayEvent[]) {}

  add(event: ReplayEvent): void {
    this.added.push(event);
  }

  /** Removes and returns the earliest event; undefined when none is left. */
  next(): ReplayEvent | undefined {
    const initial = this.initialEvents[this.position];
    const added = this.added.peek();
    if (initial === undefined || (added !== undefined && added.at < initial.at)) {
      return this.added.pop();
    }
    this.position++;
    return initial;
  }
}

function groupByShape(items: ReplayItem[]): ShapeQueue[] {
  const byShape = new Map<string, ShapeQueue>();
  items.forEach((item, order) => {
    const { spec, zone, count } = item;
    const shape = shapeOf(spec, zone);
    const shapeQueue = byShape.get(shape) ?? { spec, zone, items: [], head: 0 };
    byShape.set(shape, shapeQueue);
    if (count > 0) shapeQueue.items.push({ item, unstarted: count, order });
  });
  return [...byShape.values()];
}

/** Whether the machine could hold a task of the item once all of its running tasks have ended. */
function couldEverHold(machine: ReplayMachine, { spec }: ReplayItem): boolean {
  if (fits(machine.free, spec)) return true;
  const free = { ...machine.free };
  for (const { resources } of machine.running) subtractResources(free, resources, -1);
  return fits(free, spec);
}
