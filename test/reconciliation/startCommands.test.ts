/** Commands with a start: they may be carried out late, or once more, whatever became of them and of later ones. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CommandOutcome } from '../../src/coordination/audit/commandOutcome.js';
import { createOwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import { TOKENS_PER_LEADERSHIP } from '../../src/coordination/model/fencingTokenBlock.js';
import type { Machine } from '../../src/coordination/model/machine.js';
import { StartCommands } from '../../src/coordination/model/startCommands.js';
import type { ReportedAttempt } from '../../src/protocol/workerProtocol.js';
import { ShardFixture, TOKEN } from '../support/shardFixture.js';
import { CommandBench, type Passage } from '../support/commandBench.js';
import { startedRecord } from '../support/spec.js';

const TASK = 'wk-1/0';

/** As stored while the second attempt runs. */
const SECOND = [{ task: 0, attemptNumber: 2, machine: 'n-1', agentEpoch: 1 }];

/** The first attempt of `TASK` fails on a machine, whose worker reports it. */
function endFirstAttempt(b: CommandBench, machine: Machine): void {
  const attempt = b.worker(machine).find(TASK, 1);
  assert.ok(attempt, 'it was started');
  b.worker(machine).end(attempt, 'error');
  b.hello(machine);
}

/** What becomes of the second command with the same start, while the first is held. */
const repeats: Passage[] = ['no socket', 'connection refused'];

test('a start that was held stays in doubt when its repeat was never sent', async () => {
  for (const repeat of repeats) {
    const b = new CommandBench();
    const first = b.machine('n-1');
    const chunk = b.bench.chunk();
    b.place(chunk);
    b.passages.push('held', repeat);
    await b.send(first);
    await b.send(first);
    // Its user asks to cancel it; the record can't be stored, and the job goes on.
    b.bench.shard.prepareCancel(chunk, b.bench.now);
    b.bench.shard.abandonCancellation(chunk);
    b.bench.missTwoProbes(first);
    const second = b.machine('n-2');
    b.place(chunk);
    await b.send(second);
    b.deliverHeld();
    assert.deepEqual(b.ranTwice, [], repeat);
    assert.equal(b.worker(first).running.length, 1, `${repeat}: the held start was carried out`);
  }
});

test('a start that was held stays in doubt when its repeat was carried out', async () => {
  const b = new CommandBench();
  const first = b.machine('n-1');
  const chunk = b.bench.chunk();
  b.place(chunk);
  b.passages.push('held', 'arrives');
  await b.send(first);
  await b.send(first);
  const entry = chunk.attempts.get(0);
  assert.ok(entry?.wasReported, 'the repeat has started it');
  b.bench.shard.requestStop(first, entry, 0);
  await b.send(first);
  assert.equal(chunk.attempts.size, 0, 'it was stopped');
  first.isCordoned = true;
  const second = b.machine('n-2');
  b.place(chunk);
  b.helloForOrders(first);
  await b.send(second);
  assert.equal(b.worker(second).running.length, 1, 'it goes on elsewhere');
  assert.equal(b.worker(first).find(TASK, 1), undefined, 'its worker was told to forget it');
  b.deliverHeld();
  assert.deepEqual(new Set(b.deliverCopies()), new Set([409, 200]));
  assert.deepEqual(b.ranTwice, []);
  assert.equal(b.worker(first).find(TASK, 1), undefined, 'a late start is refused');
});

/** A machine whose worker was told to forget the first attempt of `TASK`, and has forgotten it; `wk-2/0` runs there as well. */
async function acknowledged(): Promise<{ b: CommandBench; machine: Machine }> {
  const b = new CommandBench();
  const machine = b.machine('n-1');
  const chunk = b.bench.chunk();
  const other = b.bench.chunk({ id: 'wk-2' });
  b.place(chunk);
  b.bench.store(other);
  await b.send(machine);
  endFirstAttempt(b, machine);
  b.bench.store(chunk);
  b.helloForOrders(machine);
  assert.equal(b.worker(machine).find(TASK, 1), undefined, 'its worker was told to forget it');
  return { b, machine };
}

