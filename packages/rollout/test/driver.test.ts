/** The rollout driver with simulated controllers: the concurrency limit holds despite crashes, pauses and several drivers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { DriverRefusedError } from '../src/driver/controllerApi.js';
import { RolloutDriver } from '../src/driver/driver.js';
import { pauseRollout } from '../src/driver/pauseRollout.js';
import type { DriverRecord } from '../src/driver/driverRecord.js';
import type { RolloutPlan } from '../src/driver/plan.js';
import { planFor, SimulatedControllers } from './support/simulatedControllers.js';

const labels = ['a', 'b', 'c'];

/** Longest simulated duration of a rollout in a test; a longer one is considered stuck. */
const MAX_DURATION_S = 100_000;

function createDriver(
  controllers: SimulatedControllers,
  holder: string,
  plan: RolloutPlan,
): RolloutDriver {
  return new RolloutDriver(plan, holder, {
    api: controllers,
    run: (command) => controllers.run(command),
    clock: { now: () => controllers.now, wall: () => controllers.now },
    sleep: (seconds) => {
      if (controllers.now > MAX_DURATION_S) throw new Error('the rollout does not end');
      controllers.advance(seconds);
      return Promise.resolve();
    },
    report: () => undefined,
  });
}

interface Fixture {
  controllers: SimulatedControllers;
  plan: RolloutPlan;
  driver: RolloutDriver;
}

function createFixture(changes: Record<string, string> = {}): Fixture {
  const controllers = new SimulatedControllers(labels);
  const plan = planFor(labels, changes);
  return { controllers, plan, driver: createDriver(controllers, 'first', plan) };
}

const versions = ({ controllers }: SimulatedControllers): string[] =>
  [...controllers.values()].map(({ version }) => version);

/** Executes driver steps until the record satisfies the predicate. */
async function stepUntil(
  { controllers, driver }: Fixture,
  isReached: (record: DriverRecord) => boolean,
): Promise<DriverRecord> {
  for (let i = 0; i < 300; i++) {
    const record = await driver.step();
    if (isReached(record)) return record;
    controllers.advance(1);
  }
  throw new Error('the expected state was not reached');
}

test('controllers are replaced in order, one at a time, while the level is held', async () => {
  const { controllers, driver } = createFixture();
  await driver.start();
  assert.deepEqual(controllers.held, ['rollout to-2.0']);
  const record = await driver.run();
  assert.equal(record.phase, 'done');
  assert.deepEqual(controllers.replaced, ['a 2.0', 'b 2.0', 'c 2.0']);
  assert.equal(controllers.maxUnavailable, 1);
  assert.deepEqual(controllers.held, []);
});

test('with a concurrency of two, at most two controllers are unavailable at a time', async () => {
  const { controllers, driver } = createFixture({ concurrency: '2' });
  await driver.start();
  assert.equal((await driver.run()).phase, 'done');
  assert.equal(controllers.maxUnavailable, 2);
});

test('with manual finalization the hold on the level remains after the rollout', async () => {
  const { controllers, driver } = createFixture({ finalize: 'manual' });
  await driver.start();
  await driver.run();
  assert.deepEqual(controllers.held, ['rollout to-2.0']);
});

interface Failure {
  name: string;
  changes?: Record<string, string>;
  prepare: (controllers: SimulatedControllers) => void;
  cause: RegExp;
  after: string[];
}

const failures: Failure[] = [
  {
    name: 'the command fails',
    prepare: (controllers) => {
      controllers.commandFails = true;
    },
    cause: /a: the command failed: no such host/,
    after: ['1.0', '1.0', '1.0'],
  },
  {
    name: 'the new version does not become ready',
    prepare: (controllers) => controllers.broken.add('2.0'),
    cause: /a: it is not ready after the start timeout/,
    after: ['2.0', '1.0', '1.0'],
  },
  {
    name: 'the new version loses live replicas',
    prepare: (controllers) => controllers.replicaLoss.set('2.0', 3),
    cause: /a: 27 of 30 live replicas are up after the start timeout/,
    after: ['2.0', '1.0', '1.0'],
  },
  {
    name: 'the controller does not relinquish its shard in time',
    changes: { 'drain.timeout': '1' },
    prepare: () => undefined,
    cause: /a: it still owns a after the drain timeout/,
    after: ['1.0', '1.0', '1.0'],
  },
  {
    name: 'the command starts another version than the plan specifies',
    changes: { command: 'replace {controller} 1.5' },
    prepare: () => undefined,
    cause: /a: it runs 1\.5 and not 2\.0 after the start timeout/,
    after: ['1.5', '1.0', '1.0'],
  },
];

