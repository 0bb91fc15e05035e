/** A part's book-keeping: stale reports, sessions, starts in doubt, failures, preemption. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '../src/base/random.js';
import { Chunk } from '../src/coordination/chunk.js';
import { RunTimes } from '../src/coordination/estimate.js';
import type { Machine } from '../src/coordination/machine.js';
import { Part } from '../src/coordination/part.js';
import type { Source } from '../src/coordination/reportIntake.js';
import { singlePartView, type ClusterView } from '../src/coordination/teamUsage.js';
import type { MachineType } from '../src/protocol/cloud.js';
import type { JobSpec } from '../src/protocol/job.js';
import type { Report, TaskReport } from '../src/protocol/worker.js';
import { m8 } from './support/part.js';
import { spec } from './support/spec.js';

const TOKEN = 5;
class Bench {
  now = 100;
  tick = 0;
  session = 1;
  types = new Map([['m8', m8]]);
  readonly part: Part;

  constructor(cluster: ClusterView = singlePartView) {
    this.part = new Part(
      'p',
      {
        lease: 18,
        report: 3,
        sample: 8,
        zones: ['a'],
        patience: 30,
        dearPatience: 60,
        headroom: 1.2,
        window: 100,
      },
      () => this.types,
      new RunTimes(),
      seededRandom(1),
      cluster,
    );
  }

  machine(name = 'n-1', report = true): Machine {
    const record = { part: 'p', type: 'm8', zone: 'a', spot: false, at: 0 };
    const machine = this.part.addMachine(name, record, this.now);
    if (report) this.report(machine, []);
    return machine;
  }

  report(
    machine: Machine,
    tasks: Partial<TaskReport>[],
    changes: Partial<Report> = {},
    from: Source = 'follow',
  ): boolean {
    const full = tasks.map((t) => ({
      task: 'wk-1/0',
      attempt: 1,
      state: 'running' as const,
      cause: null,
      saved: false,
      ...t,
    }));
    const report: Report = {
      machine: machine.name,
      address: '127.0.0.1:1',
      type: 'm8',
      zone: 'a',
      spot: false,
      session: this.session,
      tick: ++this.tick,
      token: TOKEN,
      warning: null,
      tasks: full,
      ...changes,
    };
    return this.part.reports.apply(machine, report, this.now, from) !== 'older';
  }

  chunk(changes: Partial<JobSpec> = {}): Chunk {
    const s = spec({ tasks: 1, ...changes });
    const chunk = new Chunk(s, 0, 'p', this.now, 0, s.tasks, null, this.now);
    this.part.accept(chunk, this.now);
    return chunk;
  }

  decide(): void {
    this.part.scheduler.decide(this.now, () => false);
  }

  /** As if every change had been stored. */
  store(...chunks: Chunk[]): void {
    for (const chunk of chunks) chunk.stored = chunk.version;
  }

  verbs(machine: Machine): string[] {
    return machine.orders(true, this.now, 4).map((o) => `${o.verb} ${o.task} ${o.attempt}`);
  }
}

test('a start goes out only after its placement is stored, and only while it may', () => {
  const b = new Bench();
  const machine = b.machine();
  const chunk = b.chunk();
  b.decide();
  assert.deepEqual(b.verbs(machine), []);
  b.store(chunk);
  assert.deepEqual(machine.orders(false, b.now, 4), []);
  assert.deepEqual(b.verbs(machine), ['start wk-1/0 1']);
});

test('done is stored before it is reaped', () => {
  const b = new Bench();
  const machine = b.machine();
  const chunk = b.chunk();
  b.decide();
  b.store(chunk);
  b.report(machine, [{}]);
  b.report(machine, [{ state: 'ended', cause: 'done' }]);
  assert.ok(chunk.complete);
  assert.deepEqual(b.verbs(machine), []);
  b.store(chunk);
  assert.deepEqual(b.verbs(machine), ['reap wk-1/0 1']);
});

test('older reports change nothing', () => {
  const b = new Bench();
  const machine = b.machine();
  const chunk = b.chunk();
  b.decide();
  b.store(chunk);
  b.report(machine, [{}], { tick: 50 });
  assert.equal(b.report(machine, [], { tick: 49 }), false);
  assert.equal(b.report(machine, [], { tick: 90, session: 0 }), false);
  assert.equal(chunk.entries.size, 1);
});

