/** Wait estimates from a replay of the queue. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  replayQueue,
  ReplaySnapshot,
  type ReplayMachine,
} from '../../src/coordination/scheduling/queueReplay.js';
import { jobSpec } from '../support/jobSpec.js';

const room = (cpus: number, memory = 64): { cpus: number; gpus: number; memoryGb: number } => ({
  cpus,
  gpus: 0,
  memoryGb: memory,
});

const machine = (free: number, running: [number, number][] = [], readyIn = 0): ReplayMachine => ({
  type: 'm8',
  zone: 'a',
  spot: false,
  free: room(free),
  readyIn,
  running: running.map(([endsIn, cpus]) => ({ endsIn, resources: room(cpus, 0) })),
});

test('the wait is estimated by replaying the queue', () => {
  const job = jobSpec({ cpus: 4 });
  const item = (count: number, run: number): Parameters<typeof replayQueue>[2] => ({
    spec: job,
    zone: null,
    count,
    run,
  });
  const cases: [string, ReplayMachine[], ReturnType<typeof item>[], number, number][] = [
    ['there is room now', [machine(8)], [], 2, 0],
    ['the second task waits for the end of a running one', [machine(4, [[7, 4]])], [], 2, 7],
    [
      'behind a queued task: 7 s until it starts, and its 10 s',
      [machine(0, [[7, 4]])],
      [item(1, 10)],
      1,
      17,
    ],
    [
      'of two machines the one with the earlier end counts',
      [machine(0, [[9, 4]]), machine(0, [[5, 4]])],
      [],
      1,
      5,
    ],
    ['the machine is booting', [machine(8, [], 30)], [], 1, 30],
    ['its tasks run one after the other: 3 tasks of 20 s', [machine(4)], [], 3, 40],
    ['too large for any machine', [machine(2)], [], 1, Infinity],
    ['no machines', [], [], 1, Infinity],
  ];
  for (const [name, machines, queue, count, wait] of cases) {
    assert.equal(
      replayQueue(new ReplaySnapshot(machines), queue, item(count, 20)).wait,
      wait,
      name,
    );
  }
});

test('the replay backfills room that earlier work leaves free', () => {
  const large = { spec: jobSpec({ cpus: 8 }), zone: null, count: 1, run: 10 };
  const small = { spec: jobSpec({ cpus: 2 }), zone: null, count: 1, run: 1 };
  assert.equal(replayQueue(new ReplaySnapshot([machine(4, [[6, 4]])]), [large], small).wait, 0);
});