for (const { name, changes, prepare, cause, after } of failures) {
  test(`${name}: the rollout pauses with the cause and replaces no other controller`, async () => {
    const { controllers, driver } = createFixture(changes);
    prepare(controllers);
    await driver.start();
    const record = await driver.run();
    assert.equal(record.phase, 'paused');
    assert.match(record.cause.text, cause);
    assert.deepEqual(versions(controllers), after);
  });
}

test('with on.failure = rollback, a controller that does not become ready again causes an automatic rollback', async () => {
  const { controllers, driver } = createFixture({ 'on.failure': 'rollback' });
  await driver.start();
  await stepUntil(
    { controllers, driver, plan: planFor(labels) },
    (r) => r.controllers['a'].state === 'settling',
  );
  controllers.broken.add('2.0');
  controllers.crash('a', 0);
  const record = await driver.run();
  assert.equal(record.phase, 'rolled-back');
  assert.deepEqual(versions(controllers), ['1.0', '1.0', '1.0']);
});

test('an operator can roll back after one, two or all three controllers were replaced', async () => {
  for (const count of [1, 2, 3]) {
    const fixture = createFixture();
    const { controllers, plan, driver } = fixture;
    await driver.start();
    const done = (record: DriverRecord): number =>
      Object.values(record.controllers).filter(({ state }) => state === 'done').length;
    const reached = await stepUntil(fixture, (record) => done(record) === count);
    // The next controller is already being drained; the rollback includes it, which ends the drain.
    const begun = labels.filter((label) => reached.controllers[label].state !== 'waiting');
    if (count < 3) await pauseRollout(controllers, 'it looks odd', controllers.now);
    const second = createDriver(controllers, 'second', plan);
    await second.rollBack();
    const record = await second.run();
    assert.equal(record.phase, 'rolled-back');
    assert.deepEqual(versions(controllers), ['1.0', '1.0', '1.0']);
    assert.equal(controllers.maxUnavailable, 1, `${count} replaced`);
    const forward = labels.slice(0, count).map((label) => `${label} 2.0`);
    const back = begun.reverse().map((label) => `${label} 1.0`);
    assert.deepEqual(controllers.replaced, [...forward, ...back]);
  }
});

test('a rollback is refused after the level has risen since the start of the rollout', async () => {
  const fixture = createFixture();
  const { controllers, plan, driver } = fixture;
  await driver.start();
  await stepUntil(fixture, (record) => record.controllers['a'].state === 'done');
  await pauseRollout(controllers, 'wait', controllers.now);
  controllers.clusterLevel = 3;
  await assert.rejects(
    createDriver(controllers, 'second', plan).rollBack(),
    /from level 2 to 3 since/,
  );
});

test('a second driver is refused while the first is active', async () => {
  const { controllers, plan, driver } = createFixture();
  await driver.start();
  await driver.step();
  const second = new RolloutDriver(plan, 'second', {
    api: controllers,
    run: () => Promise.reject(new Error('must not run')),
    clock: { now: () => controllers.now, wall: () => controllers.now },
    sleep: async (seconds) => {
      controllers.advance(seconds);
      await driver.step();
    },
    report: () => undefined,
  });
  await assert.rejects(second.start(), /another driver is at work: first/);
});

test('after a driver died at any step, another driver continues where it stopped', async () => {
  for (let steps = 1; steps < 40; steps += 3) {
    const { controllers, plan, driver } = createFixture();
    await driver.start();
    for (let i = 0; i < steps; i++) {
      await driver.step();
      controllers.advance(1);
    }
    const second = createDriver(controllers, 'second', plan);
    await second.start();
    const record = await second.run();
    assert.equal(record.phase, 'done', `died after ${steps} steps`);
    assert.deepEqual(versions(controllers), ['2.0', '2.0', '2.0']);
    assert.equal(controllers.maxUnavailable, 1, `died after ${steps} steps`);
    assert.equal(record.permit.token, 2);
  }
});