const ends: {
  name: string;
  seen: boolean;
  doubt: number | null;
  report: Partial<Report>;
  over: boolean;
}[] = [
  { name: 'seen, now absent', seen: true, doubt: null, report: {}, over: true },
  {
    name: 'never seen, nothing in doubt: still wanted',
    seen: false,
    doubt: null,
    report: {},
    over: false,
  },
  {
    name: 'seen, absent, but a copy of the start is in doubt',
    seen: true,
    doubt: TOKEN,
    report: {},
    over: false,
  },
  {
    name: 'the worker has shown a higher token',
    seen: true,
    doubt: TOKEN,
    report: { token: TOKEN + 1 },
    over: true,
  },
  {
    name: 'a new session ends everything',
    seen: false,
    doubt: TOKEN,
    report: { session: 2 },
    over: true,
  },
];

for (const { name, seen, doubt, report, over } of ends) {
  test(`whether an attempt is over: ${name}`, () => {
    const b = new Bench();
    const machine = b.machine();
    const chunk = b.chunk();
    b.decide();
    b.store(chunk);
    if (seen) b.report(machine, [{}]);
    const entry = chunk.entries.get(0);
    assert.ok(entry);
    entry.doubt = doubt;
    b.report(machine, [], report);
    assert.equal(chunk.entries.size, over ? 0 : 1);
    if (over) {
      b.decide();
      assert.equal(chunk.entries.get(0)?.attempt, 2, 'attempts only rise');
    }
  });
}

test('a start in doubt is neither reaped nor given up when its job is cancelled', () => {
  const b = new Bench();
  const machine = b.machine();
  const chunk = b.chunk();
  b.decide();
  b.store(chunk);
  const entry = chunk.entries.get(0);
  assert.ok(entry);
  entry.doubt = TOKEN;
  b.part.cancel(chunk, b.now);
  b.report(machine, []);
  assert.equal(chunk.entries.size, 1, 'it may still be carried out');
  b.report(machine, [{}]);
  assert.deepEqual(b.verbs(machine), ['halt wk-1/0 1']);
  b.report(machine, [{ state: 'ended', cause: 'halted' }]);
  assert.deepEqual(b.verbs(machine), [], 'a late copy of the start would run it once more');
  b.report(machine, [{ state: 'ended', cause: 'halted' }], { token: TOKEN + 1 });
  b.store(chunk);
  assert.deepEqual(b.verbs(machine), ['reap wk-1/0 1']);
});

test('after a takeover, what the last owner started is settled by our token', () => {
  const cases: [string, Partial<TaskReport>[], Partial<Report>, number][] = [
    ['it runs: kept', [{}], { token: 3 }, 1],
    ['absent, our token not seen: kept', [], { token: 3 }, 1],
    ['absent after our token: started anew', [], { token: TOKEN }, 0],
  ];
  for (const [name, tasks, report, left] of cases) {
    const b = new Bench();
    const machine = b.machine('n-1', false);
    const record = {
      spec: spec({ tasks: 1 }),
      home: 'p',
      at: 1,
      from: 0,
      to: 1,
      zone: null,
      next: 2,
      done: [],
      entries: [{ task: 0, attempt: 1, machine: 'n-1', session: 1 }],
      moves: 0,
    };
    const chunk = b.part.loadChunk(0, record, TOKEN, b.now);
    // The entry was stored before it was sent, but whether it was sent nobody knows.
    b.report(machine, tasks, report);
    const entry = chunk.entries.get(0);
    if (left === 0 && entry !== undefined) {
      assert.equal(entry.doubt, null, name);
      assert.deepEqual(b.verbs(machine), ['start wk-1/0 1'], name);
    } else assert.equal(chunk.entries.size, left, name);
  }
});

test('a silent machine keeps its tasks until nobody can have renewed its lease', () => {
  const b = new Bench();
  const machine = b.machine();
  const chunk = b.chunk();
  b.decide();
  b.store(chunk);
  b.report(machine, [{}]);
  machine.renewed = b.now;
  b.part.liveness.sweep(b.now + 18);
  assert.equal(chunk.entries.size, 1);
  b.part.liveness.sweep(b.now + 20);
  assert.equal(chunk.entries.size, 0);
});

test('a machine that is known to be gone frees its tasks at once', () => {
  const b = new Bench();
  b.machine();
  const chunk = b.chunk();
  b.decide();
  b.part.removeMachine('n-1', b.now);
  assert.equal(chunk.entries.size, 0);
});

