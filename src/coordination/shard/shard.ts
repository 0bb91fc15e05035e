/**
 * One shard: its machines, its queue and the attempts on its machines. It does no I/O: heartbeats and the current time are
 * passed in, and its commands and changed chunks are collected by the callers.
 */
import { log } from '../../base/log.js';
import type { Random } from '../../base/random.js';
import type { MachineType } from '../../protocol/cloudProtocol.js';
import { rankOrder } from '../../protocol/job.js';
import type { ChunkRecord, MachineRecord } from '../../storage/records.js';
import { AttemptTermination } from '../reconciliation/attemptTermination.js';
import type { Invariant } from '../audit/auditEvent.js';
import { AuditTrail } from '../audit/auditTrail.js';
import { compareByQueueOrder, Chunk, type Attempt } from '../model/chunk.js';
import type { RunTimes } from '../scheduling/runTimes.js';
import { NO_LEADERSHIP } from '../model/fencingTokenBlock.js';
import { Machine, type Placement } from '../model/machine.js';
import { DemandEstimator, type DemandOptions } from './demandEstimator.js';
import { MachineLiveness } from '../reconciliation/machineLiveness.js';
import { HeartbeatReconciler } from '../reconciliation/heartbeatReconciler.js';
import { Scheduler } from '../scheduling/scheduler.js';
import { StartCommands } from '../model/startCommands.js';
import { UnknownAttempts } from '../reconciliation/unknownAttempts.js';
import { singleShardView, TeamUsage, type ClusterView } from '../quota/teamUsage.js';
import { WaitEstimates } from '../scheduling/waitEstimates.js';

/** Options of a shard. Times are in seconds; `sample` is the number of machines that a placement samples. */
export interface ShardOptions extends DemandOptions {
  workerLease: number;
  heartbeatInterval: number;
  sample: number;
  zones: string[];
}

/** The machines of one shard, its queue, and the attempts on its machines. */
export class Shard {
  readonly machines = new Map<string, Machine>();
  readonly chunks = new Map<string, Chunk>();
  private readonly chunksByJob = new Map<string, Set<Chunk>>();
  /** Chunks with changes that are not stored yet. */
  readonly unsavedChunks = new Set<Chunk>();
  /** Machines to which commands should be sent now. */
  readonly machinesWithDueCommands = new Set<Machine>();
  /** Chunks whose tasks are all done, and cancelled chunks without attempts. */
  readonly finishedChunks = new Set<Chunk>();
  /** Which machines should be launched for the shard, and which may be released. */
  readonly demand: DemandEstimator;
  /** Resources that each team's tasks use here. */
  readonly teamUsage: TeamUsage;
  readonly waitEstimates: WaitEstimates;
  readonly heartbeats: HeartbeatReconciler;
  readonly liveness: MachineLiveness;
  readonly scheduler: Scheduler;
  readonly unknownAttempts = new UnknownAttempts();
  /** The fencing tokens of the current leadership. */
  fencingTokens = NO_LEADERSHIP;
  /** Tasks whose start is withheld, and for which the audit trail has an event. */
  private readonly withheldStarts = new Set<string>();

  constructor(
    readonly label: string,
    private readonly options: ShardOptions,
    private readonly machineTypes: () => Map<string, MachineType>,
    runTimes: RunTimes,
    random: Random,
    private readonly cluster: ClusterView = singleShardView,
    readonly audit: AuditTrail = new AuditTrail('', () => 0),
  ) {
    this.teamUsage = new TeamUsage(cluster);
    this.waitEstimates = new WaitEstimates(this, runTimes, options.heartbeatInterval);
    this.heartbeats = new HeartbeatReconciler(this, options, runTimes);
    this.liveness = new MachineLiveness(this, options);
    this.scheduler = new Scheduler(this, options, runTimes, random, cluster);
    this.demand = new DemandEstimator(this, options, machineTypes);
  }

  // ---- Machines ----

  /**
   * Adds a machine, or updates the record of a known one. `leaseRenewedAt`: monotonic time until which another leader may have
   * renewed the worker's lease; `ageWhenFirstSeen`: seconds since the machine was launched.
   */
  addMachine(
    name: string,
    record: MachineRecord,
    now: number,
    leaseRenewedAt = now,
    ageWhenFirstSeen = 0,
  ): Machine {
    const known = this.machines.get(name);
    if (known !== undefined) {
      known.updateRecord(record);
      if (record.shard !== this.label) this.noteReassigned(known);
      return known;
    }
    const mayStart = (task: string, at: number): boolean => this.mayStart(task, at);
    const { heartbeatInterval } = this.options;
    const timing = { ageWhenFirstSeen, heartbeatInterval };
    const machine = new Machine(name, record, this.machineTypes, now, mayStart, timing);
    machine.leaseRenewedAt = leaseRenewedAt;
    this.machines.set(name, machine);
    this.waitEstimates.invalidate();
    // Its attempts may still run here, although its record has named another shard since they were started.
    if (record.shard !== this.label) this.noteReassigned(machine);
    return machine;
  }

