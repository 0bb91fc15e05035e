/** Copies of starts that were carried out and answered: none runs once its worker has been told to forget the attempt. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { submission, until, type Cluster } from '../support/cluster.js';
import type { WorkerStandIn } from '../support/fleet.js';
import { accept, service, withCluster } from '../support/users.js';

const TASK = 'wk-000801/0';

const holder = (cluster: Cluster): WorkerStandIn | undefined =>
  [...cluster.cloud.workers.values()].find((worker) => worker.tasks.includes(TASK));

test('a copied start does not run again: that failed, and nothing else', () =>
  withCluster({ nodes: 2, runs: () => Infinity }, async (cluster) => {
    await accept(cluster, 'drone-0', submission('wk-000801', { ...service, Pieces: 1 }));
    await until('it runs', () => holder(cluster) !== undefined);
    const worker = holder(cluster);
    assert.ok(worker);
    // Its successor goes elsewhere.
    worker.refusal = 'no_room';
    worker.fail(TASK);
    await until('it runs elsewhere', () => (holder(cluster) ?? worker) !== worker);
    await until('the worker was told to forget it', () => !worker.holds(TASK, 1));
    worker.refusal = null;
    const statuses = worker.repeatStart(TASK, 1);
    assert.ok(statuses.length > 0, 'its start was a command');
    assert.deepEqual(new Set(statuses), new Set([409]), 'the worker itself refuses each copy');
  }));