test('a job that fails everywhere does not take the machines with it, nor a machine the jobs', () => {
  const b = new Bench();
  const machines = [1, 2, 3, 4].map((n) => b.machine(`n-${n}`));
  const chunk = b.chunk();
  for (let i = 0; i < 3; i++) {
    b.now += 100;
    b.decide();
    b.store(chunk);
    const entry = chunk.entries.get(0);
    assert.ok(entry, `try ${i}`);
    const machine = b.part.machines.get(entry.machine);
    assert.ok(machine);
    b.report(machine, [{ attempt: entry.attempt, state: 'ended', cause: 'error' }]);
  }
  assert.equal(chunk.failedOn.size, 3, 'each try on another machine');
  assert.ok(machines.every((m) => m.usable(b.now)));
  assert.ok(chunk.notBefore > b.now, 'the job waits before its next try');

  const c = new Bench();
  const faulty = c.machine();
  for (const id of ['wk-1', 'wk-2']) {
    const failing = c.chunk({ id });
    c.decide();
    c.store(failing);
    c.report(faulty, [{ task: `${id}/0`, state: 'ended', cause: 'error' }]);
  }
  assert.ok(!faulty.usable(c.now), 'two jobs failed on it');
});

test('rank before arrival; a live service stops batch work, batch work stops nothing', () => {
  const b = new Bench();
  const machine = b.machine();
  const batch = b.chunk({ id: 'wk-1', cpus: 8 });
  b.decide();
  b.store(batch);
  b.report(machine, [{}]);
  b.now++;
  const other = b.chunk({ id: 'wk-2', cpus: 8 });
  b.decide();
  assert.deepEqual(b.verbs(machine), []);
  const live = b.chunk({ id: 'wk-3', rank: 'prod', service: true });
  b.decide();
  assert.deepEqual(b.verbs(machine), ['halt wk-1/0 1']);
  b.report(machine, [{ state: 'ended', cause: 'halted' }]);
  b.decide();
  assert.equal(live.entries.size, 1);
  assert.equal(other.entries.size + batch.entries.size, 0, 'no room beside the service');
});

test('later work fills in, but not on the machine kept for the first that waits', () => {
  const b = new Bench();
  const first = b.machine('n-1');
  b.machine('n-2');
  const running = b.chunk({ id: 'wk-1', cpus: 6, tasks: 2 });
  b.decide();
  b.store(running);
  b.report(first, [{ task: 'wk-1/0', attempt: 1 }]);
  b.now++;
  const large = b.chunk({ id: 'wk-2', cpus: 8 });
  b.now++;
  const long = b.chunk({ id: 'wk-3', cpus: 2, tasks: 2, expect: 500 });
  b.decide();
  assert.equal(large.entries.size, 0);
  assert.equal(long.entries.size, 1, 'one of two: the other machine is kept');
});

test('a round that runs out of time goes on where it stopped', () => {
  const b = new Bench();
  for (let n = 0; n < 4; n++) b.machine(`n-${n}`);
  const chunks = [1, 2, 3].map((n) => b.chunk({ id: `wk-${n}` }));
  let looks = 0;
  b.part.scheduler.decide(b.now, () => ++looks > 1);
  assert.deepEqual(
    chunks.map((c) => c.entries.size),
    [1, 0, 0],
  );
  b.decide();
  assert.deepEqual(
    chunks.map((c) => c.entries.size),
    [1, 1, 1],
  );
});

test('a notice stops replicas and lets checkpoints be saved in time', () => {
  const cases: [string, Partial<JobSpec>, number, string[]][] = [
    ['a replica moves at once', { service: true, rank: 'prod' }, 60, ['halt wk-1/0 1']],
    ['a checkpoint waits for the last moment', { checkpoint: 30, save: 4 }, 60, []],
    ['and is saved then', { checkpoint: 30, save: 4 }, 9, ['halt wk-1/0 1']],
    ['without one the task may still be done', {}, 9, []],
  ];
  for (const [name, changes, warning, orders] of cases) {
    const b = new Bench();
    const machine = b.machine();
    const chunk = b.chunk(changes);
    b.decide();
    b.store(chunk);
    b.report(machine, [{}]);
    b.report(machine, [{}], { warning });
    assert.deepEqual(b.verbs(machine), orders, name);
    assert.ok(!machine.usable(b.now), name);
  }
});

test('machines loaded before the types are known get work once they are', () => {
  const b = new Bench();
  b.types = new Map();
  b.machine();
  const chunk = b.chunk();
  b.decide();
  assert.equal(chunk.entries.size, 0);
  b.types = new Map([['m8', m8]]);
  b.decide();
  assert.equal(chunk.entries.size, 1);
});

