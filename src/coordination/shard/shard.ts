/**
 * One shard: its machines, its queue and what runs where. No I/O: reports come in, orders and changed
 * records go out, and the clock is passed in.
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

/** Times in seconds, and how many machines a placement samples. */
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
  /** Chunks that changed and are not stored yet. */
  readonly unsavedChunks = new Set<Chunk>();
  /** Machines that should be sent orders now. */
  readonly machinesWithDueCommands = new Set<Machine>();
  /** Chunks whose tasks are all done or, cancelled, all over. */
  readonly finishedChunks = new Set<Chunk>();
  /** What should be rented for it, and what may be returned. */
  readonly demand: DemandEstimator;
  /** What teams' tasks use here. */
  readonly teamUsage: TeamUsage;
  readonly waitEstimates: WaitEstimates;
  readonly heartbeats: HeartbeatReconciler;
  readonly liveness: MachineLiveness;
  readonly scheduler: Scheduler;
  readonly unknownAttempts = new UnknownAttempts();
  /** The fencing tokens of the leadership. */
  fencingTokens = NO_LEADERSHIP;
  /** Tasks whose start is held back, as noted in the audit trail. */
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
   * `renewed`: until when another owner may have renewed the worker's lease; `ageWhenSeen`: seconds since the machine was
   * rented.
   */
  addMachine(
    name: string,
    record: MachineRecord,
    now: number,
    renewed = now,
    ageWhenSeen = 0,
  ): Machine {
    const known = this.machines.get(name);
    if (known !== undefined) {
      known.updateRecord(record);
      if (record.shard !== this.label) this.noteReassigned(known);
      return known;
    }
    const mayStart = (task: string, at: number): boolean => this.mayStart(task, at);
    const { heartbeatInterval } = this.options;
    const arrival = { ageWhenSeen, heartbeatInterval };
    const machine = new Machine(name, record, this.machineTypes, now, mayStart, arrival);
    machine.leaseRenewedAt = renewed;
    this.machines.set(name, machine);
    this.waitEstimates.invalidate();
    // Its attempts here may run, though the records have put it into another shard since they were started.
    if (record.shard !== this.label) this.noteReassigned(machine);
    return machine;
  }

  private noteReassigned(machine: Machine): void {
    if (machine.isReassigned) return;
    machine.isReassigned = true;
    this.waitEstimates.invalidate();
    this.machinesWithDueCommands.delete(machine);
    log.error(
      `shard ${this.label}: ${machine.name} is recorded for shard ${machine.recordedShard}; ` +
        `what may run there is kept until it is known to be over`,
    );
  }

  /** The machine is known to be gone, and everything on it. */
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

  /** Not while another attempt of the task runs on a machine of the shard: then what we know is wrong, and it waits. */
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

  /** Notes in the audit trail what must not happen (docs/safety.md). */
  reportInvariantViolation(invariant: Invariant, detail: string): void {
    this.audit.note({ event: 'invariant-violated', invariant, shard: this.label, detail });
  }

  /** A copy of a start was carried out though the worker was told to forget the attempt: it is ended as any unknown one. */
  noteReturnedAttempts(machine: Machine): void {
    for (const attempt of machine.acknowledgedAttempts.applyReport(machine.reportedAttempts)) {
      this.reportInvariantViolation(
        'acknowledged-attempt-returned',
        `${attempt} at ${machine.name}`,
      );
    }
  }

  /** The chunks of a job that are here; any of them may be at other shards. */
  chunksOf(job: string): Chunk[] {
    return [...(this.chunksByJob.get(job) ?? [])];
  }

  /** Has an attempt stopped, with so many seconds to save a checkpoint. */
  requestStop(machine: Machine, attempt: Attempt, gracePeriod: number): void {
    if (attempt.stop !== null) return;
    attempt.stop = { gracePeriod, sentAt: null };
    this.machinesWithDueCommands.add(machine);
  }

  /** Ends an entry whose attempt is over. */
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
    // A worker forgets what it has shown us only by our acknowledgement, or with its agent epoch; an adopter's acknowledgement has a higher fencing token.
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
    // One of a gang is over before its time: the others can do nothing without it, and start anew with it.
    if (!chunk.spec.isGang || chunk.isCancelRequested || chunk.doneTasks.has(attempt.task)) return;
    for (const other of chunk.attempts.values()) {
      const { checkpointInterval: checkpoint, checkpointDuration: save } = chunk.spec;
      const on = this.machines.get(other.machine);
      if (on !== undefined) this.requestStop(on, other, checkpoint > 0 ? save : 0);
    }
  }

  /** Something of the chunk has changed that has to be stored. */
  noteChunkChanged(chunk: Chunk, now: number): void {
    chunk.markChanged(now);
    if (chunk.isComplete || (chunk.isCancelled && chunk.attempts.size === 0))
      this.finishedChunks.add(chunk);
    else this.unsavedChunks.add(chunk);
  }

  /** One line for the log. */
  summary(now: number): string {
    const machines = [...this.machines.values()];
    const free = machines.filter((m) => m.isSchedulable(now)).reduce((n, m) => n + m.free.cpus, 0);
    const silent = machines
      .flatMap((m) => (m.isUp ? [] : [m.name]))
      .slice(0, 5)
      .join(' ');
    const count = (test: (m: Machine) => boolean): number => machines.filter(test).length;
    return (
      `shard ${this.label}: ${machines.length} machines, ${count((m) => !m.isUp)} not up (${silent}), ` +
      `${count((m) => m.isCordoned)} cordoned, ${count((m) => m.preemptionDeadline !== null)} with a preemption notice, ` +
      `${count((m) => m.quarantinedUntil > now)} quarantined, ${free} CPUs free, ${this.waitingTaskCount} tasks wait`
    );
  }

  // ---- Chunks ----

  /** Takes a chunk into the queue, whichever way it comes: it is asked here whether its job is being cancelled. */
  addChunk(chunk: Chunk, now: number): void {
    const replaced = this.chunks.get(chunk.id);
    this.chunks.set(chunk.id, chunk);
    const { id: job } = chunk.spec;
    const ofJob = this.chunksByJob.get(job) ?? new Set<Chunk>();
    if (replaced !== undefined) ofJob.delete(replaced);
    this.chunksByJob.set(job, ofJob.add(chunk));
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

  /** Jobs that need it have come, or are over. */
  updateRank(job: string): void {
    for (const chunk of this.chunksOf(job)) chunk.rank = this.rankOf(chunk);
  }

  private rankOf({ spec }: Chunk): number {
    return Math.max(rankOrder[spec.rank], this.cluster.inheritedRank(spec.id));
  }

  /** Takes in a chunk whose job is stored, and which is not yet itself. */
  acceptNewChunk(chunk: Chunk, now: number): void {
    chunk.isJobStored = true;
    this.addChunk(chunk, now);
    this.unsavedChunks.add(chunk);
    chunk.dirtySince ??= now;
  }

  /** Takes up a stored chunk, with all that its last owner may have started. */
  loadChunk(index: number, record: ChunkRecord, fencingToken: number, now: number): Chunk {
    const chunk = Chunk.load(index, record, now);
    for (const e of record.attempts) {
      const machine = this.machines.get(e.machine);
      // No record names it: the last one is deleted only after the machine is gone.
      if (machine === undefined) continue;
      const attempt: Attempt = {
        ...e,
        chunkVersion: 0,
        wasReported: false,
        isInherited: true,
        state: 'fetching',
        placedAt: now,
        runningSince: null,
        // Whatever the last owner sent is settled once the worker has seen our fencing token.
        startCommands: new StartCommands(fencingToken - 1),
        startSentInAnswer: false,
        stop: null,
      };
      chunk.attempts.set(e.task, attempt);
      this.teamUsage.add(chunk.spec, 1);
      machine.place({ chunk, attempt });
      this.waitEstimates.invalidate();
    }
    if (chunk.attempts.size < record.attempts.length) this.unsavedChunks.add(chunk);
    this.addChunk(chunk, now);
    return chunk;
  }

  /** It goes to another shard, and so does the work that had arrived with it. */
  migrateAway(chunk: Chunk, now: number): void {
    this.demand.noteArrival(chunk, -1, now);
    this.dropChunk(chunk);
  }

  /** The chunk is no longer of this shard. */
  dropChunk(chunk: Chunk): void {
    if (!chunk.isDropped) this.teamUsage.add(chunk.spec, -chunk.attempts.size);
    chunk.isDropped = true;
    chunk.bucket?.remove(chunk);
    this.chunks.delete(chunk.id);
    const ofJob = this.chunksByJob.get(chunk.spec.id);
    if (ofJob?.delete(chunk) === true && ofJob.size === 0) this.chunksByJob.delete(chunk.spec.id);
    this.unsavedChunks.delete(chunk);
    this.finishedChunks.delete(chunk);
    for (const attempt of chunk.attempts.values()) {
      this.machines.get(attempt.machine)?.removePlacement(chunk.taskName(attempt.task));
    }
  }

  /**
   * Its home has counted it as over. An adopter may have taken it up from a record that did not say so
   * yet; what it has started of it meanwhile is of no use.
   */
  discardFinishedChunk(chunk: Chunk, now: number): void {
    if (chunk.isComplete || chunk.attempts.size === 0) this.dropChunk(chunk);
    else this.cancel(chunk, now);
  }

  /** Its job's cancellation is stored. */
  cancel(chunk: Chunk, now: number): void {
    if (chunk.isCancelled) return;
    chunk.isCancelled = true;
    this.stopAllAttempts(chunk, now);
    this.noteChunkChanged(chunk, now);
  }

  /**
   * Its user has asked to cancel it, and that is about to be stored: nothing of it starts or runs from now
   * on. This must not wait for the record, which may be stored where this node can't read it any more.
   */
  prepareCancel(chunk: Chunk, now: number): void {
    if (chunk.cancellationPreparedAt === null && !chunk.isCancelled)
      this.stopAllAttempts(chunk, now);
    chunk.cancellationPreparedAt = now;
  }

  /** The cancellation did not come about. */
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

  // ---- Decisions ----

  /** What waits, in the order in which it is looked at. */
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

  /** Tasks that neither run nor are done. */
  get waitingTaskCount(): number {
    let count = 0;
    for (const chunk of this.chunks.values()) count += chunk.pendingCount;
    return count;
  }

  /** The share of the processors of its machines that is in use, of those that respond; 1 without any. */
  get utilisation(): number {
    let all = 0;
    let used = 0;
    for (const machine of this.machines.values()) {
      if (!machine.isUp || machine.isUnresponsive) continue;
      all += machine.capacity.cpus;
      used += machine.allocatedCpus;
    }
    return all === 0 ? 1 : used / all;
  }

  /** Processors of all of its machines but those that are lost or don't respond. */
  get cpus(): number {
    let all = 0;
    for (const machine of this.machines.values()) {
      if (!machine.isLost && !machine.isUnresponsive) all += machine.capacity.cpus;
    }
    return all;
  }
}