test('a copy of an answered start is refused once the attempt was acknowledged, and other work goes on', async () => {
  const { b, machine } = await acknowledged();
  assert.deepEqual(new Set(b.deliverCopies()), new Set([409]));
  assert.equal(b.worker(machine).find('wk-2/0', 1)?.state, 'running');
  assert.deepEqual(b.bench.shard.audit.counters, { 'attempt-over.ended': 1 });
});

test('a worker that is back as if new refuses copies from our first answer on', async () => {
  const { b, machine } = await acknowledged();
  b.worker(machine).token = 0;
  b.helloForOrders(machine);
  assert.deepEqual(new Set(b.deliverCopies()), new Set([409]));
});

test('an attempt that its worker had forgotten and reports again is noted and ended', async () => {
  const { b, machine } = await acknowledged();
  machine.acknowledgedAttempts.noteAcknowledged(TASK, 1);
  b.hello(machine);
  // As a worker would that has lost its highest fencing token.
  b.worker(machine).token = 0;
  b.deliverCopies();
  b.hello(machine);
  assert.equal(b.bench.shard.audit.counters['invariant-broken.acknowledged-attempt-returned'], 1);
  assert.deepEqual(
    machine.unknownAttempts.map(({ task }) => task),
    [TASK],
  );
});

test('two attempts of a task in one report are told apart, in whatever order they stand', async () => {
  for (const order of ['oldest first', 'newest first'] as const) {
    const b = new CommandBench();
    const first = b.machine('n-1', order);
    const chunk = b.bench.chunk();
    b.place(chunk);
    b.passages.push('held', 'arrives');
    await b.send(first);
    await b.send(first);
    const entry = chunk.attempts.get(0);
    assert.ok(entry, order);
    b.bench.shard.requestStop(first, entry, 0);
    await b.send(first);
    // The second attempt goes to the same machine, which still reports the first.
    b.place(chunk);
    await b.send(first);
    b.worker(first).reportOrder = 'oldest first';
    b.hello(first);
    assert.equal(chunk.attempts.get(0)?.state, 'running', order);
    b.worker(first).reportOrder = order;
    b.deliverHeld();
    b.hello(first);
    const second = b.machine('n-2');
    first.isCordoned = true;
    b.place(chunk);
    await b.send(second);
    assert.deepEqual(b.ranTwice, [], order);
    assert.equal(
      chunk.attempts.get(0)?.attemptNumber,
      2,
      `${order}: the second attempt is still there`,
    );
  }
});

/** Commands with the same start: token and outcome; then whether one may still come, by the token that the worker has seen. */
const histories: {
  name: string;
  commands: [number, CommandOutcome][];
  open: [number, boolean][];
}[] = [
  { name: 'never sent', commands: [], open: [[0, false]] },
  {
    name: 'unanswered: until a higher token is seen',
    commands: [[5, 'unanswered']],
    open: [
      [5, true],
      [6, false],
    ],
  },
  { name: 'unsent', commands: [[5, 'unsent']], open: [[0, false]] },
  {
    name: 'unanswered, and its repeat unsent',
    commands: [
      [5, 'unanswered'],
      [5, 'unsent'],
    ],
    open: [[5, true]],
  },
  {
    name: 'unanswered, and its repeat carried out under the same token',
    commands: [
      [5, 'unanswered'],
      [5, 'executed'],
    ],
    open: [
      [5, true],
      [6, false],
    ],
  },
  {
    name: 'carried out: a copy may follow until a higher token is seen',
    commands: [[5, 'executed']],
    open: [
      [5, true],
      [6, false],
    ],
  },
  {
    name: 'unanswered, and its repeat carried out under a higher token',
    commands: [
      [5, 'unanswered'],
      [6, 'executed'],
    ],
    open: [
      [6, true],
      [7, false],
    ],
  },
  {
    name: 'unanswered, and its repeat refused: token or session are past it',
    commands: [
      [5, 'unanswered'],
      [5, 'refused'],
    ],
    open: [[5, false]],
  },
  {
    name: 'unanswered under a higher token, and a late unsent one',
    commands: [
      [6, 'unanswered'],
      [5, 'unsent'],
    ],
    open: [[6, true]],
  },
];
for (const { name, commands, open } of histories) {
  test(`whether a start may still come: ${name}`, () => {
    const doubt = new StartCommands();
    for (const [token, outcome] of commands) {
      doubt.noteSent(token);
      assert.ok(doubt.mayStillExecute(token), 'while it is on its way');
      doubt.noteOutcome(token, outcome);
    }
    for (const [seen, isOpen] of open)
      assert.equal(doubt.mayStillExecute(seen), isOpen, `seen ${seen}`);
  });
}