test('a silent machine is lost only while others answer', () => {
  const cases: [string, 'answers' | 'silent' | 'none', number, string[]][] = [
    ['the others answer', 'answers', 4, ['n-1']],
    ['nobody answers: the fault is ours', 'silent', 4, []],
    ['there is no other: only after three reports', 'none', 4, []],
    ['there is no other, and it is long silent', 'none', 10, ['n-1']],
  ];
  for (const [name, others, seconds, lost] of cases) {
    const b = new Bench();
    const machine = b.machine('n-1');
    const rest = others === 'none' ? [] : ['n-2', 'n-3'].map((n) => b.machine(n));
    b.now += 1;
    for (const m of [machine, ...(others === 'silent' ? rest : [])]) {
      m.missed = 2;
      m.missedSince = b.now;
    }
    b.now += 1;
    if (others === 'answers') for (const m of rest) b.report(m, []);
    b.now += seconds - 2;
    assert.deepEqual(
      b.part.liveness.lostMachines(b.now, () => 30, 1000),
      lost,
      name,
    );
  }
});

test('machines that never come up are given back, but not right after a takeover', () => {
  const b = new Bench();
  b.machine('n-1', false);
  const boot = (): number => 30;
  assert.deepEqual(
    b.part.liveness.lostMachines(b.now + 5, boot, 1000),
    [],
    'its worker may be on its way',
  );
  assert.deepEqual(b.part.liveness.lostMachines(b.now + 20, boot, 50), [], 'it may still boot');
  assert.deepEqual(b.part.liveness.lostMachines(b.now + 20, boot, 60), ['n-1']);
});

test('a team gets its guarantee back from those who borrowed it, whatever their rank', () => {
  const cases: [string, number, number, string[]][] = [
    ['within its guarantee, the others beyond theirs', 4, 0, ['halt wk-1/1 2']],
    ['beyond its own guarantee', 1, 0, []],
    ['the others within theirs', 4, 8, []],
    ['its guarantee is used elsewhere', 2, 0, []],
  ];
  for (const [name, mine, theirs, orders] of cases) {
    const guarantee = (team: string): { cpus: number; gpus: number } => ({
      cpus: team === 'small' ? mine : theirs,
      gpus: 0,
    });
    const elsewhere = (team: string): { cpus: number; gpus: number } => ({
      cpus: team === 'small' && mine === 2 ? 2 : 0,
      gpus: 0,
    });
    const b = new Bench({ ...singlePartView, guarantee, usedElsewhere: elsewhere });
    const machine = b.machine();
    const large = b.chunk({ id: 'wk-1', team: 'large', rank: 'high', cpus: 4, tasks: 2 });
    b.decide();
    b.store(large);
    b.report(machine, [{ task: 'wk-1/0', attempt: 1 }]);
    b.now += 5;
    b.report(machine, [
      { task: 'wk-1/0', attempt: 1 },
      { task: 'wk-1/1', attempt: 2 },
    ]);
    b.chunk({ id: 'wk-2', team: 'small', rank: 'idle' });
    b.decide();
    assert.deepEqual(b.verbs(machine), orders, name);
  }
});

test('a replica goes where its image is, and batch work makes room for it there', () => {
  const b = new Bench();
  const warm = b.machine('n-1');
  warm.noteImage('live', 1);
  const batch = b.chunk({ id: 'wk-1', cpus: 8 });
  b.decide();
  b.store(batch);
  b.report(warm, [{}]);
  const cold = b.machine('n-2');
  const live = b.chunk({ id: 'wk-2', rank: 'prod', service: true, image: 'live' });
  b.decide();
  assert.equal(live.entries.size, 0);
  assert.deepEqual(b.verbs(warm), ['halt wk-1/0 1']);
  b.report(warm, [{ state: 'ended', cause: 'halted' }]);
  b.decide();
  assert.equal(live.entries.get(0)?.machine, 'n-1');
  const other = b.chunk({ id: 'wk-3', rank: 'prod', service: true, image: 'unheard of' });
  b.decide();
  assert.equal(other.entries.size, 1, 'nobody has its image: any machine will do');
  assert.ok(cold.up);
});

