/**
 * Commands with a start: a worker may execute them late, or a second time, whatever the outcome of them and of later ones.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CommandOutcome } from '../../src/coordination/audit/commandOutcome.js';
import { createOwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import { TOKENS_PER_LEADERSHIP } from '../../src/coordination/model/fencingTokenBlock.js';
import type { Machine } from '../../src/coordination/model/machine.js';
import { StartCommands } from '../../src/coordination/model/startCommands.js';
import type { ReportedAttempt } from '../../src/protocol/workerProtocol.js';
import { ShardFixture, FENCING_TOKEN } from '../support/shardFixture.js';
import { CommandHarness, type DeliveryOutcome } from '../support/commandHarness.js';
import { startedChunkRecord } from '../support/jobSpec.js';

const TASK = 'wk-1/0';

/** The stored attempts while the second attempt runs. */
const SECOND_ATTEMPT = [{ task: 0, attemptNumber: 2, machine: 'n-1', agentEpoch: 1 }];

/** Lets the first attempt of `TASK` fail on a machine, whose worker reports it. */
function failFirstAttempt(fixture: CommandHarness, machine: Machine): void {
  const attempt = fixture.worker(machine).find(TASK, 1);
  assert.ok(attempt, 'it was started');
  fixture.worker(machine).terminate(attempt, 'error');
  fixture.sendHeartbeat(machine);
}

/** Outcomes of the second command with the same start, while the first is held by the network. */
const repeats: DeliveryOutcome[] = ['no socket', 'connection refused'];

test('a held start may still be executed when its repeat was never sent', async () => {
  for (const repeat of repeats) {
    const fixture = new CommandHarness();
    const first = fixture.addMachine('n-1');
    const chunk = fixture.fixture.addChunk();
    fixture.placeAndStore(chunk);
    fixture.deliveryOutcomes.push('held', repeat);
    await fixture.sendCommands(first);
    await fixture.sendCommands(first);
    // The user requests the cancellation of the job; the record can't be stored, and the job continues.
    fixture.fixture.shard.prepareCancel(chunk, fixture.fixture.now);
    fixture.fixture.shard.abandonCancellation(chunk);
    fixture.fixture.missTwoProbes(first);
    const second = fixture.addMachine('n-2');
    fixture.placeAndStore(chunk);
    await fixture.sendCommands(second);
    fixture.deliverHeldCommands();
    assert.deepEqual(fixture.concurrentStarts, [], repeat);
    assert.equal(fixture.worker(first).running.length, 1, `${repeat}: the held start was executed`);
  }
});

test('a held start may still be executed when its repeat was executed', async () => {
  const fixture = new CommandHarness();
  const first = fixture.addMachine('n-1');
  const chunk = fixture.fixture.addChunk();
  fixture.placeAndStore(chunk);
  fixture.deliveryOutcomes.push('held', 'arrives');
  await fixture.sendCommands(first);
  await fixture.sendCommands(first);
  const attempt = chunk.attempts.get(0);
  assert.ok(attempt?.wasReported, 'the repeat has started the task');
  fixture.fixture.shard.requestStop(first, attempt, 0);
  await fixture.sendCommands(first);
  assert.equal(chunk.attempts.size, 0, 'the attempt was stopped');
  first.isCordoned = true;
  const second = fixture.addMachine('n-2');
  fixture.placeAndStore(chunk);
  fixture.sendHeartbeatForCommands(first);
  await fixture.sendCommands(second);
  assert.equal(fixture.worker(second).running.length, 1, 'the task continues on another machine');
  assert.equal(
    fixture.worker(first).find(TASK, 1),
    undefined,
    'its worker was told to forget the attempt',
  );
  fixture.deliverHeldCommands();
  assert.deepEqual(new Set(fixture.deliverDuplicates()), new Set([409, 200]));
  assert.deepEqual(fixture.concurrentStarts, []);
  assert.equal(fixture.worker(first).find(TASK, 1), undefined, 'a late start is refused');
});

/**
 * A machine whose worker was told to forget the first attempt of `TASK`, and has forgotten it; `wk-2/0` runs there as well.
 */
async function acknowledgedAttempt(): Promise<{ fixture: CommandHarness; machine: Machine }> {
  const fixture = new CommandHarness();
  const machine = fixture.addMachine('n-1');
  const chunk = fixture.fixture.addChunk();
  const other = fixture.fixture.addChunk({ id: 'wk-2' });
  fixture.placeAndStore(chunk);
  fixture.fixture.markStored(other);
  await fixture.sendCommands(machine);
  failFirstAttempt(fixture, machine);
  fixture.fixture.markStored(chunk);
  fixture.sendHeartbeatForCommands(machine);
  assert.equal(
    fixture.worker(machine).find(TASK, 1),
    undefined,
    'its worker was told to forget the attempt',
  );
  return { fixture, machine };
}