  private noteReassigned(machine: Machine): void {
    if (machine.isReassigned) return;
    machine.isReassigned = true;
    this.waitEstimates.invalidate();
    this.machinesWithDueCommands.delete(machine);
    log.error(
      `shard ${this.label}: ${machine.name} is assigned to shard ${machine.recordedShard} by its record; ` +
        `its attempts here are kept until they are known to have terminated`,
    );
  }

  /** Removes a machine that is known to be gone, and terminates the attempts on it. */
  removeMachine(name: string, now: number): void {
    const machine = this.machines.get(name);
    if (machine === undefined) return;
    this.machines.delete(name);
    this.unknownAttempts.forget(machine);
    this.waitEstimates.invalidate();
    this.machinesWithDueCommands.delete(machine);
    const termination = AttemptTermination.byMachineRemoval(now);
    for (const placement of [...machine.placements.values()])
      this.terminateAttempt(machine, placement, termination, now);
  }

  /**
   * Whether a start of the task may be sent. It is withheld while an unknown attempt of the task may run on a machine of the
   * shard, since then the shard's state is wrong.
   */
  private mayStart(task: string, now: number): boolean {
    const holder = this.unknownAttempts.findMachine(
      task,
      (machine) => AttemptTermination.byLeaseExpiry(machine, this.options, now) === null,
    );
    if (holder === null) {
      this.withheldStarts.delete(task);
      return true;
    }
    if (!this.withheldStarts.has(task)) {
      this.withheldStarts.add(task);
      this.reportInvariantViolation(
        'start-beside-live-attempt',
        `${task} runs on ${holder.name} as well`,
      );
    }
    return false;
  }

  /** Records a violated invariant (docs/safety.md) in the audit trail. */
  reportInvariantViolation(invariant: Invariant, detail: string): void {
    this.audit.note({ event: 'invariant-violated', invariant, shard: this.label, detail });
  }

  /**
   * Reports attempts that are back after their acknowledgement: a copy of their start was executed. They are stopped like any
   * unknown attempt.
   */
  noteReturnedAttempts(machine: Machine): void {
    for (const attempt of machine.acknowledgedAttempts.applyReport(machine.reportedAttempts)) {
      this.reportInvariantViolation(
        'acknowledged-attempt-returned',
        `${attempt} at ${machine.name}`,
      );
    }
  }

  /** The chunks of a job that are in this shard; any of its chunks may be in other shards. */
  chunksOf(job: string): Chunk[] {
    return [...(this.chunksByJob.get(job) ?? [])];
  }

  /** Requests the stop of an attempt; the task gets `gracePeriod` seconds to save a checkpoint. */
  requestStop(machine: Machine, attempt: Attempt, gracePeriod: number): void {
    if (attempt.stop !== null) return;
    attempt.stop = { gracePeriod, sentAt: null };
    this.machinesWithDueCommands.add(machine);
  }

  /** Removes an attempt that has terminated, and releases its resources. */
  terminateAttempt(
    machine: Machine,
    { chunk, attempt }: Placement,
    termination: AttemptTermination,
    now: number,
  ): void {
    this.audit.note({
      event: 'attempt-terminated',
      shard: this.label,
      task: chunk.taskName(attempt.task),
      attemptNumber: attempt.attemptNumber,
      machine: machine.name,
      rule: termination.rule,
      evidenceAge: now - termination.evidenceAt,
    });
    // A worker forgets an attempt that it has reported only after an acknowledgement of this leader or with a new agent epoch;
    // an acknowledgement of a later leader has a higher fencing token.
    const isDeposed = this.fencingTokens.isSurpassedBy(machine.highestFencingToken);
    if (termination.rule === 'absent' && !attempt.isInherited && !isDeposed) {
      this.reportInvariantViolation(
        'attempt-vanished',
        `${chunk.taskName(attempt.task)} at ${machine.name}`,
      );
    }
    if (chunk.attempts.delete(attempt.task) && !chunk.isDropped) this.teamUsage.add(chunk.spec, -1);
    machine.removePlacement(chunk.taskName(attempt.task));
    if (machine.placements.size === 0) machine.idleSince = now;
    this.noteChunkChanged(chunk, now);
    // An attempt of a gang terminated before its task was done: the gang's other tasks can't continue without it, so they are
    // stopped and restarted with it.
    if (!chunk.spec.isGang || chunk.isCancelRequested || chunk.doneTasks.has(attempt.task)) return;
    for (const other of chunk.attempts.values()) {
      const { checkpointInterval, checkpointDuration } = chunk.spec;
      const otherMachine = this.machines.get(other.machine);
      if (otherMachine !== undefined)
        this.requestStop(otherMachine, other, checkpointInterval > 0 ? checkpointDuration : 0);
    }
  }

