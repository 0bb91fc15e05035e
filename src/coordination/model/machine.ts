/** One machine of a shard. */
import type { MachineType } from '../../protocol/cloudProtocol.js';
import type { Heartbeat, ReportedAttempt } from '../../protocol/workerProtocol.js';
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

/** What tells how long a machine may take to be heard for the first time. In seconds. */
export interface FirstContactTiming {
  /** Its age when this controller first heard of it. */
  readonly ageWhenSeen: number;
  /** Time between two heartbeats of its worker. */
  readonly heartbeatInterval: number;
}

/** One machine of a shard, as its worker last reported it. */
export class Machine {
  /** `HOST:PORT` of its worker; empty until it is known. */
  address: string;
  /** The agent epoch of the newest heartbeat. */
  agentEpoch = 0;
  /** The sequence number of the newest heartbeat within the agent epoch. */
  heartbeatSequence = -1;
  /** The highest fencing token that its worker has seen. */
  highestFencingToken = 0;
  /** Steady time until which, at most, its worker's lease was renewed by an answer: ours or another leader's. */
  leaseRenewedAt: number;
  /** Steady time at which the cloud will take it; null without a warning. */
  preemptionDeadline: number | null = null;
  /** What is known of the connection to its worker. */
  readonly reachability = new Reachability();
  /** Ended attempts that its worker still reports, by `attemptKey`: a task may have ended here more than once. */
  readonly endedAttempts = new Map<string, EndedAttempt>();
  /** Time that it takes for a unit of work, as a ratio to the usual; 2 is half as fast. */
  slowness = 1;
  /** Distinct jobs whose tasks failed here in a row. */
  readonly failedJobs = new Set<string>();
  /** Steady time before which nothing is placed here. */
  quarantinedUntil = 0;
  /** Offered back to the cloud: nothing is placed here any more. */
  isCordoned = false;
  /** Its worker's lease has expired with attempts on it, and it has not been reached since. */
  isLost = false;
  /**
   * The records have put it into another shard, whose leader answers its worker and may renew the worker's lease. Nothing is
   * placed on it or sent to it any more, and its attempts here are over only by its heartbeats or a confirmed release.
   */
  isReassigned = false;
  /** The audit trail has an event for the request to release it. */
  isReleaseRequested = false;
  /** Steady time since which nothing is placed here. */
  idleSince: number;
  /** A request with commands is waiting for its response. */
  hasCommandInFlight = false;
  /** The fencing tokens of commands to its worker. */
  readonly commandTokens = new CommandTokens();
  /** Attempts that its worker was told to forget. */
  readonly acknowledgedAttempts = new AcknowledgedAttempts();
  private readonly occupancy = new Occupancy();
  private readonly images = new ImageCache();

  constructor(
    /** Its name, which is that of its record. */
    readonly name: string,
    private record: MachineRecord,
    private readonly machineTypes: () => Map<string, MachineType>,
    /** Steady time at which this controller first heard of it. */
    readonly firstSeenAt: number,
    /** Whether a start of the task may be sent now (safety, T18). */
    readonly mayStart: (task: string, now: number) => boolean = () => true,
    private readonly arrival: FirstContactTiming = { ageWhenSeen: 0, heartbeatInterval: 0 },
  ) {
    this.leaseRenewedAt = firstSeenAt;
    this.address = record.address ?? '';
    this.idleSince = firstSeenAt;
  }

  /** Steady time at which it was rented, as far as its record tells. */
  get launchedAtMonotonic(): number {
    return this.firstSeenAt - this.arrival.ageWhenSeen;
  }

  /** Seconds between two heartbeats of its worker. */
  get heartbeatInterval(): number {
    return this.arrival.heartbeatInterval;
  }

  /** Seconds that a machine of its type takes to boot; 0 while the cloud has not told the type. */
  get bootSeconds(): number {
    return this.machineType?.bootSeconds ?? 0;
  }

  /** Time of day at which it was rented, or first heard of. */
  get launchedAt(): number {
    return this.record.launchedAt;
  }

  /** The shard that its record names. */
  get recordedShard(): string {
    return this.record.shard;
  }

  /** Takes in a changed record; an address that is known stays. */
  updateRecord(record: MachineRecord): void {
    this.record = record;
    if (this.address === '') this.address = record.address ?? '';
  }

  /**
   * Its type; undefined while the cloud has not told it. Looked up each time: after a restart machines are loaded
   * before the types, and a machine that kept "unknown" would never be given work again.
   */
  get machineType(): MachineType | undefined {
    return this.machineTypes().get(this.record.type);
  }