test('a copy of an answered start is refused once the attempt was acknowledged, and other work continues', async () => {
  const { fixture, machine } = await acknowledgedAttempt();
  assert.deepEqual(new Set(fixture.deliverDuplicates()), new Set([409]));
  assert.equal(fixture.worker(machine).find('wk-2/0', 1)?.state, 'running');
  assert.deepEqual(fixture.fixture.shard.audit.counters, { 'attempt-over.ended': 1 });
});

test('a worker that has lost its highest fencing token refuses copies from the first answer on', async () => {
  const { fixture, machine } = await acknowledgedAttempt();
  fixture.worker(machine).highestFencingToken = 0;
  fixture.sendHeartbeatForCommands(machine);
  assert.deepEqual(new Set(fixture.deliverDuplicates()), new Set([409]));
});

test('an attempt that its worker had forgotten and reports again is a violation, and is stopped', async () => {
  const { fixture, machine } = await acknowledgedAttempt();
  machine.acknowledgedAttempts.noteAcknowledged(TASK, 1);
  fixture.sendHeartbeat(machine);
  // Simulates a worker that has lost its highest fencing token.
  fixture.worker(machine).highestFencingToken = 0;
  fixture.deliverDuplicates();
  fixture.sendHeartbeat(machine);
  assert.equal(
    fixture.fixture.shard.audit.counters['invariant-broken.acknowledged-attempt-returned'],
    1,
  );
  assert.deepEqual(
    machine.unknownAttempts.map(({ task }) => task),
    [TASK],
  );
});

test('two attempts of a task in one heartbeat are told apart, in whichever order they are listed', async () => {
  for (const order of ['oldest first', 'newest first'] as const) {
    const fixture = new CommandHarness();
    const first = fixture.addMachine('n-1', order);
    const chunk = fixture.fixture.addChunk();
    fixture.placeAndStore(chunk);
    fixture.deliveryOutcomes.push('held', 'arrives');
    await fixture.sendCommands(first);
    await fixture.sendCommands(first);
    const attempt = chunk.attempts.get(0);
    assert.ok(attempt, order);
    fixture.fixture.shard.requestStop(first, attempt, 0);
    await fixture.sendCommands(first);
    // The second attempt goes to the same machine, which still reports the first.
    fixture.placeAndStore(chunk);
    await fixture.sendCommands(first);
    fixture.worker(first).reportOrder = 'oldest first';
    fixture.sendHeartbeat(first);
    assert.equal(chunk.attempts.get(0)?.state, 'running', order);
    fixture.worker(first).reportOrder = order;
    fixture.deliverHeldCommands();
    fixture.sendHeartbeat(first);
    const second = fixture.addMachine('n-2');
    first.isCordoned = true;
    fixture.placeAndStore(chunk);
    await fixture.sendCommands(second);
    assert.deepEqual(fixture.concurrentStarts, [], order);
    assert.equal(
      chunk.attempts.get(0)?.attemptNumber,
      2,
      `${order}: the second attempt is still there`,
    );
  }
});

/**
 * Tokens and outcomes of commands with the same start, and whether a copy may still be executed, by the token that the
 * worker has seen.
 */
const outcomeCases: {
  name: string;
  commands: [number, CommandOutcome][];
  expectations: [number, boolean][];
}[] = [
  { name: 'never sent', commands: [], expectations: [[0, false]] },
  {
    name: 'unanswered: until a higher token is seen',
    commands: [[5, 'unanswered']],
    expectations: [
      [5, true],
      [6, false],
    ],
  },
  { name: 'unsent', commands: [[5, 'unsent']], expectations: [[0, false]] },
  {
    name: 'unanswered, and its repeat unsent',
    commands: [
      [5, 'unanswered'],
      [5, 'unsent'],
    ],
    expectations: [[5, true]],
  },
  {
    name: 'unanswered, and its repeat executed under the same token',
    commands: [
      [5, 'unanswered'],
      [5, 'executed'],
    ],
    expectations: [
      [5, true],
      [6, false],
    ],
  },
  {
    name: 'executed: a copy may follow until a higher token is seen',
    commands: [[5, 'executed']],
    expectations: [
      [5, true],
      [6, false],
    ],
  },
  {
    name: 'unanswered, and its repeat executed under a higher token',
    commands: [
      [5, 'unanswered'],
      [6, 'executed'],
    ],
    expectations: [
      [6, true],
      [7, false],
    ],
  },
  {
    name: 'unanswered, and its repeat refused: the worker has seen a higher token or agent epoch',
    commands: [
      [5, 'unanswered'],
      [5, 'refused'],
    ],
    expectations: [[5, false]],
  },
  {
    name: 'unanswered under a higher token, and a late unsent one',
    commands: [
      [6, 'unanswered'],
      [5, 'unsent'],
    ],
    expectations: [[6, true]],
  },
];
for (const { name, commands, expectations } of outcomeCases) {
  test(`whether a start may still be executed: ${name}`, () => {
    const startCommands = new StartCommands();
    for (const [token, outcome] of commands) {
      startCommands.noteSent(token);
      assert.ok(startCommands.mayStillExecute(token), 'while the command is in flight');
      startCommands.noteOutcome(token, outcome);
    }
    for (const [seenToken, mayStillExecute] of expectations)
      assert.equal(startCommands.mayStillExecute(seenToken), mayStillExecute, `seen ${seenToken}`);
  });
}

