/** Limits the work of small controllers by counting messages, estimate requests and visits of machines. */
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
import { jobSpec } from '../support/jobSpec.js';
import { submitUntilAccepted, callUntilServed, withCluster } from '../support/users.js';

const HEARTBEAT_INTERVAL = 4;
const RESEND_AFTER = HEARTBEAT_INTERVAL * 1.5;

function createShard(count: number): { shard: Shard; machines: Machine[] } {
  const shard = emptyShard(HEARTBEAT_INTERVAL, new Map([['m8', m8]]));
  const machines = Array.from({ length: count }, (_, i) => {
    const record = {
      shard: 'p',
      type: 'm8',
      zone: 'a',
      spot: false,
      launchedAt: 0,
      address: `h:${i}`,
    };
    const machine = shard.addMachine(`n-${i}`, record, 0);
    machine.markReached(0);
    return machine;
  });
  return { shard, machines };
}

function addChunk(shard: Shard, id: string, memory = 4): Chunk {
  const chunk = new Chunk(
    jobSpec({ id, taskCount: 1, cpus: 8, memoryGb: memory }),
    0,
    'p',
    0,
    0,
    1,
    null,
    0,
  );
  shard.acceptNewChunk(chunk, 0);
  return chunk;
}

function applyHeartbeat(
  shard: Shard,
  machine: Machine,
  now: number,
  tasks: ReportedAttempt[],
): void {
  const { name, address, type, zone, spot, agentEpoch } = machine;
  const heartbeatSequence = machine.heartbeatSequence + 1;
  const fields = {
    machine: name,
    address,
    type,
    zone,
    spot,
    agentEpoch,
    heartbeatSequence,
    highestFencingToken: 1,
    preemptionWarning: null,
  };
  shard.heartbeats.apply(machine, { ...fields, attempts: tasks }, now, 'follow-up');
}

/** A machine that still reports an ended attempt, whose end is stored. */
function withEndedAttempt(now: number): { shard: Shard; machine: Machine } {
  const { shard, machines } = createShard(1);
  const [machine] = machines;
  if (machine === undefined) throw new Error('no machine');
  const chunk = addChunk(shard, 'wk-1');
  shard.scheduler.runRound(now, () => false);
  const task = { task: 'wk-1/0', attemptNumber: 1, cause: null, hasCheckpoint: false };
  applyHeartbeat(shard, machine, now, [{ ...task, state: 'running' }]);
  applyHeartbeat(shard, machine, now, [{ ...task, state: 'ended', cause: 'done' }]);
  chunk.storedVersion = chunk.version;
  return { shard, machine };
}

test('an acknowledgement alone is not sent as a command, and waits in heartbeat answers for other commands', () => {
  const { shard, machine } = withEndedAttempt(1);
  assert.equal(hasDueCommand(machine, 1, RESEND_AFTER), false);
  assert.deepEqual(
    commandsForAnswer(machine, 1 + HEARTBEAT_INTERVAL / 2, RESEND_AFTER, HEARTBEAT_INTERVAL),
    [],
  );
  const alone = commandsForAnswer(
    machine,
    1 + HEARTBEAT_INTERVAL,
    RESEND_AFTER,
    HEARTBEAT_INTERVAL,
  );
  assert.deepEqual(
    alone.map((command) => command.verb),
    ['acknowledge'],
  );
  const next = addChunk(shard, 'wk-2');
  shard.scheduler.runRound(2, () => false);
  assert.equal(hasDueCommand(machine, 2, RESEND_AFTER), false, 'its placement is not stored');
  next.storedVersion = next.version;
  assert.equal(hasDueCommand(machine, 2, RESEND_AFTER), true);
  const together = commandsForAnswer(machine, 2, RESEND_AFTER, HEARTBEAT_INTERVAL);
  assert.deepEqual(
    together.map((command) => command.verb),
    ['acknowledge', 'start'],
  );
});

for (const { name, prepare, due } of [
  { name: 'nothing is due', prepare: () => undefined, due: false },
  { name: 'a stop', prepare: stopAll, due: true },
  {
    name: 'a stop that has just been sent',
    prepare: (shard: Shard, machine: Machine) => {
      stopAll(shard, machine);
      dueCommands(machine, 2, RESEND_AFTER);
    },
    due: false,
  },
  {
    name: 'an unknown attempt',
    prepare: (_: Shard, machine: Machine) => {
      const unknownAttempt = {
        task: 'wk-9/0',
        attemptNumber: 1,
        cause: null,
        hasCheckpoint: false,
      };
      machine.updateReportedAttempts([
        ...machine.reportedAttempts.all,
        { ...unknownAttempt, state: 'running' },
      ]);
    },
    due: true,
  },
]) {
  test(`a command is due exactly when more than acknowledgements is due: ${name}`, () => {
    const { shard, machines } = createShard(1);
    const [machine] = machines;
    if (machine === undefined) throw new Error('no machine');
    addChunk(shard, 'wk-1');
    shard.scheduler.runRound(1, () => false);
    const running = { task: 'wk-1/0', attemptNumber: 1, cause: null, hasCheckpoint: false };
    applyHeartbeat(shard, machine, 1, [{ ...running, state: 'running' }]);
    prepare(shard, machine);
    assert.equal(hasDueCommand(machine, 3, RESEND_AFTER), due);
    assert.equal(dueCommands(machine, 3, RESEND_AFTER).length > 0, due);
  });
}

function stopAll(shard: Shard, machine: Machine): void {
  for (const { attempt } of machine.placements.values()) shard.requestStop(machine, attempt, 0);
}