test('a gang starts whole, and goes back whole when one of it is lost', () => {
  const b = new Bench();
  const first = b.machine('n-1');
  const gang = b.chunk({ gang: true, tasks: 6, cpus: 2 });
  b.decide();
  assert.equal(gang.entries.size, 0, 'four of six fit');
  const second = b.machine('n-2');
  b.decide();
  assert.equal(gang.entries.size, 6);
  const attempts = new Set([...gang.entries.values()].map((e) => e.attempt));
  assert.equal(attempts.size, 1, 'its tasks know each other by a common attempt');
  b.store(gang);
  const on = (m: Machine): Partial<TaskReport>[] =>
    [...gang.entries.values()]
      .filter((e) => e.machine === m.name)
      .map((e) => ({ task: `wk-1/${e.task}`, attempt: e.attempt }));
  b.report(first, on(first));
  b.report(second, on(second));
  const [lost, ...rest] = on(first);
  b.report(first, [{ ...lost, state: 'ended', cause: 'error' }, ...rest]);
  const halts = [...b.verbs(first), ...b.verbs(second)].filter((v) => v.startsWith('halt'));
  assert.equal(halts.length, 5);
  b.now += 100;
  b.decide();
  assert.equal(gang.entries.size, 5, 'nothing starts before all are over');
});

test('after a restart a silent machine is lost too, but not when all are silent', () => {
  const setUp = (othersAnswer: boolean): string[] => {
    const b = new Bench();
    const machine = b.machine('n-1', false);
    const rest = ['n-2', 'n-3'].map((n) => b.machine(n, false));
    for (const m of othersAnswer ? [machine] : [machine, ...rest]) {
      m.missed = 3;
      m.missedSince = b.now;
    }
    b.now += 12;
    if (othersAnswer) for (const m of rest) b.report(m, []);
    return b.part.liveness.lostMachines(b.now, () => 30, 100);
  };
  assert.deepEqual(setUp(true), ['n-1']);
  assert.deepEqual(setUp(false), [], 'the fault is ours');
});

test('a machine that its last owner may still answer is not lost for being out of our reach', () => {
  const b = new Bench();
  const record = { part: 'p', type: 'm8', zone: 'a', spot: false, at: 0, address: '127.0.0.1:1' };
  const adopted = b.part.addMachine('n-1', record, b.now, b.now + 36);
  const other = b.machine('n-2', false);
  adopted.missed = 3;
  adopted.missedSince = b.now;
  b.now += 12;
  b.report(other, []);
  assert.deepEqual(
    b.part.liveness.lostMachines(b.now, () => 30, 100),
    [],
  );
  assert.deepEqual(
    b.part.liveness.lostMachines(b.now + 30, () => 30, 100),
    ['n-1'],
  );
});

const unreached: { name: string; strike: (b: Bench, m: Machine) => void; takesWork: boolean }[] = [
  {
    name: 'its reports arrive, but it answers no question',
    strike: (b, m) => {
      m.missed = 2;
      m.missedSince = b.now;
      b.report(m, [], {}, 'report');
    },
    takesWork: false,
  },
  {
    name: 'then it answers one',
    strike: (b, m) => {
      m.missed = 2;
      m.missedSince = b.now;
      b.report(m, [], {}, 'report');
      b.report(m, [], {}, 'answer');
    },
    takesWork: true,
  },
  {
    name: 'then a report follows an answer of ours',
    strike: (b, m) => {
      m.missed = 2;
      m.missedSince = b.now;
      b.report(m, [], {}, 'follow');
    },
    takesWork: true,
  },
  {
    name: 'it was lost, and a late copy comes',
    strike: (b, m) => {
      m.lost = true;
      b.report(m, [], {}, 'report');
    },
    takesWork: false,
  },
];
for (const { name, strike, takesWork } of unreached) {
  test(`being heard is not being reachable: ${name}`, () => {
    const b = new Bench();
    const machine = b.machine();
    strike(b, machine);
    const chunk = b.chunk();
    b.decide();
    assert.equal(chunk.entries.size, takesWork ? 1 : 0);
    assert.equal(machine.usable(b.now), takesWork);
  });
}

test('a machine that reports but answers nothing is returned, and its replicas go elsewhere', () => {
  const b = new Bench();
  const machine = b.machine();
  const chunk = b.chunk({ service: true, rank: 'prod' });
  b.decide();
  b.store(chunk);
  b.report(machine, [{}]);
  const other = b.machine('n-2');
  const since = b.now;
  for (let n = 0; n < 3; n++) {
    b.now += 3;
    machine.missed++;
    machine.missedSince ??= since + 1;
    b.report(machine, [{}], {}, 'report');
    b.report(other, []);
  }
  assert.deepEqual(
    b.part.liveness.lostMachines(b.now, () => 30, 1000),
    ['n-1'],
  );
  b.decide();
  assert.equal(chunk.entries.get(0)?.machine, 'n-1', 'its attempt is not known to be over yet');
  b.part.removeMachine('n-1', b.now);
  b.decide();
  assert.equal(chunk.entries.get(0)?.machine, 'n-2');
});

