/** Messages to and from workers stay within the size that PROTOCOL allows, however many tasks a machine has. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CancelledTaskMonitor } from '../../src/coordination/commands/cancelledTaskMonitor.js';
import { maxBodyBytes } from '../../src/coordination/controller/gateway.js';
import { createOwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import type { Chunk } from '../../src/coordination/model/chunk.js';
import { selectForMessage } from '../../src/coordination/model/commandSelection.js';
import { unconditionalStops } from '../../src/coordination/model/dueCommands.js';
import type { Machine } from '../../src/coordination/model/machine.js';
import { commandBytes, type Command } from '../../src/protocol/workerProtocol.js';
import { HttpParser } from '../../src/transport/httpParser.js';
import { CommandHarness } from '../support/commandHarness.js';
import { ShardFixture } from '../support/shardFixture.js';

/** Maximum bytes of a request's body, and of a line in an answer (PROTOCOL). */
const MAX_BYTES = 64 * 1024;

/** Tasks whose stops take more than one message, while a heartbeat with all of them takes less. */
const TASKS = 1080;

/** Small enough for all tasks on one machine of 8 CPUs. */
const SMALL = { id: 'wk-000001', cpus: 0.005, memoryGb: 0.001 };

const bytesOf = (body: unknown): number => Buffer.byteLength(JSON.stringify(body));

/** A machine that runs `TASKS` small tasks of one job. */
async function crowdedMachine(): Promise<{
  harness: CommandHarness;
  machine: Machine;
  chunk: Chunk;
}> {
  const harness = new CommandHarness();
  const machine = harness.addMachine('n-1');
  const chunk = harness.fixture.addChunk({ ...SMALL, taskCount: TASKS });
  harness.placeAndStore(chunk);
  for (let message = 0; message < 3; message++) await harness.sendCommands(machine);
  assert.equal(harness.worker(machine).running.length, TASKS);
  return { harness, machine, chunk };
}

// Guards against `ran_cancelled`: stops of more than 64 KiB left as one message, which the worker refused again and again.
for (const { name, mayAct } of [
  { name: 'with the right to act', mayAct: true },
  { name: 'without it', mayAct: false },
]) {
  test(`the many tasks of a cancelled job are stopped by messages that the worker accepts, ${name}`, async () => {
    const { harness, machine, chunk } = await crowdedMachine();
    harness.mayAct = mayAct;
    harness.fixture.shard.prepareCancel(chunk, harness.fixture.now);
    for (let message = 0; message < 3; message++) await harness.sendCommands(machine);
    assert.equal(harness.worker(machine).running.length, 0);
    assert.equal(harness.refusedForSize, 0);
  });
}

// Guards against the same in answers to heartbeats, which the worker drops: its lease ends.
test('the stops of a cancelled job in answers to heartbeats stay within a line, and all tasks end', async () => {
  const { harness, machine, chunk } = await crowdedMachine();
  harness.fixture.shard.prepareCancel(chunk, harness.fixture.now);
  for (let heartbeat = 0; heartbeat < 3; heartbeat++) harness.sendHeartbeatForCommands(machine);
  assert.equal(harness.worker(machine).running.length, 0);
  assert.ok(Math.max(...harness.answerBytes) <= MAX_BYTES);
});

// Guards against a heartbeat that ended attempts make too large: acknowledgements alone waited for the next heartbeat.
test('many ended attempts are acknowledged without a heartbeat', async () => {
  const { harness, machine, chunk } = await crowdedMachine();
  harness.fixture.shard.prepareCancel(chunk, harness.fixture.now);
  for (let message = 0; message < 3; message++) await harness.sendCommands(machine);
  harness.fixture.markStored(chunk);
  for (let message = 0; message < 3; message++) await harness.sendCommands(machine);
  assert.ok(bytesOf(harness.worker(machine).heartbeat()) < MAX_BYTES / 2);
});

