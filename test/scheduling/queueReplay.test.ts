/** Wait estimates by replaying the queue. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  replayQueue,
  ReplaySnapshot,
  type ReplayMachine,
} from '../../src/coordination/scheduling/queueReplay.js';
import { spec } from '../support/spec.js';

const room = (cpus: number, memory = 64): { cpus: number; gpus: number; memoryGb: number } => ({
  cpus,
  gpus: 0,
  memoryGb: memory,
});

const host = (free: number, running: [number, number][] = [], readyIn = 0): ReplayMachine => ({
  type: 'm8',
  zone: 'a',
  spot: false,
  free: room(free),
  readyIn,
  running: running.map(([endsIn, cpus]) => ({ endsIn, resources: room(cpus, 0) })),
});

test('the wait comes from replaying the queue', () => {
  const job = spec({ cpus: 4 });
  const item = (count: number, run: number): Parameters<typeof replayQueue>[2] => ({
    spec: job,
    zone: null,
    count,
    run,
  });
  const cases: [string, ReplayMachine[], ReturnType<typeof item>[], number, number][] = [
    ['room now', [host(8)], [], 2, 0],
    ['the second task waits for the first of what runs', [host(4, [[7, 4]])], [], 2, 7],
    ['behind one that waits: 7 s, then its 10 s', [host(0, [[7, 4]])], [item(1, 10)], 1, 17],
    ['two machines, the earlier end counts', [host(0, [[9, 4]]), host(0, [[5, 4]])], [], 1, 5],
    ['a machine that boots', [host(8, [], 30)], [], 1, 30],
    ['its own tasks follow each other: 3 waves of 20 s', [host(4)], [], 3, 40],
    ['too large for any machine', [host(2)], [], 1, Infinity],
    ['no machines', [], [], 1, Infinity],
  ];
  for (const [name, hosts, queue, count, wait] of cases) {
    assert.equal(replayQueue(new ReplaySnapshot(hosts), queue, item(count, 20)).wait, wait, name);
  }
});

test('later work fills what earlier work leaves in the replay', () => {
  const large = { spec: spec({ cpus: 8 }), zone: null, count: 1, run: 10 };
  const small = { spec: spec({ cpus: 2 }), zone: null, count: 1, run: 1 };
  assert.equal(replayQueue(new ReplaySnapshot([host(4, [[6, 4]])]), [large], small).wait, 0);
});