const copies: { name: string; copy: Partial<Report>; tasks: Partial<TaskReport>[] }[] = [
  { name: 'from before the start', copy: { token: 1 }, tasks: [] },
  { name: 'of an earlier session', copy: { session: 0, token: 1 }, tasks: [] },
  {
    name: 'of an earlier attempt that ended',
    copy: { token: 1 },
    tasks: [{ attempt: 0, state: 'ended', cause: 'error' }],
  },
  { name: 'while it was fetching', copy: { token: 1 }, tasks: [{ state: 'fetching' }] },
];
for (const { name, copy, tasks } of copies) {
  test(`a late copy at a node that has just adopted the part ends nothing: ${name}`, () => {
    const b = new Bench();
    const record = { part: 'p', type: 'm8', zone: 'a', spot: false, at: 0, address: '127.0.0.1:1' };
    const machine = b.part.addMachine('n-1', record, b.now, b.now + 36);
    const chunk = b.part.loadChunk(
      0,
      {
        spec: spec({ tasks: 1 }),
        home: 'p',
        at: 0,
        from: 0,
        to: 1,
        zone: null,
        next: 2,
        done: [],
        entries: [{ task: 0, attempt: 1, machine: 'n-1', session: 1 }],
        moves: 0,
      },
      TOKEN,
      b.now,
    );
    b.report(machine, tasks, { tick: 3, address: '127.0.0.9:9', ...copy }, 'report');
    assert.equal(chunk.entries.get(0)?.attempt, 1, 'the attempt in doubt was given up');
    assert.equal(machine.address, '127.0.0.1:1', 'the copy moved its address');
    assert.equal(machine.up, false, 'the copy made it look alive');
    b.decide();
    assert.equal(chunk.next, 2);
    // Nor does it stand in the way of what the worker itself says next.
    b.report(machine, [{}], { tick: 40 }, 'answer');
    assert.equal(machine.up, true);
    assert.equal(chunk.entries.get(0)?.state, 'running');
  });
}

test('a large task begins although smaller work goes on arriving', () => {
  const b = new Bench();
  const machines = [b.machine('n-1'), b.machine('n-2')];
  const running = new Map<string, { machine: Machine; chunk: Chunk; ends: number }>();
  let large: Chunk | null = null;
  let began: number | null = null;
  for (let step = 0; step < 120 && began === null; step++) {
    b.now += 1;
    // As much as the machines can do, so that room for one small task is all that ever comes free.
    if (step < 8 || step % 5 < 2) b.chunk({ id: `wk-s${step}`, cpus: 2, expect: 20 });
    if (step === 30) large = b.chunk({ id: 'wk-large', cpus: 8, expect: 20 });
    for (const [task, { machine, chunk, ends }] of running) {
      if (ends > b.now) continue;
      running.delete(task);
      const entry = [...chunk.entries.values()][0];
      const rest = [...running].filter(([, r]) => r.machine === machine);
      b.report(machine, [
        { task, attempt: entry?.attempt ?? 1, state: 'ended', cause: 'done' },
        ...rest.map(([t]) => ({ task: t })),
      ]);
    }
    b.decide();
    for (const machine of machines) {
      for (const [task, { chunk }] of machine.entries) {
        if (running.has(task)) continue;
        running.set(task, { machine, chunk, ends: b.now + 20 });
        if (chunk === large) began = step;
      }
      const here = [...running].filter(([, r]) => r.machine === machine);
      b.report(
        machine,
        here.map(([task]) => ({ task })),
      );
    }
  }
  assert.ok(began !== null && began <= 30 + 30, `it began at ${began}`);
});

test('at its limit a team is served in order, here and across parts', () => {
  let allowance = 4;
  let starved: { team: string; at: number; rank: number } | null = null;
  const b = new Bench({
    ...singlePartView,
    allowance: () => ({ cpus: allowance, gpus: Infinity }),
    starvedElsewhere: () => starved,
  });
  b.machine('n-1');
  b.machine('n-2');
  const small = b.chunk({ id: 'wk-1', cpus: 2 });
  b.decide();
  b.now += 1;
  const large = b.chunk({ id: 'wk-2', cpus: 4 });
  b.now += 1;
  const later = b.chunk({ id: 'wk-3', cpus: 2 });
  b.decide();
  assert.deepEqual(
    [small, large, later].map((c) => c.entries.size),
    [1, 0, 0],
  );
  assert.equal(b.part.scheduler.starving.size, 0, 'it has not waited for long');
  b.now += 10;
  b.decide();
  assert.equal(b.part.scheduler.starving.get('crew')?.at, large.at);
  allowance = 8;
  b.decide();
  assert.deepEqual(
    [small, large, later].map((c) => c.entries.size),
    [1, 1, 1],
  );
  // Another part's job of the team has waited for longer: what is younger here lets it go first.
  starved = { team: 'crew', at: b.now, rank: 1 };
  b.now += 1;
  const younger = b.chunk({ id: 'wk-4', cpus: 2 });
  allowance = 100;
  b.decide();
  assert.equal(younger.entries.size, 0);
  assert.equal(
    b.part.scheduler.wanted('crew').cpus,
    0,
    'it keeps the share that the other waits for',
  );
  starved = null;
  b.decide();
  assert.equal(younger.entries.size, 1);
});