test('the commands of a round to many machines are sent a few per turn of the event loop', () => {
  const { shard, machines } = createShard(40);
  const deferred: (() => void)[] = [];
  let sent = 0;
  const call = (): Promise<never> => {
    sent++;
    return new Promise(() => undefined);
  };
  const node = {
    settings: { heartbeatInterval: HEARTBEAT_INTERVAL, cores: 1, maxSockets: 1000 },
    clock: { now: () => 1 },
    links: { machines: { call } },
    audit: new AuditTrail('drone-0', () => 0),
    authority: { mayAct: () => true, mayStopCancelledTasks: () => true },
    leadership: {
      isLeaseValid: true,
      leaseExpiresAt: Infinity,
      advanceFencingToken: () => Promise.resolve(null),
    },
    ownedShards: new Map([['p', createOwnedShard(shard, { fencingToken: 1, revision: 1 }, 0)]]),
    requestSchedulingRound: () => undefined,
  };
  const turns = new TurnQueue({ urgent: 4, ordinary: 0 }, (turn) => deferred.push(turn));
  const dispatcher = new CommandDispatcher(node, turns);
  const chunks = machines.map((_, i) => addChunk(shard, `wk-${i}`));
  shard.scheduler.runRound(1, () => false);
  for (const chunk of chunks) chunk.storedVersion = chunk.version;
  for (const machine of machines) shard.machinesWithDueCommands.add(machine);
  dispatcher.send();
  const sentPerTurn: number[] = [];
  for (let turn = deferred.shift(); turn !== undefined; turn = deferred.shift()) {
    const before = sent;
    turn();
    sentPerTurn.push(sent - before);
  }
  assert.equal(sent, 40);
  assert.ok(Math.max(...sentPerTurn) <= 4);
});

/** Counts how often the free resources of machines are read. */
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

test('estimate requests at the same moment share one pass over the machines, and see new placements', () => {
  const { shard, machines } = createShard(200);
  // The queue is not empty, so every estimate needs a replay of the queue.
  addChunk(shard, 'wk-0', 1000);
  const request = { spec: jobSpec({ id: 'wk-x', cpus: 8 }), zone: null, count: 200, run: 20 };
  const estimate = (now: number): number => shard.waitEstimates.estimateWait(request, now);
  const visits = countFree(() => {
    for (let i = 0; i < 30; i++) assert.equal(estimate(1 + i / 1000), 0);
  });
  assert.ok(visits <= 2 * machines.length, `${visits} visits`);
  addChunk(shard, 'wk-1');
  shard.scheduler.runRound(1.03, () => false);
  assert.ok(estimate(1.03) > 0, 'resources that were just taken were promised again');
});

test('machines that are full when a round begins are not visited for each waiting job', () => {
  const { shard, machines } = createShard(200);
  for (const [i] of machines.entries()) addChunk(shard, `wk-${i}`);
  shard.scheduler.runRound(1, () => false);
  // Each job has different requirements, so that a failed placement of one says nothing about the others.
  for (let i = 0; i < 50; i++) addChunk(shard, `wk-9${i}`, 5 + i / 10);
  const visits = countFree(() => {
    shard.scheduler.runRound(2, () => false);
  });
  // One pass lists the machines with room, another reserves a machine for the first waiting job.
  assert.ok(visits <= 4 * machines.length, `${visits} visits`);
});

test('a job of many chunks is estimated once for each chunk size', () =>
  withCluster({ nodes: 2, taskRunSeconds: () => Infinity }, async (cluster) => {
    const controller = cluster.nodes.get('drone-0')?.controller;
    if (controller === undefined) throw new Error('no node');
    const accept = (id: string, pieces: number): Promise<void> =>
      until(`${id} is accepted`, async () => {
        const job = submission(id, { Pieces: pieces, Cores: 1 });
        return (await cluster.call('drone-0', 'POST', '/v1/jobs', job)).status < 300;
      });
    // A shard without machines accepts a job as a whole.
    await accept('wk-000701', 8);
    await until(
      'it has a machine',
      () => (controller.ownedShards.get('drone-0')?.shard.cpus ?? 0) > 0,
    );
    let estimateRequests = 0;
    const { migration: sender } = controller;
    const choose = sender.chooseShard.bind(sender);
    sender.chooseShard = (home, ofJob, zone, count, queued) => {
      if (ofJob.id === 'wk-000702' && queued === undefined) estimateRequests++;
      return choose(home, ofJob, zone, count, queued);
    };
    await accept('wk-000702', 640);
    const record = controller.stateCache.get('b/job/wk-000702')?.value as JobRecord;
    assert.ok(record.createdChunks >= 3, `${record.createdChunks} chunks`);
    assert.equal(estimateRequests, 1);
  }));

test('a job is stored by one request, without reading first', () =>
  withCluster({ nodes: 1, taskRunSeconds: () => Infinity }, async (cluster) => {
    const state = cluster.nodes.get('drone-0')?.controller.stateClient;
    if (state === undefined) throw new Error('no node');
    // On a busy machine a late answer of the simulated state service may look like an outage.
    Object.defineProperty(state, 'isHealthy', { value: true });
    await submitUntilAccepted(cluster, 'drone-0', submission('wk-000711'));
    assert.deepEqual(
      cluster.state.readKeys.filter((key) => key === 'b/job/wk-000711'),
      [],
    );
    // A refused job is read: it may have been accepted before.
    const tooLarge = submission('wk-000712', { Cores: 64 });
    const refused = await callUntilServed(cluster, 'drone-0', 'POST', '/v1/jobs', tooLarge);
    assert.equal(refused.status, 422);
    assert.ok(cluster.state.readKeys.includes('b/job/wk-000712'));
  }));