  /** Marks the chunk as changed, so that it is stored, or as finished. */
  noteChunkChanged(chunk: Chunk, now: number): void {
    chunk.markChanged(now);
    if (chunk.isComplete || (chunk.isCancelled && chunk.attempts.size === 0))
      this.finishedChunks.add(chunk);
    else this.unsavedChunks.add(chunk);
  }

  /** A summary of the shard in one line, for the log. */
  summary(now: number): string {
    const machines = [...this.machines.values()];
    const free = machines.filter((m) => m.isSchedulable(now)).reduce((n, m) => n + m.free.cpus, 0);
    const machinesNotUp = machines
      .flatMap((m) => (m.isUp ? [] : [m.name]))
      .slice(0, 5)
      .join(' ');
    const count = (test: (m: Machine) => boolean): number => machines.filter(test).length;
    return (
      `shard ${this.label}: ${machines.length} machines, ${count((m) => !m.isUp)} not up (${machinesNotUp}), ` +
      `${count((m) => m.isCordoned)} cordoned, ${count((m) => m.preemptionDeadline !== null)} with a preemption notice, ` +
      `${count((m) => m.quarantinedUntil > now)} quarantined, ${free} CPUs free, ${this.waitingTaskCount} tasks waiting`
    );
  }

  // ---- Chunks ----

  /** Adds a chunk, whatever its origin, and applies a cancellation of its job. */
  addChunk(chunk: Chunk, now: number): void {
    const replaced = this.chunks.get(chunk.id);
    this.chunks.set(chunk.id, chunk);
    const { id: job } = chunk.spec;
    const chunksOfJob = this.chunksByJob.get(job) ?? new Set<Chunk>();
    if (replaced !== undefined) chunksOfJob.delete(replaced);
    this.chunksByJob.set(job, chunksOfJob.add(chunk));
    chunk.rank = this.rankOf(chunk);
    this.demand.noteArrival(chunk, 1, now);
    if (chunk.isComplete) this.finishedChunks.add(chunk);
    this.applyCancellation(chunk, now);
  }

  private applyCancellation(chunk: Chunk, now: number): void {
    const cancellation = this.cluster.cancellationOf(chunk.spec.id);
    if (cancellation === 'none') return;
    if (cancellation === 'announced') this.prepareCancel(chunk, now);
    else this.cancel(chunk, now);
    this.audit.note({
      event: 'cancelled-chunk-taken-up',
      job: chunk.spec.id,
      shard: this.label,
      chunk: chunk.index,
      cancellation,
    });
  }

  /** Updates the rank of a job's chunks after a dependent job has arrived or finished. */
  updateRank(job: string): void {
    for (const chunk of this.chunksOf(job)) chunk.rank = this.rankOf(chunk);
  }

  private rankOf({ spec }: Chunk): number {
    return Math.max(rankOrder[spec.rank], this.cluster.inheritedRank(spec.id));
  }

  /** Adds a chunk that is not stored yet, but whose job is. */
  acceptNewChunk(chunk: Chunk, now: number): void {
    chunk.isJobStored = true;
    this.addChunk(chunk, now);
    this.unsavedChunks.add(chunk);
    chunk.dirtySince ??= now;
  }

  /** Adds a chunk from its record, with all attempts that the previous leader may have started. */
  loadChunk(index: number, record: ChunkRecord, fencingToken: number, now: number): Chunk {
    const chunk = Chunk.load(index, record, now);
    for (const stored of record.attempts) {
      const machine = this.machines.get(stored.machine);
      // The machine has no record: a machine's last record is deleted only after the machine is gone.
      if (machine === undefined) continue;
      const attempt: Attempt = {
        ...stored,
        chunkVersion: 0,
        wasReported: false,
        isInherited: true,
        state: 'fetching',
        placedAt: now,
        runningSince: null,
        // Commands of the previous leader are refused once the worker has seen this leader's fencing token.
        startCommands: new StartCommands(fencingToken - 1),
        startSentInAnswer: false,
        stop: null,
      };
      chunk.attempts.set(stored.task, attempt);
      this.teamUsage.add(chunk.spec, 1);
      machine.place({ chunk, attempt });
      this.waitEstimates.invalidate();
    }
    if (chunk.attempts.size < record.attempts.length) this.unsavedChunks.add(chunk);
    this.addChunk(chunk, now);
    return chunk;
  }