test('an attempt whose start got no answer terminates once its worker has shown a higher token, without a write', async () => {
  const fixture = new CommandHarness();
  const machine = fixture.addMachine('n-1');
  const chunk = fixture.fixture.addChunk();
  fixture.placeAndStore(chunk);
  fixture.deliveryOutcomes.push('held');
  await fixture.sendCommands(machine);
  // The token is not raised while nothing depends on it: a held start may arrive late and be executed.
  fixture.dispatcher.sweep();
  fixture.sendHeartbeatForCommands(machine);
  assert.equal(fixture.worker(machine).highestFencingToken, FENCING_TOKEN);
  const attempt = chunk.attempts.get(0);
  assert.ok(attempt);
  fixture.fixture.shard.requestStop(machine, attempt, 0);
  fixture.fixture.shard.cancel(chunk, fixture.fixture.now);
  fixture.dispatcher.sweep();
  fixture.sendHeartbeatForCommands(machine);
  assert.equal(chunk.attempts.size, 1, 'its worker has not shown the higher token yet');
  fixture.sendHeartbeat(machine);
  assert.equal(chunk.attempts.size, 0);
  fixture.deliverHeldCommands();
  assert.equal(fixture.worker(machine).running.length, 0, 'the held start is refused');
  assert.equal(fixture.tokenAdvanceResults.length, 0);
});

test('a leadership that has used up its tokens for a machine acknowledges nothing there before it has stored more', async () => {
  const fixture = new CommandHarness();
  const machine = fixture.addMachine('n-1');
  const chunk = fixture.fixture.addChunk();
  const { last } = fixture.ownedShard.shard.fencingTokens;
  fixture.worker(machine).highestFencingToken = last;
  fixture.sendHeartbeat(machine);
  fixture.placeAndStore(chunk);
  await fixture.sendCommands(machine);
  failFirstAttempt(fixture, machine);
  fixture.fixture.markStored(chunk);
  fixture.sendHeartbeatForCommands(machine);
  assert.ok(fixture.worker(machine).find(TASK, 1), 'a copy of its start would not be refused');
  fixture.fixture.now += 7;
  fixture.tokenAdvanceResults.push({
    fencingToken: last + 1,
    revision: 2,
    previousLeaderLostAt: 0,
  });
  fixture.dispatcher.sweep();
  await new Promise((resolve) => setImmediate(resolve));
  fixture.sendHeartbeatForCommands(machine);
  assert.equal(fixture.worker(machine).find(TASK, 1), undefined);
  assert.equal(fixture.worker(machine).highestFencingToken, last + 1);
});

test('an end first shown in the response to a command is acknowledged once a heartbeat has settled the start', () => {
  const fixture = new ShardFixture();
  const machine = fixture.addMachine();
  const chunk = fixture.addChunk();
  fixture.runSchedulingRound();
  fixture.markStored(chunk);
  const attempt = chunk.attempts.get(0);
  assert.ok(attempt);
  // The start is sent in the answer to a heartbeat; the response to a command overtakes the next heartbeat.
  attempt.startSentInAnswer = true;
  const refused = [{ state: 'ended', cause: 'no_room' }] as const;
  fixture.applyHeartbeat(machine, [...refused], {}, 'response');
  fixture.markStored(chunk);
  assert.equal(chunk.attempts.size, 0);
  assert.deepEqual(
    fixture.dueCommandNames(machine),
    [],
    'the answer with the start may still be on its way',
  );
  fixture.applyHeartbeat(machine, [...refused], {}, 'follow-up');
  assert.deepEqual(fixture.dueCommandNames(machine), ['acknowledge wk-1/0 1']);
});

