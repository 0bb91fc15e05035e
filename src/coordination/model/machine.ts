/** State of one machine of a shard. */
import type { MachineType } from '../../protocol/cloudProtocol.js';
import {
  MAX_REPORT_BYTES,
  type Heartbeat,
  type ReportedAttempt,
} from '../../protocol/workerProtocol.js';
import type { MachineRecord } from '../../storage/records.js';
import { availabilityState, isCapacity, type AvailabilityState } from './availability.js';
import { AcknowledgedAttempts } from './acknowledgedAttempts.js';
import type { Attempt } from './chunk.js';
import { CommandTokens } from './commandTokens.js';
import type { EndedAttempt } from './endedAttempt.js';
import { ImageCache } from './imageCache.js';
import { NO_RESOURCES, Occupancy, type Placement } from './occupancy.js';
import { Reachability } from './reachability.js';
import type { ReportedAttempts } from './reportedAttempts.js';
import type { Resources } from './resources.js';

export type { Placement } from './occupancy.js';

/** Times in seconds that determine how long the first heartbeat of a machine may take. */
export interface FirstContactTiming {
  /** Seconds since its launch when this controller first learned of it. */
  readonly ageWhenFirstSeen: number;
  /** Seconds between two heartbeats of its worker. */
  readonly heartbeatInterval: number;
}

/** Share of a heartbeat's size limit above which ended attempts are acknowledged by a request of their own. */
const CROWDED_REPORT_RATIO = 1 / 2;

/** One machine of a shard, as its worker last reported it. */
export class Machine {
  /** `HOST:PORT` of its worker; empty while it is unknown. */
  address: string;
  /** The agent epoch of the newest heartbeat. */
  agentEpoch = 0;
  /** The sequence number of the newest heartbeat within the agent epoch. */
  heartbeatSequence = -1;
  /** The highest fencing token that its worker has seen. */
  highestFencingToken = 0;
  /** Latest monotonic time at which an answer of this or another leader may have renewed its worker's lease. */
  leaseRenewedAt: number;
  /** Monotonic time at which the cloud will preempt it; null without a preemption warning. */
  preemptionDeadline: number | null = null;
  /** State of the connection to its worker. */
  readonly reachability = new Reachability();
  /** Ended attempts that its worker still reports, by `attemptKey`; a task may have several ended attempts here. */
  readonly endedAttempts = new Map<string, EndedAttempt>();
  /** Run time of a task here as a ratio to its usual run time: 1 is the usual speed, 2 is half as fast. */
  slowness = 1;
  /** Distinct jobs whose tasks failed here in succession. */
  readonly failedJobs = new Set<string>();
  /** Monotonic time before which nothing is placed here, after failures. */
  quarantinedUntil = 0;
  /** To be released to the cloud: nothing is placed here any more. */
  isCordoned = false;
  /** Its worker's lease has expired with attempts on it, and it has not been reached since. */
  isLost = false;
  /**
   * Its record names another shard, whose leader answers its worker and may renew the worker's lease. No tasks are placed on it
   * and no commands are sent to it any more, and only its heartbeats or a confirmed release show that its attempts have
   * terminated.
   */
  isReassigned = false;
  /** The request to release it has been recorded in the audit trail. */
  isReleaseRequested = false;
  /** Monotonic time since which no attempt is placed here. */
  idleSince: number;
  /** A request with commands is in flight. */
  hasCommandInFlight = false;
  /** The fencing tokens of commands to its worker. */
  readonly commandTokens = new CommandTokens();
  /** Attempts that have been acknowledged to its worker. */
  readonly acknowledgedAttempts = new AcknowledgedAttempts();
  private readonly occupancy = new Occupancy();
  private readonly images = new ImageCache();

  constructor(
    /** Name of the machine and of its record. */
    readonly name: string,
    private record: MachineRecord,
    private readonly machineTypes: () => Map<string, MachineType>,
    /** Monotonic time at which this controller first learned of it. */
    readonly firstSeenAt: number,
    /** Whether a start of the task may be sent now (safety, T18). */
    readonly mayStart: (task: string, now: number) => boolean = () => true,
    private readonly timing: FirstContactTiming = { ageWhenFirstSeen: 0, heartbeatInterval: 0 },
  ) {
    this.leaseRenewedAt = firstSeenAt;
    this.address = record.address ?? '';
    this.idleSince = firstSeenAt;
  }

  /** Monotonic time at which it was launched, according to its record. */
  get launchedAtMonotonic(): number {
    return this.firstSeenAt - this.timing.ageWhenFirstSeen;
  }

  /** Seconds between two heartbeats of its worker. */
  get heartbeatInterval(): number {
    return this.timing.heartbeatInterval;
  }

  /** Boot time of its type in seconds; 0 while the type is unknown. */
  get bootSeconds(): number {
    return this.machineType?.bootSeconds ?? 0;
  }

  /** Wall-clock time at which it was launched, or first seen. */
  get launchedAt(): number {
    return this.record.launchedAt;
  }

  /** The shard that its record names. */
  get recordedShard(): string {
    return this.record.shard;
  }

  /** Replaces its record; a known address is kept. */
  updateRecord(record: MachineRecord): void {
    this.record = record;
    if (this.address === '') this.address = record.address ?? '';
  }