test('an attempt whose start got no answer is given up once its worker has shown a higher token, without a write', async () => {
  const b = new CommandBench();
  const machine = b.machine('n-1');
  const chunk = b.bench.chunk();
  b.place(chunk);
  b.passages.push('held');
  await b.send(machine);
  // While nothing has to wait for it, the token stays: a held start that comes late is welcome.
  b.orders.sweep();
  b.helloForOrders(machine);
  assert.equal(b.worker(machine).token, TOKEN);
  const attempt = chunk.attempts.get(0);
  assert.ok(attempt);
  b.bench.shard.requestStop(machine, attempt, 0);
  b.bench.shard.cancel(chunk, b.bench.now);
  b.orders.sweep();
  b.helloForOrders(machine);
  assert.equal(chunk.attempts.size, 1, 'its worker has not shown the higher token yet');
  b.hello(machine);
  assert.equal(chunk.attempts.size, 0);
  b.deliverHeld();
  assert.equal(b.worker(machine).running.length, 0, 'the held start is refused');
  assert.equal(b.raises.length, 0);
});

test('a leadership whose tokens are used up for a machine acknowledges nothing there before it has others', async () => {
  const b = new CommandBench();
  const machine = b.machine('n-1');
  const chunk = b.bench.chunk();
  const { last } = b.host.shard.fencingTokens;
  b.worker(machine).token = last;
  b.hello(machine);
  b.place(chunk);
  await b.send(machine);
  endFirstAttempt(b, machine);
  b.bench.store(chunk);
  b.helloForOrders(machine);
  assert.ok(b.worker(machine).find(TASK, 1), 'a copy of its start would not be refused');
  b.bench.now += 7;
  b.raises.push({ fencingToken: last + 1, revision: 2, previousLeaderLostAt: 0 });
  b.orders.sweep();
  await new Promise((resolve) => setImmediate(resolve));
  b.helloForOrders(machine);
  assert.equal(b.worker(machine).find(TASK, 1), undefined);
  assert.equal(b.worker(machine).token, last + 1);
});

test('an end that an answer to a command shows first is reaped once a report has settled its start', () => {
  const b = new ShardFixture();
  const machine = b.machine();
  const chunk = b.chunk();
  b.runSchedulingRound();
  b.store(chunk);
  const entry = chunk.attempts.get(0);
  assert.ok(entry);
  // The start rides in the answer to a report; the answer to a command of ours overtakes the next report.
  entry.startSentInAnswer = true;
  const refused = [{ state: 'ended', cause: 'no_room' }] as const;
  b.report(machine, [...refused], {}, 'response');
  b.store(chunk);
  assert.equal(chunk.attempts.size, 0);
  assert.deepEqual(
    b.dueCommandNames(machine),
    [],
    'the answer with the start may still be on its way',
  );
  b.report(machine, [...refused], {}, 'follow-up');
  assert.deepEqual(b.dueCommandNames(machine), ['acknowledge wk-1/0 1']);
});

