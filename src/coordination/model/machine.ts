import type { Command, Heartbeat, ReportedAttempt } from '../../protocol/workerProtocol.js';
import type { MachineType } from '../../protocol/cloudProtocol.js';
import type { MachineRecord } from '../../storage/records.js';
import type { Chunk, Attempt } from './chunk.js';
import { subtractResources, type Resources } from './resources.js';
import { ReportedAttempts } from './reportedAttempts.js';

/** An ended attempt that the worker still reports, and from when on it may be forgotten. */
export interface EndedAttempt {
  /** Steady time at which its end was heard of. */
  endedAt: number;
  /** A start of it rides in the answer to a report: the worker's next report settles that. */
  startSentInAnswer: boolean;
  mayAcknowledge: () => boolean;
  /** A start of it may still be carried out. */
  hasUnacknowledgedStart: () => boolean;
}

/** One attempt of one task. */
export const attemptKey = (task: string, attemptNumber: number): string =>
  `${task}#${attemptNumber}`;

export interface Placement {
  chunk: Chunk;
  attempt: Attempt;
}

interface Occupancy {
  machineType: MachineType | undefined;
  free: Resources;
  serviceCpus: number;
  allocatedCpus: number;
}

const NO_RESOURCES: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };

/** One machine of a part, as its worker last reported it. */
export class Machine {
  address = '';
  agentEpoch = 0;
  heartbeatSequence = -1;
  highestFencingToken = 0;
  /** Steady time of the last report; null before the first one. */
  lastHeartbeatAt: number | null = null;
  /**
   * Steady time of the last proof that something of ours arrived there. Being heard is not being
   * reachable: a report may be a late copy, or come from a machine that gets no answer.
   */
  lastReachedAt: number | null = null;
  /** Until when, at most, its worker's lease may have been renewed by an answer: ours or another's. */
  leaseRenewedAt: number;
  /** Steady time at which the cloud will take it; null without a notice. */
  preemptionDeadline: number | null = null;
  private latestReport = new ReportedAttempts();
  private readonly placementsByTask = new Map<string, Placement>();
  /** What `free` and `live` were last worked out from; placement asks for them far more often than they change. */
  private cachedOccupancy: Occupancy | null = null;
  /** By `attemptKey`: a task may have ended here more than once. */
  readonly endedAttempts = new Map<string, EndedAttempt>();
  /** Images seen here, oldest use first. */
  private readonly images = new Map<string, number>();
  slowness = 1;
  /** Distinct jobs whose tasks failed here in a row. */
  readonly failedJobs = new Set<string>();
  /** Nothing is placed before this time. */
  quarantinedUntil = 0;
  /** Offered back to the cloud: nothing is placed here any more. */
  isCordoned = false;
  /** Given up as lost; release is asked for. */
  isLost = false;
  /** That its release is asked for was noted in the audit trail. */
  isReleaseRequested = false;
  idleSince: number;
  hasCommandInFlight = false;
  /** Steady time of the last report that its worker sent by itself. */
  lastUnsolicitedHeartbeatAt: number | null = null;
  /**
   * It answers, but its worker reaches no controller: answers do not renew its lease, so whatever starts there
   * is killed within one.
   */
  isPartitioned = false;
  /** Questions in a row that it has not answered. */
  missedProbes = 0;
  /** When the first of them was sent. */
  firstMissedProbeAt: number | null = null;
  isProbeInFlight = false;
  /** When it was last asked a question. */
  lastProbeAt = -Infinity;
  /** Since when a start sent here is without an answer. */
  unacknowledgedStartSince: number | null = null;

  constructor(
    readonly name: string,
    private record: MachineRecord,
    private readonly machineTypes: () => Map<string, MachineType>,
    now: number,
    /** Whether a start of the task may leave. */
    private readonly mayStart: (task: string, now: number) => boolean = () => true,
  ) {
    this.leaseRenewedAt = now;
    this.address = record.address ?? '';
    this.idleSince = now;
    this.firstSeenAt = now;
  }

  readonly firstSeenAt: number;

  /** Time of day at which it was rented, or first heard of. */
  get launchedAt(): number {
    return this.record.launchedAt;
  }

  /** Its record has changed: an address has come. */
  updateRecord(record: MachineRecord): void {
    this.record = record;
    if (this.address === '') this.address = record.address ?? '';
  }

  /**
   * Looked up each time: after a restart machines are loaded before the cloud has told its types, and
   * a machine that kept "unknown" would never be given work again.
   */
  get machineType(): MachineType | undefined {
    return this.machineTypes().get(this.record.type);
  }

  get type(): string {
    return this.record.type;
  }
  get zone(): string {
    return this.record.zone;
  }
  get spot(): boolean {
    return this.record.spot;
  }
  get isUp(): boolean {
    return this.lastReachedAt !== null && !this.isLost;
  }
  /** It reports, perhaps, but does not answer: its lease is running out, and it gets no work. */
  get isUnresponsive(): boolean {
    return this.missedProbes >= 2;
  }

