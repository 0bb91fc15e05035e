/**
 * The wait of a job, estimated by replaying a part's queue: running tasks end when expected, and at
 * each such moment the queue is gone through in order, later jobs filling what earlier ones leave
 * (PAPER, III.A: the approximate wait time comes from simulating the local policy).
 */
import { allows, holds, type Room } from './placement.js';
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

const MAX_EVENTS = 400;

export function replay(
  hosts: ReplayHost[],
  queue: ReplayItem[],
  candidate: ReplayItem,
): ReplayResult {
  if (!hosts.some((h) => allows(candidate.spec, candidate.zone, h) && everHolds(h, candidate))) {
    return { wait: Infinity };
  }
  const rooms = hosts.map((h) => ({ ...h.free }));
  const items = [...queue, candidate].map((item) => ({ item, left: item.count }));
  const ends: { at: number; host: number; need: Room }[] = [];
  hosts.forEach((h, host) => {
    for (const task of h.running) ends.push({ at: Math.max(0, task.ends), host, need: task.need });
    if (h.ready > 0) ends.push({ at: h.ready, host, need: { cpus: 0, gpus: 0, memory: 0 } });
  });
  ends.sort((a, b) => a.at - b.at);
  let now = 0;
  const own = items[items.length - 1];
  for (let event = 0; event < MAX_EVENTS; event++) {
    for (const entry of items) {
      for (let host = 0; host < hosts.length && entry.left > 0; host++) {
        const h = hosts[host];
        const room = rooms[host];
        if (h === undefined || room === undefined || h.ready > now) continue;
        if (!allows(entry.item.spec, entry.item.zone, h)) continue;
        const need = entry.item.spec;
        while (entry.left > 0 && holds(room, need)) {
          entry.left--;
          take(room, need, -1);
          insert(ends, { at: now + entry.item.run, host, need });
        }
      }
    }
    if (own === undefined || own.left === 0) return { wait: now };
    const next = ends.shift();
    if (next === undefined) return { wait: Infinity };
    now = Math.max(now, next.at);
    const room = rooms[next.host];
    if (room !== undefined) take(room, next.need, 1);
  }
  return { wait: now };
}

function everHolds(host: ReplayHost, item: ReplayItem): boolean {
  const room = { ...host.free };
  for (const task of host.running) take(room, task.need, 1);
  return holds(room, item.spec);
}

function take(room: Room, need: Room, sign: number): void {
  room.cpus += sign * need.cpus;
  room.gpus += sign * need.gpus;
  room.memory += sign * need.memory;
}

function insert<T extends { at: number }>(list: T[], entry: T): void {
  let at = list.length;
  while (at > 0 && (list[at - 1]?.at ?? 0) > entry.at) at--;
  list.splice(at, 0, entry);
}
