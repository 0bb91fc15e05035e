/** Applies workers' heartbeats to a shard's state of its machines and of the attempts that are, or may be, on them. */
import type { Heartbeat, ReportedAttempt } from '../../protocol/workerProtocol.js';
import { AttemptTermination, type LeaseTimes } from './attemptTermination.js';
import type { Chunk, Attempt } from '../model/chunk.js';
import { attemptKey, EndedAttempt } from '../model/endedAttempt.js';
import type { Machine, Placement } from '../model/machine.js';
import type { UnknownAttempts } from './unknownAttempts.js';

/**
 * How a heartbeat was received. `unsolicited`: sent by the worker on its own; it may be late or stay unanswered.
 * `follow-up`: follows an answer of this node on the same connection. `response`: responds to a probe or command.
 */
export type HeartbeatOrigin = 'unsolicited' | 'follow-up' | 'response';

/** The effect of a heartbeat. `stale`: not newer than the last; `unchanged`: reports no change; `changed`: reports one. */
export type HeartbeatEffect = 'stale' | 'unchanged' | 'changed';

/** Weight of one completed task in the moving average of a machine's slowness: one outlier is not significant. */
const SLOWNESS_WEIGHT = 0.25;

/** Upper bound of a task's measured slowness, as a ratio of its actual to its expected run time. */
const MAX_SLOWNESS = 8;

/** Machines on which a job must have failed before the job, and not the machines, counts as faulty. */
const FAULTY_JOB_MACHINES = 3;

/** Jobs that must have failed in a row on a machine before the machine counts as faulty. */
const FAULTY_MACHINE_JOBS = 2;

/** The parts of a shard that the reconciler uses. */
export interface HeartbeatReconcilerContext {
  readonly unknownAttempts: UnknownAttempts;
  /** The chunks of a job that are in the shard. */
  chunksOf(job: string): Chunk[];
  /** Records that a chunk has changed and has to be stored. */
  noteChunkChanged(chunk: Chunk, now: number): void;
  /** Reports a violated invariant for attempts that a worker reports again after it has forgotten them. */
  noteReturnedAttempts(machine: Machine): void;
  /** Requests the stop of an attempt, with seconds for its checkpoint. */
  requestStop(machine: Machine, attempt: Attempt, gracePeriod: number): void;
  /** Removes an attempt that has terminated. */
  terminateAttempt(
    machine: Machine,
    placement: Placement,
    termination: AttemptTermination,
    now: number,
  ): void;
}

/** Expected and actual run times of tasks, in seconds, by the class of their job. */
export interface RunTimeStatistics {
  /** The user's estimate, corrected by what was measured of the class. */
  expected(jobClass: string, estimate: number): number;
  /** Records the run time of a task that has completed. */
  record(jobClass: string, estimate: number, actual: number): void;
}

/** Reconciles a shard's state of a machine with the heartbeats of its worker. */
export class HeartbeatReconciler {
  constructor(
    private readonly shard: HeartbeatReconcilerContext,
    private readonly options: LeaseTimes,
    private readonly runTimes: RunTimeStatistics,
  ) {}

