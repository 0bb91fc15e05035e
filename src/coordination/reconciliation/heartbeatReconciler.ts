/** What workers' reports say of machines and of the attempts that are, or may be, there. */
import type { Heartbeat, ReportedAttempt } from '../../protocol/workerProtocol.js';
import { AttemptTermination } from './attemptTermination.js';
import type { Chunk, Attempt } from '../shard/chunk.js';
import type { RunTimes } from '../scheduling/runTimes.js';
import { attemptKey, type Machine, type Placement } from '../shard/machine.js';
import type { Shard, ShardOptions } from '../shard/shard.js';

/**
 * Where a report comes from: a worker's own, which may be late or get no answer; one that follows an
 * answer of ours on the same connection; the answer to a question or command of ours.
 */
export type HeartbeatOrigin = 'report' | 'follow' | 'answer';

/** What a report says: nothing, since it is older than what is known; nothing new; or something new. */
export type HeartbeatEffect = 'older' | 'as before' | 'news';

/** Of a machine's pace, how much one task that has ended counts: one odd task says little. */
const SLOWNESS_WEIGHT = 0.25;

/** The slowest pace that is believed, as a ratio to what was expected. */
const MAX_SLOWNESS = 8;

/** Machines on which a job must have failed before the job is blamed, not they. */
const FAULTY_JOB_MACHINES = 3;

/** Jobs that must have failed in a row on a machine before the machine is blamed. */
const FAULTY_MACHINE_JOBS = 2;

export class HeartbeatReconciler {
  constructor(
    private readonly part: Pick<
      Shard,
      'chunks' | 'chunksOf' | 'changed' | 'pendingCommands' | 'release' | 'stop' | 'strangers'
    >,
    private readonly options: Pick<ShardOptions, 'lease' | 'report'>,
    private readonly runTimes: RunTimes,
  ) {}

  /**
   * Takes a worker's report. Most say nothing new, and nothing has to be decided anew for them: with
   * hundreds of machines that would be most of a node's work.
   */
  apply(machine: Machine, report: Heartbeat, now: number, from: HeartbeatOrigin): HeartbeatEffect {
    if (!machine.isNewer(report)) return 'older';
    const before = machine.usable(now);
    const isHello = from !== 'answer';
    const newSession = report.session > machine.session && machine.heard !== null;
    const isFirstOfSession = newSession || machine.heard === null;
    // The first that is known stays: a late copy must not send orders elsewhere.
    if (machine.address === '') machine.address = report.address;
    machine.session = report.session;
    machine.tick = report.tick;
    machine.seenToken = Math.max(machine.seenToken, report.token);
    machine.heard = now;
    // At once, not with the next sweep: a machine that has just come up is waited for.
    if (isHello) [machine.reportedAt, machine.cutOff] = [now, false];
    if (from !== 'report') machine.noteReached(now);
    machine.goneBy = report.warning === null ? null : now + report.warning;
    const changed = machine.noteTasks(report.tasks);
    if (newSession) machine.leftovers.clear();
    this.reviewLeftovers(machine, isHello);
    for (const placed of [...machine.entries.values()]) {
      this.settle(machine, placed, isHello, now);
    }
    if (changed) this.part.strangers.note(machine);
    this.claimOrphans(machine, now);
    // A worker's lease counts from when its session began, also one that reaches no controller and only answers.
    if (isFirstOfSession && machine.entries.size === 0)
      machine.renewed = Math.max(machine.renewed, now);
    if (machine.goneBy !== null) this.drain(machine, now);
    if (machine.entries.size > 0) machine.idleSince = now;
    const news = changed || newSession || before !== machine.usable(now);
    return news ? 'news' : 'as before';
  }

  /** Ended attempts that the worker has forgotten; the others wait for what a start of them may still do. */
  private reviewLeftovers(machine: Machine, isHello: boolean): void {
    if (machine.leftovers.size === 0) return;
    const reported = new Set(machine.tasks.all.map((t) => attemptKey(t.task, t.attempt)));
    for (const [key, leftover] of machine.leftovers) {
      if (!reported.has(key)) machine.leftovers.delete(key);
      else if (isHello) leftover.sentInAnswer = false;
    }
  }

  /** What a newer report says of one attempt. */
  private settle(machine: Machine, placed: Placement, isHello: boolean, now: number): void {
    const { chunk, entry } = placed;
    if (isHello) entry.sentInAnswer = false;
    const over = AttemptTermination.byReport(machine, placed, now);
    const report = machine.tasks.find(chunk.taskName(entry.task), entry.attempt);
    if (report === undefined || over?.rule === 'new-session') {
      if (over !== null) this.part.release(machine, placed, over, now);
    } else if (over === null) this.progress(machine, placed, report, now);
    else this.end(machine, placed, report, over, now);
  }

  /** It is there, and not over. */
  private progress(
    machine: Machine,
    { chunk, entry }: Placement,
    report: ReportedAttempt,
    now: number,
  ): void {
    entry.seen = true;
    if (report.state === 'running' && entry.state !== 'running') {
      entry.runningSince = now;
      machine.noteImage(chunk.spec.image, chunk.spec.imageGb);
    }
    entry.state = report.state;
  }