test('a chunk that its home has counted as over is not run again by an adopter', () => {
  const b = new Bench();
  const machine = b.machine();
  const chunk = b.chunk({ tasks: 2 });
  b.decide();
  b.store(chunk);
  b.report(machine, [{}]);
  b.part.overtake(chunk, b.now);
  assert.deepEqual(b.verbs(machine), ['halt wk-1/0 1']);
  b.report(machine, [{ state: 'ended', cause: 'halted' }]);
  b.decide();
  assert.equal(chunk.entries.size, 0);
  assert.ok(b.part.settled.has(chunk));
});

/** Each look at a machine's size asks for its type, so the questions count the visits. */
const rounds: { name: string; most: number; play: (part: Part, now: number) => void }[] = [
  {
    name: 'a round of decisions',
    most: 12,
    play: (p, now) => p.scheduler.decide(now, () => false),
  },
  { name: 'what may be returned', most: 12, play: (p, now) => void p.needs.spare(now, 1) },
  { name: 'what is asked for', most: 12, play: (p, now) => void p.needs.demands(now) },
  {
    name: 'a peer that asks for the wait',
    most: 12,
    play: (p, now) => {
      const asked = spec({ tasks: 20 });
      p.estimates.waitFor({ spec: asked, zone: null, count: 20, run: 20 }, now);
    },
  },
];
for (const { name, most, play } of rounds) {
  for (const waiting of [0, 300]) {
    test(`2,000 machines, ${waiting} waiting jobs: visits grow with machines plus jobs: ${name}`, () => {
      const b = new Bench();
      for (let i = 0; i < 2000; i++) {
        const machine = b.machine(`n-${i}`);
        machine.idleSince = b.now - 1000;
      }
      for (let i = 0; i < waiting; i++) {
        const s = spec({ id: `wk-${i}`, tasks: 40, cpus: 4, image: `img-${i % 12}` });
        b.part.accept(new Chunk(s, 0, 'p', b.now, 0, 40, null, b.now), b.now);
      }
      b.decide();
      b.now += 1;
      let visits = 0;
      const types = new Map(b.types);
      const counted = {
        get: (key: string) => {
          visits++;
          return types.get(key);
        },
        values: () => types.values(),
      };
      b.types = counted as unknown as Map<string, MachineType>;
      play(b.part, b.now);
      assert.ok(visits <= most * (2000 + waiting), `${visits} visits`);
    });
  }
}

const backlogs: { name: string; tasks: number; service?: boolean; pressing: boolean }[] = [
  // 8 processors: 4 tasks of 20 s at once. Objectives of 60 s and 120 s, half of each for the wait.
  { name: 'more than the first objective allows, less than the last', tasks: 12, pressing: false },
  { name: 'the last objective is at risk', tasks: 80, pressing: true },
  { name: 'replicas do not go by it', tasks: 80, service: true, pressing: false },
];
for (const { name, tasks, service = false, pressing } of backlogs) {
  test(`machines at full price for batch work: ${name}`, () => {
    const b = new Bench();
    b.machine();
    b.chunk({ tasks, service, expect: service ? 0 : 20 });
    b.decide();
    const demands = b.part.needs.demands(b.now);
    assert.equal(
      demands.some((d) => d.pressing > 0),
      pressing,
    );
    // Never for more than what could not be through in time.
    for (const d of demands) assert.ok(d.pressing < d.count || d.count === 0);
  });
}