  /**
   * Applies a worker's heartbeat. Most report no change and trigger no scheduling round: with hundreds of machines, that
   * would be most of a node's work.
   */
  apply(
    machine: Machine,
    heartbeat: Heartbeat,
    now: number,
    origin: HeartbeatOrigin,
  ): HeartbeatEffect {
    if (!machine.isNewer(heartbeat)) return 'stale';
    const wasSchedulable = machine.isSchedulable(now);
    const isUnsolicited = origin !== 'response';
    const isNewEpoch =
      heartbeat.agentEpoch > machine.agentEpoch && machine.reachability.lastHeartbeatAt !== null;
    const isFirstOfEpoch = isNewEpoch || machine.reachability.lastHeartbeatAt === null;
    // The first non-empty address is kept: a late copy must not divert commands.
    if (machine.address === '') machine.address = heartbeat.address;
    machine.agentEpoch = heartbeat.agentEpoch;
    machine.heartbeatSequence = heartbeat.heartbeatSequence;
    machine.highestFencingToken = Math.max(
      machine.highestFencingToken,
      heartbeat.highestFencingToken,
    );
    // Applied here and not in the next sweep, since work may be waiting for a machine that has just come up.
    machine.reachability.noteHeartbeat(now, isUnsolicited);
    if (origin !== 'unsolicited') machine.markReached(now);
    machine.preemptionDeadline =
      heartbeat.preemptionWarning === null ? null : now + heartbeat.preemptionWarning;
    const changed = machine.updateReportedAttempts(heartbeat.attempts);
    if (isNewEpoch) machine.endedAttempts.clear();
    this.reviewEndedAttempts(machine, isUnsolicited);
    for (const placement of [...machine.placements.values()]) {
      this.reconcileAttempt(machine, placement, isUnsolicited, now);
    }
    if (changed) {
      this.shard.unknownAttempts.update(machine);
      this.shard.noteReturnedAttempts(machine);
    }
    this.claimOrphanedResults(machine, now);
    // A worker's lease counts from the start of its agent epoch, also if the worker reaches no controller and only responds
    // to probes.
    if (isFirstOfEpoch && machine.placements.size === 0)
      machine.leaseRenewedAt = Math.max(machine.leaseRenewedAt, now);
    if (machine.preemptionDeadline !== null) this.checkpointBeforePreemption(machine, now);
    if (machine.placements.size > 0) machine.idleSince = now;
    const hasNews = changed || isNewEpoch || wasSchedulable !== machine.isSchedulable(now);
    return hasNews ? 'changed' : 'unchanged';
  }

  /**
   * Removes ended attempts that the worker no longer reports. For the others, an unsolicited heartbeat settles starts sent
   * in an answer.
   */
  private reviewEndedAttempts(machine: Machine, isUnsolicited: boolean): void {
    if (machine.endedAttempts.size === 0) return;
    const reported = new Set(
      machine.reportedAttempts.all.map((t) => attemptKey(t.task, t.attemptNumber)),
    );
    for (const [key, endedAttempt] of machine.endedAttempts) {
      if (!reported.has(key)) machine.endedAttempts.delete(key);
      else if (isUnsolicited) endedAttempt.startSentInAnswer = false;
    }
  }

  /** Applies a newer heartbeat to one attempt. */
  private reconcileAttempt(
    machine: Machine,
    placement: Placement,
    isUnsolicited: boolean,
    now: number,
  ): void {
    const { chunk, attempt } = placement;
    if (isUnsolicited) attempt.startSentInAnswer = false;
    const termination = AttemptTermination.byHeartbeat(machine, placement, now);
    const reportedAttempt = machine.reportedAttempts.find(
      chunk.taskName(attempt.task),
      attempt.attemptNumber,
    );
    if (reportedAttempt === undefined || termination?.rule === 'new-agent-epoch') {
      if (termination !== null) this.shard.terminateAttempt(machine, placement, termination, now);
    } else if (termination === null) this.noteProgress(machine, placement, reportedAttempt, now);
    else this.endAttempt(machine, placement, reportedAttempt, termination, now);
  }

  /** Records that the attempt is reported and has not ended. */
  private noteProgress(
    machine: Machine,
    { chunk, attempt }: Placement,
    reportedAttempt: ReportedAttempt,
    now: number,
  ): void {
    attempt.wasReported = true;
    if (reportedAttempt.state === 'running' && attempt.state !== 'running') {
      attempt.runningSince = now;
      machine.noteImage(chunk.spec.image, chunk.spec.imageGb);
    }
    attempt.state = reportedAttempt.state;
  }

  /** Handles an attempt that the worker reports as ended, by the cause of its end. */
  private endAttempt(
    machine: Machine,
    placement: Placement,
    reportedAttempt: ReportedAttempt,
    termination: AttemptTermination,
    now: number,
  ): void {
    const { chunk, attempt } = placement;
    attempt.wasReported = true;
    if (reportedAttempt.cause === 'done') this.completeTask(machine, placement, termination, now);
    else {
      if (reportedAttempt.cause === 'error') this.noteFailure(machine, chunk, now);
      if (reportedAttempt.cause === 'no_room' || reportedAttempt.cause === 'busy') {
        machine.quarantinedUntil = now + this.options.heartbeatInterval;
      }
      // The worker lacks the job's description: it is still on its way, or the user never sent it. Retry, but not at once.
      if (reportedAttempt.cause === 'unknown') this.backOff(chunk, now);
      this.shard.terminateAttempt(machine, placement, termination, now);
    }
    this.rememberEndedAttempt(machine, chunk, attempt, now);
  }

