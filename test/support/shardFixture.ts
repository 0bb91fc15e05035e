/** A part on a clock of its own, with one type of machine, and reports made by hand. */
import { dueCommands } from '../../src/coordination/model/dueCommands.js';
import { seededRandom } from '../../src/base/random.js';
import { Chunk } from '../../src/coordination/model/chunk.js';
import { RunTimes } from '../../src/coordination/scheduling/runTimes.js';
import type { Machine } from '../../src/coordination/model/machine.js';
import { Shard } from '../../src/coordination/shard/shard.js';
import type { HeartbeatOrigin } from '../../src/coordination/reconciliation/heartbeatReconciler.js';
import { singleShardView, type ClusterView } from '../../src/coordination/quota/teamUsage.js';
import type { JobSpec } from '../../src/protocol/job.js';
import type { Heartbeat, ReportedAttempt } from '../../src/protocol/workerProtocol.js';
import { m8 } from './emptyShard.js';
import { jobSpec } from './jobSpec.js';

/** The token of the part's owner. */
export const FENCING_TOKEN = 5;

export class ShardFixture {
  now = 100;
  heartbeatSequence = 0;
  agentEpoch = 1;
  machineTypes = new Map([['m8', m8]]);
  readonly shard: Shard;

  constructor(cluster: ClusterView = singleShardView) {
    this.shard = new Shard(
      'p',
      {
        workerLease: 18,
        heartbeatInterval: 3,
        sample: 8,
        zones: ['a'],
        scaleOutWindow: 30,
        onDemandWindow: 60,
        headroom: 1.2,
        arrivalWindow: 100,
      },
      () => this.machineTypes,
      new RunTimes(),
      seededRandom(1),
      cluster,
    );
  }

  addMachine(name = 'n-1', report = true): Machine {
    const record = { shard: 'p', type: 'm8', zone: 'a', spot: false, launchedAt: 0 };
    const machine = this.shard.addMachine(name, record, this.now);
    if (report) this.applyHeartbeat(machine, []);
    return machine;
  }

  getMachine(name: string): Machine {
    const machine = this.shard.machines.get(name);
    if (machine === undefined) throw new Error(`no machine ${name}`);
    return machine;
  }

  applyHeartbeat(
    machine: Machine,
    tasks: Partial<ReportedAttempt>[],
    changes: Partial<Heartbeat> = {},
    from: HeartbeatOrigin = 'follow-up',
  ): boolean {
    const full = tasks.map((t) => ({
      task: 'wk-1/0',
      attemptNumber: 1,
      state: 'running' as const,
      cause: null,
      hasCheckpoint: false,
      ...t,
    }));
    const report: Heartbeat = {
      machine: machine.name,
      address: '127.0.0.1:1',
      type: 'm8',
      zone: 'a',
      spot: false,
      agentEpoch: this.agentEpoch,
      heartbeatSequence: ++this.heartbeatSequence,
      highestFencingToken: FENCING_TOKEN,
      preemptionWarning: null,
      attempts: full,
      ...changes,
    };
    return this.shard.heartbeats.apply(machine, report, this.now, from) !== 'stale';
  }

  addChunk(changes: Partial<JobSpec> = {}): Chunk {
    const s = jobSpec({ taskCount: 1, ...changes });
    const chunk = new Chunk(s, 0, 'p', this.now, 0, s.taskCount, null, this.now);
    this.shard.acceptNewChunk(chunk, this.now);
    return chunk;
  }

  /** A chunk whose task is placed, stored and reported as running on this machine, the only one. */
  createRunningChunk(machine: Machine, changes: Partial<JobSpec> = {}): Chunk {
    const chunk = this.addChunk(changes);
    this.runSchedulingRound();
    this.markStored(chunk);
    this.applyHeartbeat(machine, [{}]);
    return chunk;
  }

  /** Two questions to it have got no answer. */
  missTwoProbes(machine: Machine): void {
    machine.reachability.missedProbes = 2;
    machine.reachability.firstMissedProbeAt = this.now;
  }

  runSchedulingRound(): void {
    this.shard.scheduler.runRound(this.now, () => false);
  }

  /** As if every change had been stored. */
  markStored(...chunks: Chunk[]): void {
    for (const chunk of chunks) chunk.storedVersion = chunk.version;
  }

  dueCommandNames(machine: Machine): string[] {
    return dueCommands(machine, this.now, 4).map((o) => `${o.verb} ${o.task} ${o.attemptNumber}`);
  }
}