test('a message that is too small for all commands carries stops first, and keeps their order', () => {
  const commands = (verb: Command['verb'], count: number): Command[] =>
    Array.from({ length: count }, (_, n) => {
      const command = { task: `wk-000001/${n}`, attemptNumber: 1 };
      return verb === 'stop' ? { ...command, verb, gracePeriod: 0 } : { ...command, verb };
    });
  const all = [
    ...commands('acknowledge', 500),
    ...commands('stop', 500),
    ...commands('start', 500),
  ];
  const selected = selectForMessage(all);
  const count = (verb: Command['verb']): number =>
    selected.filter((command) => command.verb === verb).length;
  assert.deepEqual([count('stop'), count('acknowledge')], [500, 500]);
  assert.ok(count('start') > 0 && count('start') < 500);
  assert.deepEqual(
    selected,
    all.filter((command) => selected.includes(command)),
  );
  assert.ok(selected.reduce((sum, command) => sum + commandBytes(command), 0) <= MAX_BYTES);
  const few = commands('stop', 3);
  assert.equal(selectForMessage(few), few);
});

test('a lease that is renewed without some of the stops is a violation only if the answer had room for them', async () => {
  for (const { sent, violations } of [
    { sent: Infinity, violations: 0 },
    { sent: 3, violations: 1 },
  ]) {
    const { harness, machine, chunk } = await crowdedMachine();
    const { fixture } = harness;
    fixture.shard.prepareCancel(chunk, fixture.now);
    const ownedShard = createOwnedShard(fixture.shard, { fencingToken: 7, revision: 1 }, 0);
    const settings = { heartbeatInterval: 3 };
    const clock = { now: () => fixture.now };
    const context = { settings, clock, leadership: { leaseExpiresAt: fixture.now } };
    const stops = selectForMessage(unconditionalStops(machine)).slice(0, sent);
    assert.ok(stops.length < TASKS);
    new CancelledTaskMonitor(context, 1.5).noteRenewal(ownedShard, machine, stops);
    const counted = fixture.shard.audit.counters['invariant-broken.renewal-without-stop'] ?? 0;
    assert.equal(Math.min(1, counted), violations);
  }
});

// Guards against tasks that are started again and again: their worker could not report them all, and its lease ended.
test('a machine gets no more tasks than its worker can report, and others are asked for', () => {
  const fixture = new ShardFixture();
  const machine = fixture.addMachine();
  const chunk = fixture.addChunk({ ...SMALL, taskCount: 1500 });
  fixture.runSchedulingRound();
  const placed = chunk.attempts.size;
  assert.ok(placed > 1000 && placed < 1500, `${placed} tasks were placed`);
  fixture.markStored(chunk);
  const reported = [...machine.placements].map(([task, { attempt }]) => ({
    task,
    attemptNumber: attempt.attemptNumber,
  }));
  const pieces = reported.map(({ task, attemptNumber }) => ({
    Piece: task,
    Try: attemptNumber,
    Status: 'fetching',
  }));
  assert.ok(bytesOf(pieces) <= MAX_BYTES);
  fixture.applyHeartbeat(machine, reported);
  assert.equal(machine.availability(fixture.now), 'full');
  const [demand] = fixture.shard.demand.demands(fixture.now);
  assert.equal(demand?.count, 1500 - placed);
  // Once some have ended and are acknowledged, the rest follows.
  fixture.applyHeartbeat(machine, [
    ...reported
      .slice(0, 600)
      .map((attempt) => ({ ...attempt, state: 'ended', cause: 'done' }) as const),
    ...reported.slice(600),
  ]);
  fixture.markStored(chunk);
  fixture.applyHeartbeat(machine, reported.slice(600));
  fixture.runSchedulingRound();
  assert.equal(chunk.attempts.size, 1500 - 600);
});

test('a heartbeat beyond the size of other requests is read, so that its worker keeps its lease', () => {
  const request = (target: string): Buffer => {
    const body = 'x'.repeat(90 * 1024);
    return Buffer.from(`POST ${target} HTTP/1.1\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
  };
  const parse = (target: string): number =>
    new HttpParser('request', maxBodyBytes).push(request(target)).length;
  assert.equal(parse('/hello'), 1);
  assert.throws(() => parse('/v1/jobs'), { status: 413 });
});