  /**
   * Its type; undefined while it is unknown. It is looked up each time: after a restart machines are loaded before the types, and
   * a machine that cached an unknown type would never get work again.
   */
  get machineType(): MachineType | undefined {
    return this.machineTypes().get(this.record.type);
  }

  /** Name of its machine type. */
  get type(): string {
    return this.record.type;
  }

  /** The zone in which it runs. */
  get zone(): string {
    return this.record.zone;
  }

  /** Whether it is a spot machine, which the cloud may preempt at short notice. */
  get spot(): boolean {
    return this.record.spot;
  }

  /** Whether it has been reached, and is not lost. */
  get isUp(): boolean {
    return this.reachability.lastReachedAt !== null && !this.isLost;
  }

  /** Whether it has missed several probes in a row, so that it gets no work. */
  get isUnresponsive(): boolean {
    return this.reachability.isUnresponsive;
  }

  /** Whether work may be placed here. */
  isSchedulable(now: number): boolean {
    return this.availability(now) === 'ready';
  }

  /** Its availability for work at this monotonic time. */
  availability(now: number): AvailabilityState {
    return availabilityState(this, now);
  }

  /** Whether queued work can be expected to start on it, now or soon. */
  isCapacity(now: number): boolean {
    return isCapacity(this.availability(now));
  }

  /** All resources of the machine. */
  get capacity(): Readonly<Resources> {
    return this.machineType ?? NO_RESOURCES;
  }

  /** Resources that are not used by any attempt that is, or may still be, here. */
  get free(): Readonly<Resources> {
    return this.occupancy.useOf(this.machineType).free;
  }

  /** CPUs allocated to live services. */
  get serviceCpus(): number {
    return this.occupancy.useOf(this.machineType).serviceCpus;
  }

  /** CPUs allocated to tasks of the shard. */
  get allocatedCpus(): number {
    return this.occupancy.useOf(this.machineType).allocatedCpus;
  }

  /** Bytes that its worker's heartbeat has left for further attempts. */
  get reportRoomBytes(): number {
    return Math.max(0, MAX_REPORT_BYTES - this.occupancy.reportBytes);
  }

  /** Whether its worker can't report another attempt. */
  get isReportFull(): boolean {
    return this.occupancy.isReportFull;
  }

  /** Whether ended attempts should be acknowledged soon, since they take room that its worker's heartbeat is short of. */
  get isReportCrowded(): boolean {
    return this.occupancy.reportBytes > MAX_REPORT_BYTES * CROWDED_REPORT_RATIO;
  }

  /** The shard's attempts that are, or may be, here, by task name. */
  get placements(): ReadonlyMap<string, Placement> {
    return this.occupancy.placements;
  }

  /** Adds an attempt, replacing an earlier one of the same task. */
  place(placement: Placement): void {
    this.occupancy.place(placement);
  }

  /** Removes the attempt of a task. */
  removePlacement(task: string): void {
    this.occupancy.remove(task);
  }

  /** All attempts in the worker's latest report. */
  get reportedAttempts(): ReportedAttempts {
    return this.occupancy.reportedAttempts;
  }

  /** Replaces the reported attempts; returns false if nothing has changed, as in most heartbeats. */
  updateReportedAttempts(attempts: ReportedAttempt[]): boolean {
    return this.occupancy.updateReportedAttempts(attempts);
  }

  /** Reported attempts that have not ended and that the shard did not place. */
  get unknownAttempts(): ReportedAttempt[] {
    return this.occupancy.unknownAttempts;
  }

  /** Whether a reported attempt has not ended and was not placed by the shard. */
  isUnknownAttempt(reportedAttempt: ReportedAttempt): boolean {
    return this.occupancy.isUnknownAttempt(reportedAttempt);
  }

  /** Whether a start of the attempt that was sent as a command may still be executed (safety, T3). */
  mayStartStillExecute(attempt: Attempt): boolean {
    return attempt.startCommands.mayStillExecute(this.highestFencingToken);
  }

  /** Whether an unreported attempt can't be terminated before the worker has seen a higher fencing token. */
  get isBlockedByStartCommand(): boolean {
    for (const [task, { attempt }] of this.placements) {
      const isUnreported = this.reportedAttempts.find(task, attempt.attemptNumber) === undefined;
      if (!isUnreported || (!attempt.wasReported && attempt.stop === null)) continue;
      if (this.mayStartStillExecute(attempt)) return true;
    }
    return false;
  }

  /** Records proof that a message of this controller has arrived: the machine is up, whatever its state was before. */
  markReached(now: number): void {
    this.reachability.noteReached(now);
    this.isLost = false;
    this.isReleaseRequested = false;
  }

  /** Whether the image should still be in its cache. */
  hasImage(image: string): boolean {
    return this.images.has(image);
  }

  /** Records that a task uses the image, of `sizeGb`, here. */
  noteImage(image: string, sizeGb: number): void {
    this.images.noteUse(image, sizeGb, this.machineType?.cacheGb ?? Infinity);
  }

  /** Whether a heartbeat is newer than the newest that was processed. */
  isNewer(heartbeat: Heartbeat): boolean {
    return (
      heartbeat.agentEpoch > this.agentEpoch ||
      (heartbeat.agentEpoch === this.agentEpoch &&
        heartbeat.heartbeatSequence > this.heartbeatSequence)
    );
  }
}