  private completeTask(
    machine: Machine,
    placement: Placement,
    termination: AttemptTermination,
    now: number,
  ): void {
    const { chunk, attempt } = placement;
    if (attempt.runningSince !== null) {
      const actual = now - attempt.runningSince;
      const expected = this.runTimes.expected(chunk.spec.jobClass, chunk.spec.expectedRunSeconds);
      this.runTimes.record(chunk.spec.jobClass, chunk.spec.expectedRunSeconds, actual);
      // Moving average of the machine's slowness.
      if (expected > 0) {
        machine.slowness +=
          SLOWNESS_WEIGHT * (Math.min(MAX_SLOWNESS, actual / expected) - machine.slowness);
      }
    }
    machine.failedJobs.clear();
    chunk.failureCount = 0;
    chunk.failedMachines.clear();
    chunk.doneTasks.add(attempt.task);
    this.shard.terminateAttempt(machine, placement, termination, now);
  }

  /** Keeps the ended attempt: its worker reports it until it receives the acknowledgement. */
  private rememberEndedAttempt(
    machine: Machine,
    chunk: Chunk,
    attempt: Attempt,
    now: number,
  ): void {
    const { attemptNumber, task, startCommands, startSentInAnswer } = attempt;
    const endedAttempt = new EndedAttempt(chunk, now, startSentInAnswer, startCommands);
    machine.endedAttempts.set(attemptKey(chunk.taskName(task), attemptNumber), endedAttempt);
  }

  private noteFailure(machine: Machine, chunk: Chunk, now: number): void {
    machine.failedJobs.add(chunk.spec.id);
    chunk.failureCount++;
    chunk.failedMachines.add(machine.name);
    // Several jobs failing on one machine point to a faulty machine; one job failing on several machines points to a faulty
    // job. Neither counts against the other.
    const jobIsBad = chunk.failedMachines.size >= FAULTY_JOB_MACHINES;
    if (jobIsBad) machine.failedJobs.delete(chunk.spec.id);
    if (machine.failedJobs.size >= FAULTY_MACHINE_JOBS) {
      machine.quarantinedUntil = now + this.options.workerLease * machine.failedJobs.size;
    }
    this.backOff(chunk, now);
  }

  private backOff(chunk: Chunk, now: number): void {
    const steps = Math.min(5, chunk.failedMachines.size);
    chunk.retryNotBefore = now + (this.options.heartbeatInterval / 4) * 2 ** steps;
  }

  /** Records tasks as done that the worker reports as completed by attempts of an earlier leader without an entry here. */
  private claimOrphanedResults(machine: Machine, now: number): void {
    for (const { task, attemptNumber, state, cause } of machine.reportedAttempts.all) {
      if (state !== 'ended' || cause !== 'done') continue;
      const key = attemptKey(task, attemptNumber);
      if (machine.placements.has(task) || machine.endedAttempts.has(key)) continue;
      const slash = task.lastIndexOf('/');
      const taskIndex = Number(task.slice(slash + 1));
      for (const chunk of this.shard.chunksOf(task.slice(0, slash))) {
        if (
          taskIndex < chunk.firstTask ||
          taskIndex >= chunk.endTask ||
          chunk.doneTasks.has(taskIndex)
        )
          continue;
        if (chunk.attempts.has(taskIndex)) continue;
        chunk.doneTasks.add(taskIndex);
        this.shard.noteChunkChanged(chunk, now);
        machine.endedAttempts.set(key, new EndedAttempt(chunk, now, false, null));
      }
    }
  }

  private checkpointBeforePreemption(machine: Machine, now: number): void {
    for (const { chunk, attempt } of machine.placements.values()) {
      if (attempt.stop !== null || chunk.isCancelRequested) continue;
      const left = (machine.preemptionDeadline ?? now) - now;
      const { isService, checkpointInterval, checkpointDuration } = chunk.spec;
      // Without a checkpoint a stop gains nothing, except that the successor of a service replica starts sooner.
      const isWorthStopping =
        isService ||
        (checkpointInterval > 0 && left <= checkpointDuration + 2 * this.options.heartbeatInterval);
      if (isWorthStopping)
        this.shard.requestStop(machine, attempt, checkpointInterval > 0 ? checkpointDuration : 0);
    }
  }
}