  get capacity(): Resources {
    return this.machineType ?? NO_RESOURCES;
  }

  /** The attempts of ours that are, or may be, here. */
  get placements(): ReadonlyMap<string, Placement> {
    return this.placementsByTask;
  }

  place(placement: Placement): void {
    this.placementsByTask.set(placement.chunk.taskName(placement.attempt.task), placement);
    this.cachedOccupancy = null;
  }

  removePlacement(task: string): void {
    this.placementsByTask.delete(task);
    this.cachedOccupancy = null;
  }

  /** All tasks that the worker last reported. */
  get reportedAttempts(): ReportedAttempts {
    return this.latestReport;
  }

  /** Gives false when nothing has changed, as in most reports. */
  updateReportedAttempts(tasks: ReportedAttempt[]): boolean {
    if (this.latestReport.isSameAs(tasks)) return false;
    this.latestReport = new ReportedAttempts(tasks);
    this.cachedOccupancy = null;
    return true;
  }

  /** Room left beside everything that is or may still be here. */
  get free(): Readonly<Resources> {
    return this.occupancy.free;
  }

  /** Processors that live services have here. */
  get serviceCpus(): number {
    return this.occupancy.serviceCpus;
  }

  /** Processors that tasks of ours have here. */
  get allocatedCpus(): number {
    return this.occupancy.allocatedCpus;
  }

  private get occupancy(): Occupancy {
    const { machineType: shape } = this;
    if (this.cachedOccupancy !== null && this.cachedOccupancy.machineType === shape)
      return this.cachedOccupancy;
    let free = { ...this.capacity };
    let serviceCpus = 0;
    let allocatedCpus = 0;
    for (const { chunk } of this.placementsByTask.values()) {
      subtractResources(free, chunk.spec);
      allocatedCpus += chunk.spec.cpus;
      if (chunk.spec.isService) serviceCpus += chunk.spec.cpus;
    }
    // A stranger (an attempt we know nothing of) takes room that we can't measure.
    if (this.latestReport.all.some((reportedAttempt) => this.isUnknownAttempt(reportedAttempt)))
      free = NO_RESOURCES;
    this.cachedOccupancy = { machineType: shape, free, serviceCpus, allocatedCpus };
    return this.cachedOccupancy;
  }

  /**
   * Something can't go on before the doubt of a start here is settled: an attempt that no report shows can't be given up,
   * or one that ended before `leftSince` can't be reaped.
   */
  isBlockedByUnacknowledgedStart(leftSince: number): boolean {
    for (const [task, { attempt }] of this.placementsByTask) {
      const isGone = this.reportedAttempts.find(task, attempt.attemptNumber) === undefined;
      if (!isGone || (!attempt.wasReported && attempt.stop === null)) continue;
      if (attempt.unacknowledgedStart.mayStillExecute(this.highestFencingToken)) return true;
    }
    for (const endedAttempt of this.endedAttempts.values()) {
      if (endedAttempt.endedAt < leftSince && endedAttempt.hasUnacknowledgedStart()) return true;
    }
    return false;
  }

  /** Attempts that run here, and of which the part knows nothing. */
  get unknownAttempts(): ReportedAttempt[] {
    return this.latestReport.all.filter((reportedAttempt) =>
      this.isUnknownAttempt(reportedAttempt),
    );
  }

  /** An attempt that is there, and not by our word. */
  private isUnknownAttempt({ task, attemptNumber, state }: ReportedAttempt): boolean {
    return (
      state !== 'ended' && this.placementsByTask.get(task)?.attempt.attemptNumber !== attemptNumber
    );
  }

  /** Something of ours has arrived there: it is trusted, whatever was thought of it. */
  markReached(now: number): void {
    this.lastReachedAt = now;
    this.isLost = false;
    this.isReleaseRequested = false;
    this.missedProbes = 0;
    this.firstMissedProbeAt = null;
  }

  isSchedulable(now: number): boolean {
    const able = this.isUp && !this.isUnresponsive && !this.isPartitioned && !this.isCordoned;
    return able && this.preemptionDeadline === null && this.quarantinedUntil <= now;
  }

  hasImage(image: string): boolean {
    return this.images.has(image);
  }

  noteImage(image: string, gb: number): void {
    this.images.delete(image);
    this.images.set(image, gb);
    let total = 0;
    for (const size of this.images.values()) total += size;
    for (const [old, size] of this.images) {
      if (total <= (this.machineType?.cacheGb ?? Infinity) || this.images.size === 1) break;
      this.images.delete(old);
      total -= size;
    }
  }

  isNewer(heartbeat: Heartbeat): boolean {
    return (
      heartbeat.agentEpoch > this.agentEpoch ||
      (heartbeat.agentEpoch === this.agentEpoch &&
        heartbeat.heartbeatSequence > this.heartbeatSequence)
    );
  }

