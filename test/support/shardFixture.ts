/** A shard on a simulated clock, with one machine type and heartbeats that tests compose. */
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

/** The fencing token of the shard's leader. */
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

  /** Adds a machine, and by default applies an empty heartbeat of it. */
  addMachine(name = 'n-1', hasHeartbeat = true): Machine {
    const record = { shard: 'p', type: 'm8', zone: 'a', spot: false, launchedAt: 0 };
    const machine = this.shard.addMachine(name, record, this.now);
    if (hasHeartbeat) this.applyHeartbeat(machine, []);
    return machine;
  }

  getMachine(name: string): Machine {
    const machine = this.shard.machines.get(name);
    if (machine === undefined) throw new Error(`no machine ${name}`);
    return machine;
  }

  /** Applies a heartbeat with these attempts; false: the shard took it for stale. */
  applyHeartbeat(
    machine: Machine,
    attempts: Partial<ReportedAttempt>[],
    changes: Partial<Heartbeat> = {},
    origin: HeartbeatOrigin = 'follow-up',
  ): boolean {
    const reportedAttempts = attempts.map((attempt) => ({
      task: 'wk-1/0',
      attemptNumber: 1,
      state: 'running' as const,
      cause: null,
      hasCheckpoint: false,
      ...attempt,
    }));
    const heartbeat: Heartbeat = {
      machine: machine.name,
      address: '127.0.0.1:1',
      type: 'm8',
      zone: 'a',
      spot: false,
      agentEpoch: this.agentEpoch,
      heartbeatSequence: ++this.heartbeatSequence,
      highestFencingToken: FENCING_TOKEN,
      preemptionWarning: null,
      attempts: reportedAttempts,
      ...changes,
    };
    return this.shard.heartbeats.apply(machine, heartbeat, this.now, origin) !== 'stale';
  }

  addChunk(changes: Partial<JobSpec> = {}): Chunk {
    const spec = jobSpec({ taskCount: 1, ...changes });
    const chunk = new Chunk(spec, 0, 'p', this.now, 0, spec.taskCount, null, this.now);
    this.shard.acceptNewChunk(chunk, this.now);
    return chunk;
  }

  /** A chunk whose single task is placed, stored and reported as running on this machine, which must be the only one. */
  createRunningChunk(machine: Machine, changes: Partial<JobSpec> = {}): Chunk {
    const chunk = this.addChunk(changes);
    this.runSchedulingRound();
    this.markStored(chunk);
    this.applyHeartbeat(machine, [{}]);
    return chunk;
  }

  /** Records that two probes of the machine got no answer. */
  missTwoProbes(machine: Machine): void {
    machine.reachability.missedProbes = 2;
    machine.reachability.firstMissedProbeAt = this.now;
  }

  runSchedulingRound(): void {
    this.shard.scheduler.runRound(this.now, () => false);
  }

  /** Marks all changes of these chunks as stored. */
  markStored(...chunks: Chunk[]): void {
    for (const chunk of chunks) chunk.storedVersion = chunk.version;
  }

  dueCommandNames(machine: Machine): string[] {
    return dueCommands(machine, this.now, 4).map(
      (command) => `${command.verb} ${command.task} ${command.attemptNumber}`,
    );
  }
}