  /** The worker says that it has ended, and why. */
  private end(
    machine: Machine,
    placed: Placement,
    report: ReportedAttempt,
    over: AttemptTermination,
    now: number,
  ): void {
    const { chunk, entry } = placed;
    entry.seen = true;
    if (report.cause === 'done') this.finish(machine, placed, over, now);
    else {
      if (report.cause === 'error') this.noteFailure(machine, chunk, now);
      if (report.cause === 'no_room' || report.cause === 'busy') {
        machine.shunnedUntil = now + this.options.report;
      }
      // The description is on its way, or the user never sent it: try again, but not at once.
      if (report.cause === 'unknown') this.backOff(chunk, now);
      this.part.release(machine, placed, over, now);
    }
    this.leave(machine, chunk, entry, now);
  }

  private finish(machine: Machine, placed: Placement, over: AttemptTermination, now: number): void {
    const { chunk, entry } = placed;
    if (entry.runningSince !== null) {
      const actual = now - entry.runningSince;
      const expected = this.runTimes.expected(chunk.spec.jobClass, chunk.spec.expect);
      this.runTimes.note(chunk.spec.jobClass, chunk.spec.expect, actual);
      // A machine's own pace, slowly followed.
      if (expected > 0) {
        machine.slowness +=
          SLOWNESS_WEIGHT * (Math.min(MAX_SLOWNESS, actual / expected) - machine.slowness);
      }
    }
    machine.failedJobs.clear();
    chunk.failures = 0;
    chunk.failedOn.clear();
    chunk.done.add(entry.task);
    this.part.release(machine, placed, over, now);
  }

  /** The attempt's end stays in the worker's reports until it may be forgotten. */
  private leave(machine: Machine, chunk: Chunk, entry: Attempt, now: number): void {
    const version = chunk.version;
    const { attempt, task, doubt, sentInAnswer } = entry;
    const leftover = {
      since: now,
      sentInAnswer,
      isInDoubt: (): boolean => doubt.isOpen(machine.seenToken),
      // Its end must be stored first; and a start that may still come would run it once more.
      mayReap: (): boolean =>
        (chunk.stored >= version || chunk.dropped) &&
        !leftover.isInDoubt() &&
        !leftover.sentInAnswer,
    };
    machine.leftovers.set(attemptKey(chunk.taskName(task), attempt), leftover);
  }

  private noteFailure(machine: Machine, chunk: Chunk, now: number): void {
    machine.failedJobs.add(chunk.spec.id);
    chunk.failures++;
    chunk.failedOn.add(machine.name);
    // Several jobs failing on one machine point at the machine; one job failing on several machines
    // points at the job. Neither takes the other's good name with it.
    const jobIsBad = chunk.failedOn.size >= FAULTY_JOB_MACHINES;
    if (jobIsBad) machine.failedJobs.delete(chunk.spec.id);
    if (machine.failedJobs.size >= FAULTY_MACHINE_JOBS) {
      machine.shunnedUntil = now + this.options.lease * machine.failedJobs.size;
    }
    this.backOff(chunk, now);
  }

  private backOff(chunk: Chunk, now: number): void {
    const steps = Math.min(5, chunk.failedOn.size);
    chunk.notBefore = now + (this.options.report / 4) * 2 ** steps;
  }

  /** A done attempt of ours that an earlier owner started and we hold no entry for. */
  private claimOrphans(machine: Machine, now: number): void {
    for (const { task, attempt, state, cause } of machine.tasks.all) {
      if (state !== 'ended' || cause !== 'done') continue;
      const key = attemptKey(task, attempt);
      if (machine.entries.has(task) || machine.leftovers.has(key)) continue;
      const slash = task.lastIndexOf('/');
      const number = Number(task.slice(slash + 1));
      for (const chunk of this.part.chunksOf(task.slice(0, slash))) {
        if (number < chunk.from || number >= chunk.to || chunk.done.has(number)) continue;
        if (chunk.entries.has(number)) continue;
        chunk.done.add(number);
        this.part.changed(chunk, now);
        const version = chunk.version;
        machine.leftovers.set(key, {
          since: now,
          sentInAnswer: false,
          isInDoubt: () => false,
          mayReap: () => chunk.stored >= version || chunk.dropped,
        });
      }
    }
  }

  private drain(machine: Machine, now: number): void {
    for (const { chunk, entry } of machine.entries.values()) {
      if (entry.stop !== null || chunk.unwanted) continue;
      const left = (machine.goneBy ?? now) - now;
      const { service, checkpoint, save } = chunk.spec;
      // Without a checkpoint stopping gains nothing, save that a replica's successor starts sooner.
      const worth = service || (checkpoint > 0 && left <= save + 2 * this.options.report);
      if (worth) this.part.stop(machine, entry, checkpoint > 0 ? save : 0);
    }
  }
}