test('each attempt of one task on a machine is stopped, acknowledged or kept on its own', () => {
  const cases: [string, Partial<ReportedAttempt>[], string[]][] = [
    ['an earlier one still runs', [{ attemptNumber: 1 }, { attemptNumber: 2 }], ['stop wk-1/0 1']],
    ['in the other order', [{ attemptNumber: 2 }, { attemptNumber: 1 }], ['stop wk-1/0 1']],
    [
      'an earlier one has ended',
      [{ attemptNumber: 2 }, { attemptNumber: 1, state: 'ended', cause: 'halted' }],
      ['acknowledge wk-1/0 1'],
    ],
    [
      'an earlier one was refused while the later one ran',
      [{ attemptNumber: 2 }, { attemptNumber: 1, state: 'ended', cause: 'busy' }],
      ['acknowledge wk-1/0 1'],
    ],
  ];
  for (const [name, tasks, commands] of cases) {
    const fixture = new ShardFixture();
    const machine = fixture.addMachine();
    const chunk = fixture.shard.loadChunk(
      0,
      { ...startedChunkRecord(), nextAttemptNumber: 3, attempts: SECOND_ATTEMPT },
      FENCING_TOKEN,
      1,
    );
    fixture.applyHeartbeat(machine, [{ attemptNumber: 2 }]);
    fixture.applyHeartbeat(machine, tasks);
    assert.equal(chunk.attempts.get(0)?.attemptNumber, 2, name);
    assert.equal(chunk.attempts.get(0)?.state, 'running', name);
    assert.deepEqual(fixture.dueCommandNames(machine), commands, name);
  }
});

test('a start waits while another attempt of its task runs on a machine of the shard', async () => {
  const fixture = new CommandHarness();
  const first = fixture.addMachine('n-1');
  const second = fixture.addMachine('n-2');
  first.isCordoned = true;
  const chunk = fixture.fixture.addChunk();
  fixture.placeAndStore(chunk);
  // An unknown attempt is stopped at once, and the shard starts its own attempt only after seeing the end.
  fixture.worker(first).handleCommand({
    Baton: FENCING_TOKEN,
    Shift: 1,
    Orders: [{ Verb: 'start', Piece: TASK, Try: 7 }],
  });
  fixture.sendHeartbeat(first);
  await fixture.sendCommands(second);
  assert.equal(fixture.worker(second).running.length, 0);
  assert.equal(
    fixture.fixture.shard.audit.counters['invariant-broken.start-beside-live-attempt'],
    1,
  );
  await fixture.sendCommands(first);
  await fixture.sendCommands(second);
  assert.equal(
    fixture.worker(second).running.length,
    1,
    'the end of the unknown attempt was reported',
  );
  assert.deepEqual(fixture.concurrentStarts, []);
});

test('a start waits no longer than the lease of a machine with another attempt', async () => {
  const fixture = new CommandHarness();
  const first = fixture.addMachine('n-1');
  const second = fixture.addMachine('n-2');
  first.isCordoned = true;
  const chunk = fixture.fixture.addChunk();
  fixture.placeAndStore(chunk);
  fixture.fixture.applyHeartbeat(first, [{ attemptNumber: 7 }], { heartbeatSequence: 50 });
  await fixture.sendCommands(second);
  assert.equal(fixture.worker(second).running.length, 0);
  fixture.fixture.now += 30;
  await fixture.sendCommands(second);
  assert.equal(fixture.worker(second).running.length, 1);
});

test('an attempt acknowledged by a new leader has not vanished for the previous leader that was paused meanwhile', () => {
  for (const [token, violations] of [
    [FENCING_TOKEN + TOKENS_PER_LEADERSHIP - 1, 1],
    [FENCING_TOKEN + TOKENS_PER_LEADERSHIP, undefined],
  ] as const) {
    const fixture = new ShardFixture();
    createOwnedShard(fixture.shard, { fencingToken: FENCING_TOKEN, revision: 1 }, fixture.now);
    const machine = fixture.addMachine();
    fixture.createRunningChunk(machine);
    fixture.applyHeartbeat(machine, [], { highestFencingToken: token });
    assert.equal(fixture.shard.audit.counters['invariant-broken.attempt-vanished'], violations);
  }
});

test('an answer raises no token while a command is in flight', async () => {
  const fixture = new CommandHarness();
  const machine = fixture.addMachine('n-1');
  const chunk = fixture.fixture.addChunk();
  fixture.placeAndStore(chunk);
  await fixture.sendCommands(machine);
  const commands = [{ verb: 'acknowledge', task: TASK, attemptNumber: 1 }] as const;
  const { fencingTokens: tokens } = fixture.ownedShard.shard;
  const seal = (mayRaise: boolean): unknown =>
    machine.commandTokens.assignToken(commands, tokens, { seenToken: FENCING_TOKEN, mayRaise });
  assert.deepEqual(seal(false), { token: FENCING_TOKEN, commands: [], startToken: FENCING_TOKEN });
  assert.deepEqual(seal(true), {
    token: FENCING_TOKEN + 1,
    commands: [...commands],
    startToken: FENCING_TOKEN,
  });
  // Nothing was started under the new token: the next message needs no higher one.
  assert.deepEqual(seal(false), {
    token: FENCING_TOKEN + 1,
    commands: [...commands],
    startToken: FENCING_TOKEN,
  });
});
