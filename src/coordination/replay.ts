/**
 * The wait of a job, estimated by replaying a part's queue: running tasks end when expected, and at
 * each such moment the queue is gone through in order, later jobs filling what earlier ones leave
 * (PAPER, III.A: the approximate wait time comes from simulating the local policy).
 *
 * An end changes the room of one machine only, so only that machine is looked at again: a part of
 * hundreds of machines is replayed for every submission and every question of a peer.
 */
import { Heap } from './heap.js';
import { allows, holds, shapeOf, type Room } from './placement.js';
import type { JobSpec } from '../protocol/job.js';

export interface ReplayHost {
  type: string;
  zone: string;
  spot: boolean;
  free: Room;
  /** Seconds until it can take work: 0, or the rest of its boot time. */
  ready: number;
  running: { ends: number; need: Room }[];
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
  need: Room;
}

const NOTHING: Room = { cpus: 0, gpus: 0, memory: 0 };

export function replay(
  hosts: ReplayHost[],
  queue: ReplayItem[],
  candidate: ReplayItem,
): ReplayResult {
  if (!hosts.some((h) => allows(candidate.spec, candidate.zone, h) && everHolds(h, candidate))) {
    return { wait: Infinity };
  }
  const rooms = hosts.map((h) => ({ ...h.free }));
  const own = { item: candidate, left: candidate.count };
  let items = [...queue.map((item) => ({ item, left: item.count })), own];
  const ends = new Heap<End>((a, b) => a.at - b.at);
  /** Starts what this machine has room for; true when something was started. */
  const fill = (host: number, entry: { item: ReplayItem; left: number }, now: number): void => {
    const h = hosts[host];
    const room = rooms[host];
    if (h === undefined || room === undefined || h.ready > now) return;
    const { spec: need, zone, run } = entry.item;
    if (!holds(room, need) || !allows(need, zone, h)) return;
    while (entry.left > 0 && holds(room, need)) {
      entry.left--;
      take(room, need, -1);
      if (Number.isFinite(run)) ends.push({ at: now + run, host, need });
    }
  };
  // Rooms only shrink while the queue is gone through for the first time, so a shape that has found a
  // machine too full need not look at it again.
  const reached = new Map<string, number>();
  for (const entry of items) {
    const shape = shapeOf(entry.item.spec, entry.item.zone);
    let host = reached.get(shape) ?? 0;
    for (; host < hosts.length; host++) {
      fill(host, entry, 0);
      if (entry.left === 0) break;
    }
    reached.set(shape, host);
  }
  if (own.left === 0) return { wait: 0 };
  hosts.forEach((h, host) => {
    for (const task of h.running) ends.push({ at: Math.max(0, task.ends), host, need: task.need });
    if (h.ready > 0) ends.push({ at: h.ready, host, need: NOTHING });
  });
  let now = 0;
  for (let event = 0; event < MAX_EVENTS; event++) {
    const next = ends.pop();
    if (next === undefined) return { wait: Infinity };
    now = Math.max(now, next.at);
    const room = rooms[next.host];
    if (room === undefined) continue;
    take(room, next.need, 1);
    let finished = false;
    for (const entry of items) {
      fill(next.host, entry, now);
      finished ||= entry.left === 0;
    }
    if (own.left === 0) return { wait: now };
    if (finished) items = items.filter((entry) => entry.left > 0);
  }
  return { wait: now };
}

function everHolds(host: ReplayHost, item: ReplayItem): boolean {
  if (holds(host.free, item.spec)) return true;
  const room = { ...host.free };
  for (const task of host.running) take(room, task.need, 1);
  return holds(room, item.spec);
}

function take(room: Room, need: Room, sign: number): void {
  room.cpus += sign * need.cpus;
  room.gpus += sign * need.gpus;
  room.memory += sign * need.memory;
}