  /** The name of its type. */
  get type(): string {
    return this.record.type;
  }

  /** Its zone. */
  get zone(): string {
    return this.record.zone;
  }

  /** Whether the cloud may take it back at short notice. */
  get spot(): boolean {
    return this.record.spot;
  }

  /** It has been reached, and is not lost. */
  get isUp(): boolean {
    return this.reachability.lastReachedAt !== null && !this.isLost;
  }

  /** It has missed several probes in a row: it gets no work. */
  get isUnresponsive(): boolean {
    return this.reachability.isUnresponsive;
  }

  /** Whether work may be placed here. */
  isSchedulable(now: number): boolean {
    return this.availability(now) === 'ready';
  }

  /** What it is to work, at this steady time. */
  availability(now: number): AvailabilityState {
    return availabilityState(this, now);
  }

  /** Whether work that waits may count on it, now or soon. */
  isCapacity(now: number): boolean {
    return isCapacity(this.availability(now));
  }

  /** All resources of the machine. */
  get capacity(): Readonly<Resources> {
    return this.machineType ?? NO_RESOURCES;
  }

  /** Resources left beside everything that is, or may still be, here. */
  get free(): Readonly<Resources> {
    return this.occupancy.useOf(this.machineType).free;
  }

  /** Processors allocated to services. */
  get serviceCpus(): number {
    return this.occupancy.useOf(this.machineType).serviceCpus;
  }

  /** Processors allocated to tasks of the shard. */
  get allocatedCpus(): number {
    return this.occupancy.useOf(this.machineType).allocatedCpus;
  }

  /** The shard's attempts that are, or may be, here, by task. */
  get placements(): ReadonlyMap<string, Placement> {
    return this.occupancy.placements;
  }

  /** Adds an attempt. */
  place(placement: Placement): void {
    this.occupancy.place(placement);
  }

  /** Removes the attempt of a task. */
  removePlacement(task: string): void {
    this.occupancy.remove(task);
  }

  /** All attempts that the worker last reported. */
  get reportedAttempts(): ReportedAttempts {
    return this.occupancy.reportedAttempts;
  }

  /** Takes in what the worker reports; false when nothing has changed, as in most heartbeats. */
  updateReportedAttempts(attempts: ReportedAttempt[]): boolean {
    return this.occupancy.updateReportedAttempts(attempts);
  }

  /** Attempts that run here and that the shard did not place. */
  get unknownAttempts(): ReportedAttempt[] {
    return this.occupancy.unknownAttempts;
  }

  /** Whether a reported attempt runs that the shard did not place. */
  isUnknownAttempt(reportedAttempt: ReportedAttempt): boolean {
    return this.occupancy.isUnknownAttempt(reportedAttempt);
  }

  /** Whether a start of the attempt that was sent as a command may still be executed (safety, T3). */
  mayStartStillExecute(attempt: Attempt): boolean {
    return attempt.startCommands.mayStillExecute(this.highestFencingToken);
  }

  /** An attempt that no heartbeat shows can't be terminated before the worker has seen a higher fencing token. */
  get isBlockedByStartCommand(): boolean {
    for (const [task, { attempt }] of this.placements) {
      const isGone = this.reportedAttempts.find(task, attempt.attemptNumber) === undefined;
      if (!isGone || (!attempt.wasReported && attempt.stop === null)) continue;
      if (this.mayStartStillExecute(attempt)) return true;
    }
    return false;
  }

  /** Something of ours has arrived there: it counts as up, whatever was thought of it. */
  markReached(now: number): void {
    this.reachability.noteReached(now);
    this.isLost = false;
    this.isReleaseRequested = false;
  }

  /** Whether it should still hold an image. */
  hasImage(image: string): boolean {
    return this.images.has(image);
  }

  /** Records that a task with the image, of `sizeGb`, is here. */
  noteImage(image: string, sizeGb: number): void {
    this.images.noteUse(image, sizeGb, this.machineType?.cacheGb ?? Infinity);
  }

  /** Whether a heartbeat is newer than the newest that was taken in. */
  isNewer(heartbeat: Heartbeat): boolean {
    return (
      heartbeat.agentEpoch > this.agentEpoch ||
      (heartbeat.agentEpoch === this.agentEpoch &&
        heartbeat.heartbeatSequence > this.heartbeatSequence)
    );
  }
}