test('of attempts of one task on a machine each is stopped, reaped or kept by itself', () => {
  const orders: [string, Partial<ReportedAttempt>[], string[]][] = [
    ['an earlier one still runs', [{ attemptNumber: 1 }, { attemptNumber: 2 }], ['stop wk-1/0 1']],
    ['in the other order', [{ attemptNumber: 2 }, { attemptNumber: 1 }], ['stop wk-1/0 1']],
    [
      'an earlier one has ended',
      [{ attemptNumber: 2 }, { attemptNumber: 1, state: 'ended', cause: 'halted' }],
      ['acknowledge wk-1/0 1'],
    ],
    [
      'an earlier one was refused beside it',
      [{ attemptNumber: 2 }, { attemptNumber: 1, state: 'ended', cause: 'busy' }],
      ['acknowledge wk-1/0 1'],
    ],
  ];
  for (const [name, tasks, verbs] of orders) {
    const b = new ShardFixture();
    const machine = b.machine();
    const chunk = b.shard.loadChunk(
      0,
      { ...startedRecord(), nextAttemptNumber: 3, attempts: SECOND },
      TOKEN,
      1,
    );
    b.report(machine, [{ attemptNumber: 2 }]);
    b.report(machine, tasks);
    assert.equal(chunk.attempts.get(0)?.attemptNumber, 2, name);
    assert.equal(chunk.attempts.get(0)?.state, 'running', name);
    assert.deepEqual(b.dueCommandNames(machine), verbs, name);
  }
});

test('a start waits while another attempt of its task runs on a machine of the part', async () => {
  const b = new CommandBench();
  const first = b.machine('n-1');
  const second = b.machine('n-2');
  first.isCordoned = true;
  const chunk = b.bench.chunk();
  b.place(chunk);
  // An attempt that nobody knows of: it is ended at once, and until that is seen ours does not start.
  b.worker(first).command({
    Baton: TOKEN,
    Shift: 1,
    Orders: [{ Verb: 'start', Piece: TASK, Try: 7 }],
  });
  b.hello(first);
  await b.send(second);
  assert.equal(b.worker(second).running.length, 0);
  assert.equal(b.bench.shard.audit.counters['invariant-broken.start-beside-live-attempt'], 1);
  await b.send(first);
  await b.send(second);
  assert.equal(b.worker(second).running.length, 1, 'its end was seen');
  assert.deepEqual(b.ranTwice, []);
});

test('a start waits no longer than the lease of a machine with another attempt', async () => {
  const b = new CommandBench();
  const first = b.machine('n-1');
  const second = b.machine('n-2');
  first.isCordoned = true;
  const chunk = b.bench.chunk();
  b.place(chunk);
  b.bench.report(first, [{ attemptNumber: 7 }], { heartbeatSequence: 50 });
  await b.send(second);
  assert.equal(b.worker(second).running.length, 0);
  b.bench.now += 30;
  await b.send(second);
  assert.equal(b.worker(second).running.length, 1);
});

test('what an adopter has reaped did not vanish for the owner that stood still meanwhile', () => {
  for (const [token, broken] of [
    [TOKEN + TOKENS_PER_LEADERSHIP - 1, 1],
    [TOKEN + TOKENS_PER_LEADERSHIP, undefined],
  ] as const) {
    const b = new ShardFixture();
    createOwnedShard(b.shard, { fencingToken: TOKEN, revision: 1 }, b.now);
    const machine = b.machine();
    b.createRunningChunk(machine);
    b.report(machine, [], { highestFencingToken: token });
    assert.equal(b.shard.audit.counters['invariant-broken.attempt-vanished'], broken);
  }
});

test('an answer raises no token while a command is on its way', async () => {
  const b = new CommandBench();
  const machine = b.machine('n-1');
  const chunk = b.bench.chunk();
  b.place(chunk);
  await b.send(machine);
  const commands = [{ verb: 'acknowledge', task: TASK, attemptNumber: 1 }] as const;
  const { fencingTokens: tokens } = b.host.shard;
  const seal = (mayRaise: boolean): unknown =>
    machine.commandTokens.assignToken(commands, tokens, { seenToken: TOKEN, mayRaise });
  assert.deepEqual(seal(false), { token: TOKEN, commands: [], startToken: TOKEN });
  assert.deepEqual(seal(true), { token: TOKEN + 1, commands: [...commands], startToken: TOKEN });
  // Nothing was started under the new one: the next needs no other.
  assert.deepEqual(seal(false), { token: TOKEN + 1, commands: [...commands], startToken: TOKEN });
});
