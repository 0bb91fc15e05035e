/** The rollout driver on simulated controllers: one away at a time, whoever drives, crashes or stands still. */
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

/** No rollout of a test takes so long: one that does has got stuck. */
const LONGEST_S = 100_000;

function driverOf(
  controllers: SimulatedControllers,
  holder: string,
  plan: RolloutPlan,
): RolloutDriver {
  return new RolloutDriver(plan, holder, {
    api: controllers,
    run: (command) => controllers.run(command),
    clock: { now: () => controllers.now, wall: () => controllers.now },
    sleep: (seconds) => {
      if (controllers.now > LONGEST_S) throw new Error('it never ends');
      controllers.pass(seconds);
      return Promise.resolve();
    },
    report: () => undefined,
  });
}

interface Setting {
  controllers: SimulatedControllers;
  plan: RolloutPlan;
  driver: RolloutDriver;
}

function setting(changes: Record<string, string> = {}): Setting {
  const controllers = new SimulatedControllers(labels);
  const plan = planFor(labels, changes);
  return { controllers, plan, driver: driverOf(controllers, 'first', plan) };
}

const versions = ({ controllers }: SimulatedControllers): string[] =>
  [...controllers.values()].map(({ version }) => version);

/** Steps until the record says something; the driver's loop without its end. */
async function stepUntil(
  { controllers, driver }: Setting,
  test: (record: DriverRecord) => boolean,
): Promise<DriverRecord> {
  for (let i = 0; i < 300; i++) {
    const record = await driver.step();
    if (test(record)) return record;
    controllers.pass(1);
  }
  throw new Error('never came');
}

test('controllers are replaced in order, one at a time, while the level is held', async () => {
  const { controllers, driver } = setting();
  await driver.start();
  assert.deepEqual(controllers.held, ['rollout to-2.0']);
  const record = await driver.run();
  assert.equal(record.phase, 'done');
  assert.deepEqual(controllers.replaced, ['a 2.0', 'b 2.0', 'c 2.0']);
  assert.equal(controllers.mostAway, 1);
  assert.deepEqual(controllers.held, []);
});

test('two at a time are away at the most where the plan says two', async () => {
  const { controllers, driver } = setting({ concurrency: '2' });
  await driver.start();
  assert.equal((await driver.run()).phase, 'done');
  assert.equal(controllers.mostAway, 2);
});

test('a level that an operator finalises stays held after the rollout', async () => {
  const { controllers, driver } = setting({ finalize: 'manual' });
  await driver.start();
  await driver.run();
  assert.deepEqual(controllers.held, ['rollout to-2.0']);
});

interface Failure {
  what: string;
  changes?: Record<string, string>;
  prepare: (controllers: SimulatedControllers) => void;
  cause: RegExp;
  after: string[];
}

const failures: Failure[] = [
  {
    what: 'the command fails',
    prepare: (controllers) => {
      controllers.failsCommand = true;
    },
    cause: /a: the command failed: no such host/,
    after: ['1.0', '1.0', '1.0'],
  },
  {
    what: 'the new version does not become ready',
    prepare: (controllers) => controllers.broken.add('2.0'),
    cause: /a: it is not ready after the start timeout/,
    after: ['2.0', '1.0', '1.0'],
  },
  {
    what: 'the new version loses live replicas',
    prepare: (controllers) => controllers.lossy.set('2.0', 3),
    cause: /a: 27 of 30 live replicas are up after the start timeout/,
    after: ['2.0', '1.0', '1.0'],
  },
  {
    what: 'it does not give up its shard in time',
    changes: { 'drain.timeout': '1' },
    prepare: () => undefined,
    cause: /a: it still owns a after the drain timeout/,
    after: ['1.0', '1.0', '1.0'],
  },
  {
    what: 'the command brings up another version than the plan names',
    changes: { command: 'replace {controller} 1.5' },
    prepare: () => undefined,
    cause: /a: it runs 1\.5 and not 2\.0 after the start timeout/,
    after: ['1.5', '1.0', '1.0'],
  },
];

for (const { what, changes, prepare, cause, after } of failures) {
  test(`${what}: the rollout pauses with the cause and touches no other controller`, async () => {
    const { controllers, driver } = setting(changes);
    prepare(controllers);
    await driver.start();
    const record = await driver.run();
    assert.equal(record.phase, 'paused');
    assert.match(record.cause.text, cause);
    assert.deepEqual(versions(controllers), after);
  });
}