test('a driver that was paused until its permit was taken over makes no more replacements', async () => {
  const { controllers, plan, driver } = createFixture();
  await driver.start();
  await driver.step();
  const second = createDriver(controllers, 'second', plan);
  await second.start();
  const before = [...controllers.replaced];
  await assert.rejects(driver.run(), DriverRefusedError);
  assert.deepEqual(controllers.replaced, before);
  assert.equal((await second.run()).phase, 'done');
  assert.equal(controllers.maxUnavailable, 1);
});

test('a driver that is paused between storing a step and acting on it does not act', async () => {
  const { controllers, plan, driver } = createFixture({ drain: 'false' });
  await driver.start();
  const write = controllers.write.bind(controllers);
  controllers.write = async (revision, record) => {
    const outcome = await write(revision, record);
    controllers.advance(plan.permitTtl);
    return outcome;
  };
  await driver.step();
  assert.deepEqual(controllers.replaced, []);
});

test('while another controller is down no controller is replaced, and the reason is stored', async () => {
  const fixture = createFixture();
  const { controllers, driver } = fixture;
  await driver.start();
  await stepUntil(fixture, (record) => record.controllers['a'].state === 'settling');
  controllers.crash('c', null);
  for (let i = 0; i < 20; i++) await driver.step();
  assert.match(controllers.record?.cause.text ?? '', /a: c is not ready/);
  assert.deepEqual(controllers.replaced, ['a 2.0']);
  controllers.crash('c', 0);
  assert.equal((await driver.run()).phase, 'done');
});

test('lost responses of the store neither repeat nor skip a replacement', async () => {
  const fixture = createFixture();
  const { controllers, driver } = fixture;
  await driver.start();
  for (let i = 0; i < 200 && controllers.record?.phase === 'running'; i++) {
    if (i % 3 === 0) controllers.lostResponses = 1;
    await driver.step();
    controllers.advance(1);
  }
  assert.equal(controllers.record?.phase, 'done');
  assert.deepEqual(controllers.replaced, ['a 2.0', 'b 2.0', 'c 2.0']);
});

test('a rollout in progress is not continued with another plan', async () => {
  const { controllers, driver } = createFixture();
  await driver.start();
  await driver.step();
  const other = createDriver(controllers, 'second', planFor(labels, { version: '3.0' }));
  await assert.rejects(other.start(), /to-2\.0 is running with another plan/);
});

type Event = 'step' | 'crash' | 'new driver' | 'pause and resume';

test('with any sequence of crashes and new drivers, at most one controller is being replaced at a time', async () => {
  const event = fc.record({
    kind: fc.constantFrom<Event>(
      'step',
      'step',
      'step',
      'step',
      'crash',
      'new driver',
      'pause and resume',
    ),
    node: fc.nat(2),
  });
  const property = fc.asyncProperty(
    fc.array(event, { maxLength: 80, size: 'max' }),
    async (events) => {
      const { controllers, plan, driver: first } = createFixture();
      await first.start();
      let driver = first;
      let drivers = 1;
      const startsOf = (): number =>
        [...controllers.controllers.values()].reduce((n, c) => n + c.starts, 0);
      let crashes = 0;
      for (const { kind, node } of events) {
        if (kind === 'crash') {
          controllers.crash(labels[node], 3);
          crashes++;
        } else if (kind === 'new driver') {
          driver = createDriver(controllers, `driver-${++drivers}`, plan);
          await driver.start();
        } else if (kind === 'pause and resume' && controllers.record?.phase === 'running') {
          await pauseRollout(controllers, 'wait', controllers.now);
          driver = createDriver(controllers, `driver-${++drivers}`, plan);
          await driver.resume();
        } else await driver.step();
        const inProgress = Object.values(controllers.record?.controllers ?? {}).filter(
          ({ state }) => state !== 'waiting' && state !== 'done',
        );
        assert.ok(
          inProgress.length <= 1,
          'two replacements are in progress according to the record',
        );
        controllers.advance(1);
      }
      if (controllers.record?.phase === 'paused') {
        driver = createDriver(controllers, `driver-${++drivers}`, plan);
        await driver.resume();
      }
      const record = await driver.run();
      assert.equal(record.phase, 'done', record.cause.text);
      assert.equal(startsOf(), labels.length + crashes + controllers.replaced.length);
    },
  );
  await fc.assert(property, { seed: 20261202, numRuns: 150 });
});