  /** Drops a chunk that has migrated to another shard, and subtracts its work from the arrival rate. */
  migrateAway(chunk: Chunk, now: number): void {
    if (chunk.isDropped) return;
    this.demand.noteArrival(chunk, -1, now);
    this.dropChunk(chunk);
  }

  /** Removes a chunk that is no longer in this shard. */
  dropChunk(chunk: Chunk): void {
    // The same chunk may have come back in the meantime, and is then in the shard under the same id.
    if (chunk.isDropped) return;
    this.teamUsage.add(chunk.spec, -chunk.attempts.size);
    chunk.isDropped = true;
    chunk.bucket?.remove(chunk);
    this.chunks.delete(chunk.id);
    const chunksOfJob = this.chunksByJob.get(chunk.spec.id);
    if (chunksOfJob?.delete(chunk) === true && chunksOfJob.size === 0)
      this.chunksByJob.delete(chunk.spec.id);
    this.unsavedChunks.delete(chunk);
    this.finishedChunks.delete(chunk);
    for (const attempt of chunk.attempts.values()) {
      this.machines.get(attempt.machine)?.removePlacement(chunk.taskName(attempt.task));
    }
  }

  /**
   * Discards a chunk that its home shard has recorded as finished. This shard's leader may have loaded it from a record without
   * that state; the results of attempts that it has started since are not needed.
   */
  discardFinishedChunk(chunk: Chunk, now: number): void {
    if (chunk.isComplete || chunk.attempts.size === 0) this.dropChunk(chunk);
    else this.cancel(chunk, now);
  }

  /** Cancels a chunk once the cancellation of its job is stored. */
  cancel(chunk: Chunk, now: number): void {
    if (chunk.isCancelled) return;
    chunk.isCancelled = true;
    this.stopAllAttempts(chunk, now);
    this.noteChunkChanged(chunk, now);
  }

  /**
   * Prepares the cancellation of a chunk whose user has requested it, before that is stored: from now on none of its tasks
   * starts, and the running ones are stopped. This must not wait for the record, which may be stored while this node can't
   * read it.
   */
  prepareCancel(chunk: Chunk, now: number): void {
    if (chunk.cancellationPreparedAt === null && !chunk.isCancelled)
      this.stopAllAttempts(chunk, now);
    chunk.cancellationPreparedAt = now;
  }

  /** Resumes a chunk whose prepared cancellation was not stored. */
  abandonCancellation(chunk: Chunk): void {
    chunk.cancellationPreparedAt = null;
  }

  private stopAllAttempts(chunk: Chunk, now: number): void {
    for (const attempt of [...chunk.attempts.values()]) {
      const machine = this.machines.get(attempt.machine);
      if (machine === undefined) continue;
      this.requestStop(machine, attempt, 0);
      attempt.stop = { gracePeriod: 0, sentAt: null };
      const termination = AttemptTermination.byStartNeverSent(machine, attempt, now);
      if (termination !== null)
        this.terminateAttempt(machine, { chunk, attempt }, termination, now);
    }
  }

  // ---- Queue and capacity ----

  /** Chunks with pending tasks in queue order, with chunks within their team's guarantee first within a rank. */
  queuedChunks(): Chunk[] {
    const waiting = [...this.chunks.values()].filter((c) => c.pendingCount > 0);
    const entitled = new Set(waiting.filter((c) => this.teamUsage.isEntitled(c.spec)));
    return waiting.sort(
      (a, b) =>
        b.rank - a.rank ||
        Number(entitled.has(b)) - Number(entitled.has(a)) ||
        compareByQueueOrder(a, b),
    );
  }

  /** Number of tasks that are neither placed nor done. */
  get waitingTaskCount(): number {
    let count = 0;
    for (const chunk of this.chunks.values()) count += chunk.pendingCount;
    return count;
  }

  /** Share of the CPUs of responsive machines that is allocated; 1 without such machines. */
  get utilisation(): number {
    let total = 0;
    let allocated = 0;
    for (const machine of this.machines.values()) {
      if (!machine.isUp || machine.isUnresponsive) continue;
      total += machine.capacity.cpus;
      allocated += machine.allocatedCpus;
    }
    return total === 0 ? 1 : allocated / total;
  }

  /** CPUs of all machines that are neither lost nor unresponsive. */
  get cpus(): number {
    let total = 0;
    for (const machine of this.machines.values()) {
      if (!machine.isLost && !machine.isUnresponsive) total += machine.capacity.cpus;
    }
    return total;
  }
}
