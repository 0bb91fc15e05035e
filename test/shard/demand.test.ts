/** Demands for machines: room counts only for work that may use it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Chunk } from '../../src/coordination/model/chunk.js';
import { WaitCheck } from '../../src/coordination/shard/waitCheck.js';
import type { Machine } from '../../src/coordination/model/machine.js';
import type { Demand } from '../../src/protocol/peerMessages.js';
import type { JobSpec } from '../../src/protocol/job.js';
import { m8 } from '../support/emptyShard.js';
import { ShardFixture } from '../support/shardFixture.js';

/** Machine types besides `m8`, which has 8 CPUs and 32 GB. */
const types = {
  large: { ...m8, name: 'large', cpus: 64, memoryGb: 512 },
  gpu: { ...m8, name: 'gpu', gpus: 2 },
  lean: { ...m8, name: 'lean', cpus: 64, memoryGb: 16 },
};

type Kind = Partial<Pick<Machine, 'type' | 'zone' | 'spot'>>;

class DemandFixture extends ShardFixture {
  constructor() {
    super();
    for (const type of Object.values(types)) this.machineTypes.set(type.name, type);
  }

  /** Adds a machine that is up. */
  addKind(name: string, kind: Kind = {}): Machine {
    const description = { type: 'm8', zone: 'a', spot: false, ...kind };
    const record = { shard: 'p', launchedAt: 0, ...description };
    const machine = this.shard.addMachine(name, record, this.now);
    this.applyHeartbeat(machine, [], description);
    return machine;
  }

  /** Fills a machine with a live service that leaves no room there, and nothing elsewhere. */
  holdByService(name: string, changes: Partial<JobSpec> = {}): void {
    this.addKind(name);
    const service = { id: `wk-9${name}`, isService: true, rank: 'prod' as const, cpus: 8 };
    this.addChunk({ ...service, memoryGb: 32, ...changes });
    this.runSchedulingRound();
    assert.equal(this.shard.waitingTaskCount, 0);
  }

  /** Starts a batch task that takes all of a machine, `age` seconds ago. */
  holdByTask(name: string, expectedRunSeconds: number, age: number): void {
    this.addKind(name);
    const chunk = this.addChunk({ id: `wk-8${name}`, cpus: 8, expectedRunSeconds });
    this.runSchedulingRound();
    for (const attempt of chunk.attempts.values()) attempt.runningSince = this.now - age;
  }

  /** Queues a job that finds no room, and returns the demands for it. */
  demandsFor(changes: Partial<JobSpec>): Demand[] {
    const chunk: Chunk = this.addChunk({ id: 'wk-1', taskCount: 2, cpus: 4, ...changes });
    this.runSchedulingRound();
    assert.equal(chunk.pendingCount, chunk.size, 'no machine has room for it');
    return this.shard.demand.demands(this.now).filter((demand) => !demand.isService);
  }
}

// Guards against an array that waits for ever: free CPUs of machines that it may not use, or that it does not fit, hid its demand.
const unusable: { name: string; kind: Kind; job: Partial<JobSpec> }[] = [
  { name: 'of another type', kind: { type: 'large' }, job: { machineTypes: ['m8'] } },
  { name: 'in another zone', kind: { type: 'large', zone: 'b' }, job: { zone: 'a' } },
  { name: 'of another kind', kind: { type: 'large', spot: true }, job: { allowsSpot: false } },
  { name: 'without accelerators', kind: { type: 'large' }, job: { gpus: 1 } },
  { name: 'with too little memory', kind: { type: 'lean' }, job: { memoryGb: 30 } },
];
for (const { name, kind, job } of unusable) {
  test(`a machine is demanded for an array that waits for one that a service keeps, beside idle ones ${name}`, () => {
    const fixture = new DemandFixture();
    const { gpus = 0, memoryGb = 4 } = job;
    // The only machine that the array could use if it were idle.
    if (gpus > 0) fixture.machineTypes.set('m8', { ...m8, gpus });
    fixture.holdByService('n-1', { gpus });
    for (const n of [2, 3, 4]) fixture.addKind(`n-${n}`, kind);
    const demands = fixture.demandsFor({ ...job, memoryGb });
    assert.equal(demands.length, 1);
    assert.ok((demands[0]?.count ?? 0) > 0);
  });
}

test('a machine is demanded for an array beside idle machines whose tasks fill what a worker can report', () => {
  const fixture = new DemandFixture();
  fixture.machineTypes.set('m8', { ...m8, cpus: 64, memoryGb: 512 });
  const machine = fixture.addKind('n-1');
  fixture.addChunk({
    id: 'wk-9',
    isService: true,
    rank: 'prod',
    taskCount: 2000,
    cpus: 0.01,
    memoryGb: 0.01,
  });
  fixture.runSchedulingRound();
  assert.ok(machine.isReportFull);
  assert.ok(fixture.demandsFor({}).length > 0);
});

test('an on-demand machine is justified for work that may use spot machines, and that no present machine can run', () => {
  const fixture = new DemandFixture();
  fixture.holdByService('n-1');
  fixture.addKind('n-2', { type: 'large' });
  const [demand] = fixture.demandsFor({ machineTypes: ['m8'], allowsSpot: true });
  assert.ok((demand?.onDemandCount ?? 0) > 0);
});

const queues: { name: string; run: number; age: number; isDemanded: boolean }[] = [
  { name: 'a short task that ends before a boot', run: 20, age: 5, isDemanded: false },
  { name: 'a task that has long to go', run: 600, age: 5, isDemanded: true },
  { name: 'a task that should have ended long ago', run: 20, age: 600, isDemanded: true },
];
for (const { name, run, age, isDemanded } of queues) {
  test(`a machine is ${isDemanded ? '' : 'not '}demanded for a short queue behind ${name}`, () => {
    const fixture = new DemandFixture();
    fixture.holdByTask('n-1', run, age);
    fixture.addKind('n-2', { type: 'large' });
    const demands = fixture.demandsFor({ taskCount: 1, machineTypes: ['m8'] });
    assert.equal(demands.length > 0, isDemanded);
  });
}

// Guards against work that waits for ever without a trace: it counts as having room, and never gets it.
test('work is reported that waits without a demand for longer than a launch takes, until some of it is placed', () => {
  const fixture = new DemandFixture();
  const chunk = fixture.addChunk({ taskCount: 4 });
  const check = new WaitCheck('p');
  const isOverdue = (now: number, waiting: Chunk[] = [chunk]): boolean =>
    check.update(waiting, fixture.shard.chunks.values(), now, 80).size > 0;
  assert.ok(!isOverdue(0));
  assert.ok(!isOverdue(80));
  assert.ok(isOverdue(81));
  chunk.nextAttemptNumber++;
  assert.ok(!isOverdue(82), 'a task was placed');
  assert.ok(isOverdue(163));
  assert.ok(!isOverdue(164, []), 'a machine is demanded');
  assert.ok(!isOverdue(300));
});

test('replicas are bound to the shard in which others of their chunk run, which then cannot migrate', () => {
  const fixture = new DemandFixture();
  const service = { isService: true, rank: 'prod' as const, cpus: 4, taskCount: 3 };
  fixture.addChunk({ ...service, id: 'wk-1' });
  fixture.addChunk({ ...service, id: 'wk-2', memoryGb: 8 });
  const bound = (): number[] =>
    fixture.shard.demand.demands(fixture.now).map(({ boundCount }) => boundCount);
  assert.deepEqual(bound(), [0, 0]);
  fixture.addKind('n-1');
  fixture.runSchedulingRound();
  assert.deepEqual(bound(), [1, 0]);
});
