/** The kinds and numbers of machines planned for demands. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  mergePlans,
  planScaleOut,
  type ScaleOutPlan,
} from '../../src/coordination/autoscaling/scaleOutPlan.js';
import type { Demand } from '../../src/protocol/peerMessages.js';

const type = (name: string, cpus: number, price: number, spotPrice: number, boot: number) => ({
  name,
  cpus,
  gpus: 0,
  memoryGb: cpus * 4,
  fetchGbPerSecond: 1,
  cacheGb: 50,
  price,
  spotPrice,
  bootSeconds: boot,
  zones: ['a', 'b'],
});

const serviceDemand = (changes: Partial<Demand> = {}): Demand => ({
  ...{ shard: 'p', cpus: 4, gpus: 0, memoryGb: 4, machineTypes: null, zone: null },
  ...{ allowsSpot: false, rank: 'prod', isService: true, image: 'i', imageGb: 1, count: 1 },
  ...{ isUrgent: true, onDemandCount: 0, boundCount: 0, expectedRunSeconds: 0 },
  ...changes,
});

test('a plan uses the cheapest kind for the work, within the constraints of the job', () => {
  const outOfStock = new Set<string>();
  const context = {
    machineTypes: [type('small', 4, 0.2, 0.08, 50), type('large', 32, 1.9, 0.7, 15)],
    isOutOfStock: (t: string, zone: string, spot: boolean) =>
      outOfStock.has(`${t}/${zone}/${spot}`),
    shardFor: () => 'p',
    zoneOf: () => 'a',
    pending: [] as ScaleOutPlan[],
    batchWindow: 60,
    serviceHorizon: 600,
    urgentServiceHorizon: 60,
  };
  const demand = {
    shard: 'p',
    cpus: 4,
    gpus: 0,
    memoryGb: 4,
    machineTypes: null,
    zone: null,
    allowsSpot: true,
    rank: 'normal',
    isService: true,
    image: 'i',
    imageGb: 1,
    count: 1,
    isUrgent: false,
    onDemandCount: 0,
    boundCount: 0,
    expectedRunSeconds: 0,
  };
  const kinds = (d: typeof demand): string[] =>
    planScaleOut([d], context).map((p) => `${p.count} ${p.type}/${p.zone}/${p.spot}`);
  assert.deepEqual(kinds(demand), ['1 small/a/true']);
  assert.deepEqual(kinds({ ...demand, allowsSpot: false, count: 8 }), ['8 small/a/false']);
  assert.deepEqual(kinds({ ...demand, zone: 'b' as unknown as null }), ['1 small/b/true']);
  assert.deepEqual(kinds({ ...demand, cpus: 5 }), ['1 large/a/true']);
  assert.deepEqual(kinds({ ...demand, cpus: 64 }), []);
  // Waiting replicas get a kind that boots sooner, if it is not much more expensive.
  assert.deepEqual(kinds({ ...demand, allowsSpot: false, count: 8, isUrgent: true }), [
    '1 large/a/false',
  ]);
  // Machines of pending scale-outs are not launched again.
  const plan = { shard: 'p', type: 'large', zone: 'a', spot: true, count: 1 };
  const pending: [string, Partial<ScaleOutPlan>, number, string[]][] = [
    ['holds all of it', {}, 8, []],
    ['holds some of it', {}, 10, ['2 small/a/true']],
    ['goes to another shard', { shard: 'q' }, 8, ['8 small/a/true']],
  ];
  for (const [name, changes, count, planned] of pending) {
    context.pending = [{ ...plan, ...changes }];
    assert.deepEqual(kinds({ ...demand, count }), planned, name);
  }
  context.pending = [];
  outOfStock.add('small/a/true');
  assert.deepEqual(kinds(demand), ['1 small/b/true']);
  // Where no spot machine is left, only tasks that would not complete in time get on-demand machines.
  outOfStock.add('small/b/true').add('large/a/true').add('large/b/true');
  const batch = { ...demand, isService: false, expectedRunSeconds: 30, count: 80 };
  assert.deepEqual(kinds(batch), []);
  assert.deepEqual(kinds({ ...batch, onDemandCount: 8 }), ['1 large/a/false']);
  for (const kind of ['small/b/true', 'large/a/true', 'large/b/true']) outOfStock.delete(kind);
  const merged = mergePlans(planScaleOut([demand, { ...demand, count: 2 }], context));
  assert.equal(merged.length, 1);
});

// Guards against machines that are rented, again and again, for a peer of the shard that alone can start the waiting replicas.
test('replicas beside others of their chunk get machines of their own shard, from another zone if there are none in its own', () => {
  const outOfStock = new Set<string>();
  const context = {
    machineTypes: [type('small', 4, 0.2, 0.08, 50)],
    isOutOfStock: (_: string, zone: string) => outOfStock.has(zone),
    shardFor: (zone: string) => (zone === 'a' ? 'p' : 'q'),
    zoneOf: () => 'a',
    pending: [] as ScaleOutPlan[],
    batchWindow: 60,
    serviceHorizon: 600,
    urgentServiceHorizon: 60,
  };
  const planned = (boundCount: number): string[] =>
    planScaleOut([serviceDemand({ count: 3, boundCount })], context).map(
      ({ count, zone, shard }) => `${count} in ${zone} for ${shard}`,
    );
  assert.deepEqual(planned(2), ['2 in a for p', '1 in a for p']);
  outOfStock.add('a');
  assert.deepEqual(planned(0), ['3 in b for q']);
  assert.deepEqual(planned(3), ['3 in b for p']);
  assert.deepEqual(planned(2), ['2 in b for p', '1 in b for q']);
});
