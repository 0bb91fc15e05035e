/** What a node whose copy stood still may say of jobs that wait for others. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Pipelines } from '../../src/coordination/pipelines/pipelines.js';
import { keys, type JobRecord } from '../../src/storage/records.js';
import { spec } from '../support/spec.js';

const CANCELLATION_TIMEOUT_S = 60;

class StaleCopy {
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
      acceptMissing: () => undefined,
      cancel: () => Promise.resolve({ kind: 'not-stored' as const }),
    },
    requestSchedulingRound: () => undefined,
  });
  private readonly rows = new Map<string, { value: JobRecord; revision: number }>();

  /** A change reaches the copy, which shows all that was stored until now. */
  hear(id: string, state: 'open' | 'cancelled', dependencies: string[] = []): void {
    const open = {
      ...{ spec: spec({ id, dependencies }), homeShard: 'p', state: 'open', taskCount: 1 },
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
  const copy = new StaleCopy();
  copy.hear('wk-1', 'open');
  copy.hear('wk-2', 'open', ['wk-1']);
  assert.equal(copy.pipelines.mayCallOpen('wk-2'), true);
  copy.now += CANCELLATION_TIMEOUT_S + 1;
  assert.equal(copy.pipelines.mayCallOpen('wk-2'), false, 'its copy is too old');
  // It may have been cancelled, and its user been told, when the copy had just stopped.
  copy.hear('wk-1', 'cancelled');
  assert.equal(copy.pipelines.mayCallOpen('wk-2'), false);
});
