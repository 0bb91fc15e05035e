/** Costs that were won back on small controllers, held by counts: messages, questions and visits. */
import {
  commandsForAnswer,
  dueCommands,
  hasDueCommand,
} from '../../src/coordination/model/dueCommands.js';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AuditTrail } from '../../src/coordination/audit/auditTrail.js';
import { Chunk } from '../../src/coordination/model/chunk.js';
import { createOwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import { Machine } from '../../src/coordination/model/machine.js';
import { CommandDispatcher } from '../../src/coordination/commands/commandDispatcher.js';
import type { Shard } from '../../src/coordination/shard/shard.js';
import type { JobRecord } from '../../src/storage/records.js';
import type { ReportedAttempt } from '../../src/protocol/workerProtocol.js';
import { TurnQueue } from '../../src/transport/turnQueue.js';
import { submission, until } from '../support/cluster.js';
import { emptyShard, m8 } from '../support/emptyShard.js';
import { spec } from '../support/spec.js';
import { accept, settled, withCluster } from '../support/users.js';

const REPORT = 4;
const AGAIN = REPORT * 1.5;

function partWith(count: number): { part: Shard; machines: Machine[] } {
  const part = emptyShard(REPORT, new Map([['m8', m8]]));
  const machines = Array.from({ length: count }, (_, i) => {
    const record = {
      shard: 'p',
      type: 'm8',
      zone: 'a',
      spot: false,
      launchedAt: 0,
      address: `h:${i}`,
    };
    const machine = part.addMachine(`n-${i}`, record, 0);
    machine.markReached(0);
    return machine;
  });
  return { part, machines };
}

function addChunk(part: Shard, id: string, memory = 4): Chunk {
  const chunk = new Chunk(
    spec({ id, taskCount: 1, cpus: 8, memoryGb: memory }),
    0,
    'p',
    0,
    0,
    1,
    null,
    0,
  );
  part.acceptNewChunk(chunk, 0);
  return chunk;
}

function report(part: Shard, machine: Machine, now: number, tasks: ReportedAttempt[]): void {
  const { name, address, type, zone, spot, agentEpoch: agentEpoch } = machine;
  const heartbeatSequence = machine.heartbeatSequence + 1;
  const whole = {
    machine: name,
    address,
    type,
    zone,
    spot,
    agentEpoch: agentEpoch,
    heartbeatSequence: heartbeatSequence,
    highestFencingToken: 1,
    preemptionWarning: null,
  };
  part.heartbeats.apply(machine, { ...whole, attempts: tasks }, now, 'follow-up');
}

/** A machine with one task that has ended, and whose end is stored. */
function withLeftover(now: number): { part: Shard; machine: Machine } {
  const { part, machines } = partWith(1);
  const [machine] = machines;
  if (machine === undefined) throw new Error('no machine');
  const chunk = addChunk(part, 'wk-1');
  part.scheduler.runRound(now, () => false);
  const task = { task: 'wk-1/0', attemptNumber: 1, cause: null, hasCheckpoint: false };
  report(part, machine, now, [{ ...task, state: 'running' }]);
  report(part, machine, now, [{ ...task, state: 'ended', cause: 'done' }]);
  chunk.storedVersion = chunk.version;
  return { part, machine };
}

test('a reap alone is no reason for a command, and waits for company in the answers to reports', () => {
  const { part, machine } = withLeftover(1);
  assert.equal(hasDueCommand(machine, 1, AGAIN), false);
  assert.deepEqual(commandsForAnswer(machine, 1 + REPORT / 2, AGAIN, REPORT), []);
  const alone = commandsForAnswer(machine, 1 + REPORT, AGAIN, REPORT);
  assert.deepEqual(
    alone.map((order) => order.verb),
    ['acknowledge'],
  );
  const next = addChunk(part, 'wk-2');
  part.scheduler.runRound(2, () => false);
  assert.equal(hasDueCommand(machine, 2, AGAIN), false, 'its placement is not stored');
  next.storedVersion = next.version;
  assert.equal(hasDueCommand(machine, 2, AGAIN), true);
  const together = commandsForAnswer(machine, 2, AGAIN, REPORT);
  assert.deepEqual(
    together.map((order) => order.verb),
    ['acknowledge', 'start'],
  );
});

for (const { name, strike, due } of [
  { name: 'nothing to say', strike: () => undefined, due: false },
  { name: 'a stop', strike: stopAll, due: true },
  {
    name: 'a stop that has just been sent',
    strike: (part: Shard, machine: Machine) => {
      stopAll(part, machine);
      dueCommands(machine, 2, AGAIN);
    },
    due: false,
  },
  {
    name: 'a task that is not ours',
    strike: (_: Shard, machine: Machine) => {
      const stranger = { task: 'wk-9/0', attemptNumber: 1, cause: null, hasCheckpoint: false };
      machine.updateReportedAttempts([
        ...machine.reportedAttempts.all,
        { ...stranger, state: 'running' },
      ]);
    },
    due: true,
  },
]) {
  test(`a command is due just when there is more to say than reaps: ${name}`, () => {
    const { part, machines } = partWith(1);
    const [machine] = machines;
    if (machine === undefined) throw new Error('no machine');
    addChunk(part, 'wk-1');
    part.scheduler.runRound(1, () => false);
    const running = { task: 'wk-1/0', attemptNumber: 1, cause: null, hasCheckpoint: false };
    report(part, machine, 1, [{ ...running, state: 'running' }]);
    strike(part, machine);
    assert.equal(hasDueCommand(machine, 3, AGAIN), due);
    assert.equal(dueCommands(machine, 3, AGAIN).length > 0, due);
  });
}

function stopAll(part: Shard, machine: Machine): void {
  for (const { attempt: entry } of machine.placements.values()) part.requestStop(machine, entry, 0);
}

test('a round of commands to many machines goes out a few in each turn of the event loop', () => {
  const { part, machines } = partWith(40);
  const deferred: (() => void)[] = [];
  let sent = 0;
  const call = (): Promise<never> => {
    sent++;
    return new Promise(() => undefined);
  };
  const node = {
    settings: { heartbeatInterval: REPORT, cores: 1, maxSockets: 1000 },
    clock: { now: () => 1 },
    links: { machines: { call } },
    audit: new AuditTrail('drone-0', () => 0),
    authority: { mayAct: () => true, mayEnd: () => true },
    leadership: {
      isLeaseValid: true,
      leaseExpiresAt: Infinity,
      advanceFencingToken: () => Promise.resolve(null),
    },
    ownedShards: new Map([['p', createOwnedShard(part, { fencingToken: 1, revision: 1 }, 0)]]),
    requestSchedulingRound: () => undefined,
  };
  const turns = new TurnQueue({ urgent: 4, ordinary: 0 }, (turn) => deferred.push(turn));
  const orders = new CommandDispatcher(node, turns);
  const chunks = machines.map((_, i) => addChunk(part, `wk-${i}`));
  part.scheduler.runRound(1, () => false);
  for (const chunk of chunks) chunk.storedVersion = chunk.version;
  for (const machine of machines) part.machinesWithDueCommands.add(machine);
  orders.send();
  const perTurn: number[] = [];
  for (let turn = deferred.shift(); turn !== undefined; turn = deferred.shift()) {
    const before = sent;
    turn();
    perTurn.push(sent - before);
  }
  assert.equal(sent, 40);
  assert.ok(Math.max(...perTurn) <= 4);
});

/** How often the room of machines is looked at. */
function countFree(work: () => void): number {
  let visits = 0;
  const { free } = Object.getOwnPropertyDescriptors(Machine.prototype);
  const counted = {
    get(this: Machine) {
      visits++;
      return free.get?.call(this) as unknown;
    },
    configurable: true,
  };
  Object.defineProperty(Machine.prototype, 'free', counted);
  try {
    work();
  } finally {
    Object.defineProperty(Machine.prototype, 'free', free);
  }
  return visits;
}

test('questions of one moment share one look at the machines, and see what has been placed', () => {
  const { part, machines } = partWith(200);
  // The queue is not empty, so every question is answered by a replay.
  addChunk(part, 'wk-0', 1000);
  const asked = { spec: spec({ id: 'wk-x', cpus: 8 }), zone: null, count: 200, run: 20 };
  const ask = (now: number): number => part.waitEstimates.estimateWait(asked, now);
  const visits = countFree(() => {
    for (let i = 0; i < 30; i++) assert.equal(ask(1 + i / 1000), 0);
  });
  assert.ok(visits <= 2 * machines.length, `${visits} visits`);
  addChunk(part, 'wk-1');
  part.scheduler.runRound(1.03, () => false);
  assert.ok(ask(1.03) > 0, 'the room that was just taken was promised again');
});

test('machines that are full when a round begins are not looked at for each job that waits', () => {
  const { part, machines } = partWith(200);
  for (const [i] of machines.entries()) addChunk(part, `wk-${i}`);
  part.scheduler.runRound(1, () => false);
  // Each of a shape of its own, so that nothing is known of one from the others.
  for (let i = 0; i < 50; i++) addChunk(part, `wk-9${i}`, 5 + i / 10);
  const visits = countFree(() => {
    part.scheduler.runRound(2, () => false);
  });
  // Once for the list of those with room, and for the machine kept for the first that waits.
  assert.ok(visits <= 4 * machines.length, `${visits} visits`);
});

test('a job of many chunks is asked for once for each size of them', () =>
  withCluster({ nodes: 2, runs: () => Infinity }, async (cluster) => {
    const controller = cluster.nodes.get('drone-0')?.controller;
    if (controller === undefined) throw new Error('no node');
    const accept = (id: string, pieces: number): Promise<void> =>
      until(`${id} is accepted`, async () => {
        const job = submission(id, { Pieces: pieces, Cores: 1 });
        return (await cluster.call('drone-0', 'POST', '/v1/jobs', job)).status < 300;
      });
    // A part without machines takes a job whole.
    await accept('wk-000701', 8);
    await until(
      'it has a machine',
      () => (controller.ownedShards.get('drone-0')?.shard.cpus ?? 0) > 0,
    );
    let questions = 0;
    const { migration: sender } = controller;
    const choose = sender.chooseShard.bind(sender);
    sender.chooseShard = (home, ofJob, zone, count, queued) => {
      if (ofJob.id === 'wk-000702' && queued === undefined) questions++;
      return choose(home, ofJob, zone, count, queued);
    };
    await accept('wk-000702', 640);
    const record = controller.stateCache.get('b/job/wk-000702')?.value as JobRecord;
    assert.ok(record.createdChunks >= 3, `${record.createdChunks} chunks`);
    assert.equal(questions, 1);
  }));

test('a job is stored by one request: nothing is read before it', () =>
  withCluster({ nodes: 1, runs: () => Infinity }, async (cluster) => {
    const state = cluster.nodes.get('drone-0')?.controller.stateClient;
    if (state === undefined) throw new Error('no node');
    // A busy machine may have kept an answer of the stand-in waiting, which looks like an outage.
    Object.defineProperty(state, 'isHealthy', { value: true });
    await accept(cluster, 'drone-0', submission('wk-000711'));
    assert.deepEqual(
      cluster.state.reads.filter((key) => key === 'b/job/wk-000711'),
      [],
    );
    // What is refused is read: it may have been accepted before.
    const tooLarge = submission('wk-000712', { Cores: 64 });
    const refused = await settled(cluster, 'drone-0', 'POST', '/v1/jobs', tooLarge);
    assert.equal(refused.status, 422);
    assert.ok(cluster.state.reads.includes('b/job/wk-000712'));
  }));