  /**
   * Ends of tasks whose users have asked to cancel them. Whoever answers the worker gives these, with every
   * answer, whatever else it may not do: an answer without them would only keep such tasks alive.
   */
  cancellationStops(): Command[] {
    const commands: Command[] = [];
    for (const [task, { chunk, attempt }] of this.placements) {
      const { attemptNumber } = attempt;
      const reportedAttempt = this.reportedAttempts.find(task, attemptNumber);
      if (!chunk.isCancelRequested || reportedAttempt === undefined) continue;
      if (reportedAttempt.state !== 'ended')
        commands.push({ verb: 'stop', task, attemptNumber, gracePeriod: 0 });
    }
    return commands;
  }

  /**
   * Whether something should be sent to the worker at once. Reaps are not worth a command of their own: they
   * go along with others or with the answer to a report.
   */
  hasDueCommand(now: number, again: number): boolean {
    return this.dueStopsAndStarts(now, again).next().done !== true;
  }

  /**
   * Orders for the answer to a report. A reap changes what the worker reports, so one that has no company costs
   * another report: reaps wait for other orders, but no longer than `patience`.
   */
  commandsForAnswer(now: number, again: number, patience: number): Command[] {
    const commands = this.dueCommands(true, now, again);
    if (commands.some((command) => command.verb !== 'acknowledge')) return commands;
    const isOld = ({ task, attemptNumber }: Command): boolean => {
      const endedAttempt = this.endedAttempts.get(attemptKey(task, attemptNumber));
      return endedAttempt === undefined || now - endedAttempt.endedAt >= patience;
    };
    return commands.some(isOld) ? commands : [];
  }

  /** Stops, starts and reaps that the worker should carry out now. Stops count as sent. */
  dueCommands(mayStart: boolean, now: number, again: number): Command[] {
    const commands = [...this.dueStopsAndStarts(now, again)].filter(
      ({ command }) => mayStart || command.verb !== 'start',
    );
    for (const { firstStop } of commands) if (firstStop !== null) firstStop.sentAt = now;
    return [...this.acknowledgements(), ...commands.map(({ command }) => command)];
  }

  /** Ended attempts that the worker may forget. */
  private *acknowledgements(): Generator<Command> {
    for (const { task, state, attemptNumber } of this.reportedAttempts.all) {
      if (state !== 'ended') continue;
      const endedAttempt = this.endedAttempts.get(attemptKey(task, attemptNumber));
      // Nothing of ours: an attempt that was given up before; nobody waits for it.
      const mayReap =
        endedAttempt?.mayAcknowledge() ??
        this.placements.get(task)?.attempt.attemptNumber !== attemptNumber;
      if (mayReap) yield { verb: 'acknowledge', task, attemptNumber };
    }
  }

  /** Ends of what is not ours, stops and starts that are due; one without effect is repeated after `again`. */
  private *dueStopsAndStarts(now: number, again: number): Generator<DueCommand> {
    for (const reportedAttempt of this.reportedAttempts.all) {
      if (!this.isUnknownAttempt(reportedAttempt)) continue;
      const { task, attemptNumber } = reportedAttempt;
      yield { command: { verb: 'stop', task, attemptNumber, gracePeriod: 0 }, firstStop: null };
    }
    for (const [task, { chunk, attempt }] of this.placements) {
      const { attemptNumber, stop } = attempt;
      const here = this.reportedAttempts.find(task, attemptNumber);
      if (stop !== null) {
        const due = dueStop(stop, here, now, again);
        if (due === null) continue;
        const command: Command = {
          verb: 'stop',
          task,
          attemptNumber,
          gracePeriod: due.gracePeriod,
        };
        yield { command, firstStop: due.isLate ? null : stop };
      } else if (here === undefined && isStartDue(chunk, attempt) && this.mayStart(task, now)) {
        yield { command: { verb: 'start', task, attemptNumber }, firstStop: null };
      }
    }
  }
}

type PendingStop = NonNullable<Attempt['stop']>;

/** It is stored, and by us; no report has shown it yet. */
const isStartDue = (chunk: Chunk, attempt: Attempt): boolean =>
  chunk.isDurable(attempt) && !attempt.wasReported && !attempt.isInherited;

/** An order that is due now. */
interface DueCommand {
  command: Command;
  /** The stop that counts as sent with it; the end of a task that saves for too long is sent with each message. */
  firstStop: PendingStop | null;
}

/** How a task is to be stopped now; null while no stop is due. */
function dueStop(
  stop: PendingStop,
  here: ReportedAttempt | undefined,
  now: number,
  again: number,
): { gracePeriod: number; isLate: boolean } | null {
  if (here === undefined || here.state === 'ended') return null;
  const { sentAt, gracePeriod } = stop;
  if (here.state === 'saving') {
    // A second halt would end a task that is still saving; only after its time is up.
    const isLate = sentAt !== null && now - sentAt > gracePeriod + again;
    return isLate ? { gracePeriod: 0, isLate } : null;
  }
  const isDue = sentAt === null || now - sentAt > again;
  return isDue ? { gracePeriod, isLate: false } : null;
}