test('when a cut ends, those that have not been asked since are not lost', () => {
  const b = new Bench();
  const machines = [1, 2, 3, 4].map((n) => b.machine(`n-${n}`));
  const lost = (): string[] => b.part.liveness.lostMachines(b.now, () => 30, 1000);
  for (const machine of machines) {
    machine.missed = 3;
    machine.missedSince = machine.askedAt = b.now + 1;
  }
  b.now += 20;
  assert.deepEqual(lost(), []);
  b.now += 1;
  for (const machine of machines.slice(1)) b.report(machine, [], {}, 'answer');
  assert.deepEqual(lost(), [], 'it was last asked during the cut');
  const [silent] = machines;
  if (silent === undefined) throw new Error('no machine');
  silent.askedAt = b.now + 1;
  b.now += 3;
  assert.deepEqual(lost(), ['n-1']);
});

test('what its user has asked to cancel starts nothing, and ends with every answer, until it is resumed', () => {
  const b = new Bench();
  const machine = b.machine();
  const other = b.machine('n-2');
  const [runs, waits] = [b.chunk({ id: 'wk-1' }), b.chunk({ id: 'wk-2', cpus: 8 })];
  b.decide();
  b.store(runs, waits);
  const on = runs.entries.get(0)?.machine === machine.name ? machine : other;
  b.report(on, [{}]);
  assert.deepEqual(on.endings(), []);
  b.part.prepareCancel(runs, b.now);
  b.part.prepareCancel(waits, b.now);
  const halt = { verb: 'halt', task: 'wk-1/0', attempt: 1, wind: 0 };
  // With every answer: one of them may be lost, and the next would renew the lease.
  assert.deepEqual([on.endings(), on.endings()], [[halt], [halt]]);
  assert.deepEqual(waits.entries.size, 0, 'its start was never sent, so nothing can come of it');
  b.report(on, [{ state: 'ended', cause: 'halted' }]);
  b.decide();
  assert.deepEqual([runs.entries.size, waits.entries.size], [0, 0]);
  b.part.resume(runs);
  b.part.resume(waits);
  b.decide();
  assert.deepEqual([runs.entries.size, waits.entries.size], [1, 1]);
});

const silences: { name: string; report: boolean; after: number; used: boolean }[] = [
  { name: 'it reports', report: true, after: 4, used: true },
  { name: 'its reports are overdue', report: true, after: 8, used: true },
  { name: 'it has not reported for half of its lease', report: true, after: 10, used: false },
  { name: 'it answers, but has never reported', report: false, after: 10, used: false },
];
for (const { name, report, after, used } of silences) {
  // Answers do not renew a lease: what starts there would be killed again and again.
  test(`a machine that answers questions is given work: ${name}`, () => {
    const b = new Bench();
    const machine = b.machine('n-1', false);
    b.report(machine, [], {}, report ? 'follow' : 'answer');
    b.now += after;
    b.report(machine, [], {}, 'answer');
    b.part.liveness.sweep(b.now);
    const chunk = b.chunk();
    b.decide();
    assert.equal(chunk.entries.size, used ? 1 : 0);
  });
}

test('a report that says nothing new is known as such: nothing is decided anew for it', () => {
  const b = new Bench();
  const machine = b.machine('n-1', false);
  const chunk = b.chunk();
  const task = { task: 'wk-1/0', attempt: 1, cause: null, saved: false };
  const report = {
    ...{ machine: 'n-1', address: '127.0.0.1:1', type: 'm8', zone: 'a', spot: false },
    ...{ session: 1, token: TOKEN, warning: null as number | null },
  };
  const told: [string, number, 'fetching' | 'running' | null, number | null, string][] = [
    ['the first one: there is room now', 1, null, null, 'news'],
    ['a copy of it', 1, null, null, 'older'],
    ['the next, the same', 2, null, null, 'as before'],
    ['a task has come', 3, 'fetching', null, 'news'],
    ['it is still there', 4, 'fetching', null, 'as before'],
    ['it runs', 5, 'running', null, 'news'],
    ['the machine will be taken', 6, 'running', 9, 'news'],
    ['it still will', 7, 'running', 5, 'as before'],
    ['the task has gone', 8, null, 1, 'news'],
  ];
  for (const [name, tick, state, warning, says] of told) {
    const tasks = state === null ? [] : [{ ...task, state }];
    assert.equal(
      b.part.reports.apply(machine, { ...report, tick, warning, tasks }, b.now, 'follow'),
      says,
      name,
    );
    if (tick === 2) {
      b.decide();
      b.store(chunk);
    }
  }
});

test('a machine that comes up long after it was rented is given work at once', () => {
  const b = new Bench();
  const machine = b.machine('n-1', false);
  b.now += 60;
  b.part.liveness.sweep(b.now);
  const chunk = b.chunk();
  b.report(machine, []);
  b.decide();
  assert.equal(chunk.entries.size, 1);
});
