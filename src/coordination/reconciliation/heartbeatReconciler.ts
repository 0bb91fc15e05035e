/** What workers' heartbeats say of machines and of the attempts that are, or may be, there. */
import type { Heartbeat, ReportedAttempt } from '../../protocol/workerProtocol.js';
import { AttemptTermination, type LeaseTimes } from './attemptTermination.js';
import type { Chunk, Attempt } from '../model/chunk.js';
import { attemptKey, EndedAttempt } from '../model/endedAttempt.js';
import type { Machine, Placement } from '../model/machine.js';
import type { UnknownAttempts } from './unknownAttempts.js';

/**
 * Where a heartbeat comes from: a worker's own, which may be late or get no answer; one that follows an
 * answer of ours on the same connection; the answer to a question or command of ours.
 */
export type HeartbeatOrigin = 'unsolicited' | 'follow-up' | 'response';

/** What a heartbeat says: nothing, since it is older than what is known; nothing new; or something new. */
export type HeartbeatEffect = 'stale' | 'unchanged' | 'changed';

/** Of a machine's pace, how much one task that has ended counts: one odd task says little. */
const SLOWNESS_WEIGHT = 0.25;

/** The slowest pace that is believed, as a ratio to what was expected. */
const MAX_SLOWNESS = 8;

/** Machines on which a job must have failed before the job is blamed, not they. */
const FAULTY_JOB_MACHINES = 3;

/** Jobs that must have failed in a row on a machine before the machine is blamed. */
const FAULTY_MACHINE_JOBS = 2;

/** What the reconciler needs of its shard. */
export interface HeartbeatReconcilerContext {
  readonly unknownAttempts: UnknownAttempts;
  /** The chunks of a job that are in the shard. */
  chunksOf(job: string): Chunk[];
  /** Records that a chunk has changed and has to be stored. */
  noteChunkChanged(chunk: Chunk, now: number): void;
  /** Reports attempts that are back although their worker has forgotten them. */
  noteReturnedAttempts(machine: Machine): void;
  /** Asks for the stop of an attempt, with seconds for its checkpoint. */
  requestStop(machine: Machine, attempt: Attempt, gracePeriod: number): void;
  /** Ends an attempt that is over. */
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

/** Reconciles what a shard knows of a machine with the heartbeats of its worker. */
export class HeartbeatReconciler {
  constructor(
    private readonly shard: HeartbeatReconcilerContext,
    private readonly options: LeaseTimes,
    private readonly runTimes: RunTimeStatistics,
  ) {}

  /**
   * Takes a worker's heartbeat. Most say nothing new, and nothing has to be decided anew for them: with
   * hundreds of machines that would be most of a node's work.
   */
  apply(
    machine: Machine,
    heartbeat: Heartbeat,
    now: number,
    origin: HeartbeatOrigin,
  ): HeartbeatEffect {
    if (!machine.isNewer(heartbeat)) return 'stale';
    const before = machine.isSchedulable(now);
    const isUnsolicited = origin !== 'response';
    const newSession =
      heartbeat.agentEpoch > machine.agentEpoch && machine.reachability.lastHeartbeatAt !== null;
    const isFirstOfSession = newSession || machine.reachability.lastHeartbeatAt === null;
    // The first that is known stays: a late copy must not send orders elsewhere.
    if (machine.address === '') machine.address = heartbeat.address;
    machine.agentEpoch = heartbeat.agentEpoch;
    machine.heartbeatSequence = heartbeat.heartbeatSequence;
    machine.highestFencingToken = Math.max(
      machine.highestFencingToken,
      heartbeat.highestFencingToken,
    );
    // At once, not with the next sweep: a machine that has just come up is waited for.
    machine.reachability.noteHeartbeat(now, isUnsolicited);
    if (origin !== 'unsolicited') machine.markReached(now);
    machine.preemptionDeadline =
      heartbeat.preemptionWarning === null ? null : now + heartbeat.preemptionWarning;
    const changed = machine.updateReportedAttempts(heartbeat.attempts);
    if (newSession) machine.endedAttempts.clear();
    this.reviewEndedAttempts(machine, isUnsolicited);
    for (const placement of [...machine.placements.values()]) {
      this.reconcileAttempt(machine, placement, isUnsolicited, now);
    }
    if (changed) {
      this.shard.unknownAttempts.update(machine);
      this.shard.noteReturnedAttempts(machine);
    }
    this.claimOrphanedResults(machine, now);
    // A worker's lease counts from when its agent epoch began, also one that reaches no controller and only answers.
    if (isFirstOfSession && machine.placements.size === 0)
      machine.leaseRenewedAt = Math.max(machine.leaseRenewedAt, now);
    if (machine.preemptionDeadline !== null) this.checkpointBeforePreemption(machine, now);
    if (machine.placements.size > 0) machine.idleSince = now;
    const news = changed || newSession || before !== machine.isSchedulable(now);
    return news ? 'changed' : 'unchanged';
  }

  /** Ended attempts that the worker has forgotten; the others wait for what a start of them may still do. */
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

  /** What a newer heartbeat says of one attempt. */
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

  /** It is there, and not over. */
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

  /** The worker says that it has ended, and why. */
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
      // The description is on its way, or the user never sent it: try again, but not at once.
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
      // A machine's own pace, slowly followed.
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

  /** The attempt's end stays in the worker's reports until it may be forgotten. */
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
    // Several jobs failing on one machine point at the machine; one job failing on several machines
    // points at the job. Neither takes the other's good name with it.
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

  /** A done attempt of ours that an earlier owner started and we hold no entry for. */
  private claimOrphanedResults(machine: Machine, now: number): void {
    for (const { task, attemptNumber, state, cause } of machine.reportedAttempts.all) {
      if (state !== 'ended' || cause !== 'done') continue;
      const key = attemptKey(task, attemptNumber);
      if (machine.placements.has(task) || machine.endedAttempts.has(key)) continue;
      const slash = task.lastIndexOf('/');
      const number = Number(task.slice(slash + 1));
      for (const chunk of this.shard.chunksOf(task.slice(0, slash))) {
        if (number < chunk.firstTask || number >= chunk.endTask || chunk.doneTasks.has(number))
          continue;
        if (chunk.attempts.has(number)) continue;
        chunk.doneTasks.add(number);
        this.shard.noteChunkChanged(chunk, now);
        machine.endedAttempts.set(key, new EndedAttempt(chunk, now, false, null));
      }
    }
  }

  private checkpointBeforePreemption(machine: Machine, now: number): void {
    for (const { chunk, attempt } of machine.placements.values()) {
      if (attempt.stop !== null || chunk.isCancelRequested) continue;
      const left = (machine.preemptionDeadline ?? now) - now;
      const {
        isService: service,
        checkpointInterval: checkpoint,
        checkpointDuration: save,
      } = chunk.spec;
      // Without a checkpoint stopping gains nothing, save that a replica's successor starts sooner.
      const worth =
        service || (checkpoint > 0 && left <= save + 2 * this.options.heartbeatInterval);
      if (worth) this.shard.requestStop(machine, attempt, checkpoint > 0 ? save : 0);
    }
  }
}
