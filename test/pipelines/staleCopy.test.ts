/** What a node with a stale cache may report about jobs that wait for others. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Pipelines } from '../../src/coordination/pipelines/pipelines.js';
import { keys, type JobRecord } from '../../src/storage/records.js';
import { jobSpec } from '../support/jobSpec.js';

const CANCELLATION_TIMEOUT_S = 60;

class StaleCacheNode {
  now = 100;
  readonly stateCache = {
    get: (key: string) => this.rows.get(key),
    loaded: true,
    syncedAt: 100,
  };
  readonly pipelines = new Pipelines({
    settings: { cancellationTimeout: CANCELLATION_TIMEOUT_S },
    clock: { now: () => this.now },
    ownedShards: new Map(),
    stateCache: this.stateCache,
    persistence: {
      createMissingChunks: () => undefined,
      cancel: () => Promise.resolve({ kind: 'not-stored' as const }),
    },
    requestSchedulingRound: () => undefined,
  });
  private readonly rows = new Map<string, { value: JobRecord; revision: number }>();

  /** Delivers a record to the cache, which then shows everything stored until now. */
  deliverRecord(id: string, state: 'open' | 'cancelled', dependencies: string[] = []): void {
    const open = {
      ...{ spec: jobSpec({ id, dependencies }), homeShard: 'p', state: 'open', taskCount: 1 },
      ...{ submittedAt: 1, chunkSize: 8, zones: [], createdChunks: 1 },
      ...{ doneChunks: [], migratedChunks: [] },
    } as const;
    const value = (state === 'open'
      ? open
      : { ...open, spec: null, state }) as unknown as JobRecord;
    this.rows.set(keys.job(id), { value, revision: 1 });
    this.pipelines.applyJobRecord(id, value);
    this.stateCache.syncedAt = this.now;
  }
}

test('a job is not called open by a node that hears late, after an outage, that a job before it was cancelled', () => {
  const node = new StaleCacheNode();
  node.deliverRecord('wk-1', 'open');
  node.deliverRecord('wk-2', 'open', ['wk-1']);
  assert.equal(node.pipelines.mayReportOpen('wk-2'), true);
  node.now += CANCELLATION_TIMEOUT_S + 1;
  assert.equal(node.pipelines.mayReportOpen('wk-2'), false, 'its cache is too old');
  // The job may have been cancelled, and its user told, just after the cache was last updated.
  node.deliverRecord('wk-1', 'cancelled');
  assert.equal(node.pipelines.mayReportOpen('wk-2'), false);
});
