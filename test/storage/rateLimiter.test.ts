/** The order in which the rate limiter admits requests, and the division of a rate among nodes. */
import assert from 'node:assert/strict';
import { mock, test } from 'node:test';
import { RateLimiter, rateShareOf, type RequestPriority } from '../../src/storage/rateLimiter.js';

const RATE = 10;

/** Returns a rate limiter without tokens, on a simulated clock; `order` lists the admitted requests. */
function emptyLimiter(): {
  limiter: RateLimiter;
  order: string[];
  queue: (name: string, priority: RequestPriority, cost?: number) => void;
  pass: (seconds: number) => Promise<void>;
} {
  mock.timers.enable({ apis: ['setTimeout'] });
  let now = 0;
  const limiter = new RateLimiter({ now: () => now, wall: () => now }, RATE, RATE);
  // Spend the initial burst, so that all further requests have to wait.
  limiter.charge(RATE, 'later');
  const order: string[] = [];
  const queue = (name: string, priority: RequestPriority, cost = 1): void => {
    void limiter.acquire(cost, priority).then(() => order.push(name));
  };
  const pass = async (seconds: number): Promise<void> => {
    const step = 0.01;
    for (let passed = 0; passed < seconds; passed += step) {
      now += step;
      mock.timers.tick(step * 1000);
      await Promise.resolve();
    }
  };
  return { limiter, order, queue, pass };
}

const cases: { name: string; requests: [string, RequestPriority][]; order: string[] }[] = [
  {
    name: 'requests of one priority in the order of their arrival',
    requests: [
      ['a', 'urgent'],
      ['b', 'urgent'],
    ],
    order: ['a', 'b'],
  },
  {
    name: 'ownership, submissions, rentals, starts, bookkeeping',
    requests: [
      ['bookkeeping', 'later'],
      ['start', 'urgent'],
      ['rental', 'rental'],
      ['user', 'submission'],
      ['lease', 'ownership'],
    ],
    order: ['lease', 'user', 'rental', 'start', 'bookkeeping'],
  },
];
for (const { name, requests, order } of cases) {
  test(`order of requests: ${name}`, async (t) => {
    t.after(() => {
      mock.timers.reset();
    });
    const fixture = emptyLimiter();
    for (const [request, priority] of requests) fixture.queue(request, priority);
    await fixture.pass(requests.length / RATE + 0.1);
    assert.deepEqual(fixture.order, order);
  });
}

test('many submissions leave half of the rate to starts', async (t) => {
  t.after(() => {
    mock.timers.reset();
  });
  const { order, queue, pass } = emptyLimiter();
  for (let i = 0; i < 200; i++) queue(`start ${i}`, 'urgent');
  // Twice as many as the rate admits, for ten seconds.
  for (let i = 0; i < 200; i++) {
    queue(`user ${i}`, 'submission');
    await pass(0.05);
  }
  const starts = order.filter((name) => name.startsWith('start')).length;
  const users = order.length - starts;
  assert.ok(starts >= 0.4 * order.length, `${starts} starts of ${order.length}`);
  assert.ok(users >= 0.4 * order.length, `${users} submissions of ${order.length}`);
});

test('many rentals leave most of the rate to starts', async (t) => {
  t.after(() => {
    mock.timers.reset();
  });
  const { order, queue, pass } = emptyLimiter();
  for (let i = 0; i < 200; i++) queue(`start ${i}`, 'urgent');
  for (let i = 0; i < 200; i++) {
    queue(`rental ${i}`, 'rental');
    await pass(0.05);
  }
  const rentals = order.filter((name) => name.startsWith('rental')).length;
  assert.ok(rentals <= 0.35 * order.length, `${rentals} rentals of ${order.length}`);
  assert.ok(rentals >= 0.15 * order.length, `${rentals} rentals of ${order.length}`);
});

test('writes that are charged with a submission count towards the share of submissions', () => {
  const { limiter } = emptyLimiter();
  limiter.charge(RATE, 'submission');
  void limiter.acquire(RATE, 'urgent');
  // While its share is overdrawn, a submission queues behind urgent requests.
  assert.equal(limiter.delay('submission'), limiter.delay('urgent'));
  mock.timers.reset();
});

const shares: { name: string; demands: number[]; share: number }[] = [
  { name: 'no demand is known: an even share', demands: [], share: 10 },
  { name: 'the others demand nothing', demands: [0, 0], share: 30 },
  { name: 'the others demand more than their share', demands: [25, 25], share: 10 },
  { name: 'one demands less', demands: [4, 25], share: 16 },
];
for (const { name, demands, share } of shares) {
  test(`share of a rate: ${name}`, () => {
    assert.equal(rateShareOf(30, 3, demands), share);
  });
}