test('where the plan says so, a controller that comes back badly is rolled back by itself', async () => {
  const { controllers, driver } = setting({ 'on.failure': 'rollback' });
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

test('an operator rolls back with one, two and all of three replaced', async () => {
  for (const count of [1, 2, 3]) {
    const given = setting();
    const { controllers, plan, driver } = given;
    await driver.start();
    const done = (record: DriverRecord): number =>
      Object.values(record.controllers).filter(({ state }) => state === 'done').length;
    const reached = await stepUntil(given, (record) => done(record) === count);
    // The next is being drained already: it goes back too, which ends that.
    const touched = labels.filter((label) => reached.controllers[label].state !== 'waiting');
    if (count < 3) await pauseRollout(controllers, 'it looks odd', controllers.now);
    const second = driverOf(controllers, 'second', plan);
    await second.rollBack();
    const record = await second.run();
    assert.equal(record.phase, 'rolled-back');
    assert.deepEqual(versions(controllers), ['1.0', '1.0', '1.0']);
    assert.equal(controllers.mostAway, 1, `${count} replaced`);
    const forward = labels.slice(0, count).map((label) => `${label} 2.0`);
    const back = touched.reverse().map((label) => `${label} 1.0`);
    assert.deepEqual(controllers.replaced, [...forward, ...back]);
  }
});

test('nothing goes back once the level has risen since the rollout began', async () => {
  const given = setting();
  const { controllers, plan, driver } = given;
  await driver.start();
  await stepUntil(given, (record) => record.controllers['a'].state === 'done');
  await pauseRollout(controllers, 'wait', controllers.now);
  controllers.clusterLevel = 3;
  await assert.rejects(driverOf(controllers, 'second', plan).rollBack(), /from level 2 to 3 since/);
});

test('a second driver is refused while the first is at work', async () => {
  const { controllers, plan, driver } = setting();
  await driver.start();
  await driver.step();
  const second = new RolloutDriver(plan, 'second', {
    api: controllers,
    run: () => Promise.reject(new Error('must not run')),
    clock: { now: () => controllers.now, wall: () => controllers.now },
    sleep: async (seconds) => {
      controllers.pass(seconds);
      await driver.step();
    },
    report: () => undefined,
  });
  await assert.rejects(second.start(), /another driver is at work: first/);
});

test('a driver that died at any step is followed by another, which goes on where it stopped', async () => {
  for (let steps = 1; steps < 40; steps += 3) {
    const { controllers, plan, driver } = setting();
    await driver.start();
    for (let i = 0; i < steps; i++) {
      await driver.step();
      controllers.pass(1);
    }
    const second = driverOf(controllers, 'second', plan);
    await second.start();
    const record = await second.run();
    assert.equal(record.phase, 'done', `died after ${steps} steps`);
    assert.deepEqual(versions(controllers), ['2.0', '2.0', '2.0']);
    assert.equal(controllers.mostAway, 1, `died after ${steps} steps`);
    assert.equal(record.permit.token, 2);
  }
});

test('a driver that stood still past its permit takes nobody away any more', async () => {
  const { controllers, plan, driver } = setting();
  await driver.start();
  await driver.step();
  const second = driverOf(controllers, 'second', plan);
  await second.start();
  const before = [...controllers.replaced];
  await assert.rejects(driver.run(), DriverRefusedError);
  assert.deepEqual(controllers.replaced, before);
  assert.equal((await second.run()).phase, 'done');
  assert.equal(controllers.mostAway, 1);
});

test('a driver that stands still between storing a step and acting on it does not act', async () => {
  const { controllers, plan, driver } = setting({ drain: 'false' });
  await driver.start();
  const write = controllers.write.bind(controllers);
  controllers.write = async (revision, record) => {
    const outcome = await write(revision, record);
    controllers.pass(plan.permitTtl);
    return outcome;
  };
  await driver.step();
  assert.deepEqual(controllers.replaced, []);
});

test('while another controller is down nobody is taken away, and the reason is stored', async () => {
  const given = setting();
  const { controllers, driver } = given;
  await driver.start();
  await stepUntil(given, (record) => record.controllers['a'].state === 'settling');
  controllers.crash('c', null);
  for (let i = 0; i < 20; i++) await driver.step();
  assert.match(controllers.record?.cause.text ?? '', /a: c is not ready/);
  assert.deepEqual(controllers.replaced, ['a 2.0']);
  controllers.crash('c', 0);
  assert.equal((await driver.run()).phase, 'done');
});

test('lost answers of the store neither repeat nor skip a controller', async () => {
  const given = setting();
  const { controllers, driver } = given;
  await driver.start();
  for (let i = 0; i < 200 && controllers.record?.phase === 'running'; i++) {
    if (i % 3 === 0) controllers.losesWrites = 1;
    await driver.step();
    controllers.pass(1);
  }
  assert.equal(controllers.record?.phase, 'done');
  assert.deepEqual(controllers.replaced, ['a 2.0', 'b 2.0', 'c 2.0']);
});

test('another plan does not go on with a rollout that is under way', async () => {
  const { controllers, driver } = setting();
  await driver.start();
  await driver.step();
  const other = driverOf(controllers, 'second', planFor(labels, { version: '3.0' }));
  await assert.rejects(other.start(), /to-2\.0 is running with another plan/);
});

type Event = 'step' | 'crash' | 'new driver' | 'pause and resume';

test('whatever crashes, and however many drivers there are, the driver takes one away at a time', async () => {
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
      const { controllers, plan, driver: first } = setting();
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
          driver = driverOf(controllers, `driver-${++drivers}`, plan);
          await driver.start();
        } else if (kind === 'pause and resume' && controllers.record?.phase === 'running') {
          await pauseRollout(controllers, 'wait', controllers.now);
          driver = driverOf(controllers, `driver-${++drivers}`, plan);
          await driver.resume();
        } else await driver.step();
        const away = Object.values(controllers.record?.controllers ?? {}).filter(
          ({ state }) => state !== 'waiting' && state !== 'done',
        );
        assert.ok(away.length <= 1, 'two are away by the record');
        controllers.pass(1);
      }
      if (controllers.record?.phase === 'paused') {
        driver = driverOf(controllers, `driver-${++drivers}`, plan);
        await driver.resume();
      }
      const record = await driver.run();
      assert.equal(record.phase, 'done', record.cause.text);
      assert.equal(startsOf(), labels.length + crashes + controllers.replaced.length);
    },
  );
  await fc.assert(property, { seed: 20261202, numRuns: 150 });
});
