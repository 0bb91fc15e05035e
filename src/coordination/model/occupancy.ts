/** Occupancy of a machine: the placements of its shard, and the attempts that its worker reports. */
import type { MachineType } from '../../protocol/cloudProtocol.js';
import {
  MAX_REPORT_BYTES,
  reportedAttemptBytes,
  type ReportedAttempt,
} from '../../protocol/workerProtocol.js';
import type { Attempt, Chunk } from './chunk.js';
import { ReportedAttempts } from './reportedAttempts.js';
import { subtractResources, type Resources } from './resources.js';

/** An attempt and the chunk of its task. */
export interface Placement {
  readonly chunk: Chunk;
  readonly attempt: Attempt;
}

/** How the resources of a machine are used. */
export interface ResourceUse {
  /** The machine type for which the use was computed. */
  readonly machineType: MachineType | undefined;
  /** Resources that are not used by any attempt that is, or may still be, on the machine. */
  readonly free: Readonly<Resources>;
  /** CPUs allocated to live services. */
  readonly serviceCpus: number;
  /** CPUs allocated to tasks of the shard. */
  readonly allocatedCpus: number;
}

/** Bytes in a heartbeat of an attempt with the longest possible name. */
export const MAX_REPORTED_ATTEMPT_BYTES = 160;

/** Resources of a machine whose type is unknown, or on which nothing may be placed. */
export const NO_RESOURCES: Readonly<Resources> = { cpus: 0, gpus: 0, memoryGb: 0 };

/** The placements and reported attempts of one machine, and the remaining resources. */
export class Occupancy {
  private latestReport = new ReportedAttempts();
  private readonly placementsByTask = new Map<string, Placement>();
  /** Bytes in a heartbeat of the placed attempts, and of the ended ones that are not acknowledged. */
  private placedBytes = 0;
  private endedBytes = 0;
  /** Cached, since placement decisions read it far more often than it changes. */
  private cachedUse: ResourceUse | null = null;

  /** The shard's attempts that are, or may be, on the machine, by task name. */
  get placements(): ReadonlyMap<string, Placement> {
    return this.placementsByTask;
  }

  /** All attempts in the worker's latest report. */
  get reportedAttempts(): ReportedAttempts {
    return this.latestReport;
  }

  /** Reported attempts that have not ended and that the shard did not place. */
  get unknownAttempts(): ReportedAttempt[] {
    return this.latestReport.all.filter((reportedAttempt) =>
      this.isUnknownAttempt(reportedAttempt),
    );
  }

  /** Approximate bytes of the attempts in the worker's next heartbeat. */
  get reportBytes(): number {
    return this.placedBytes + this.endedBytes;
  }

  /** Whether the worker's heartbeat has no room for another attempt. */
  get isReportFull(): boolean {
    return this.reportBytes + MAX_REPORTED_ATTEMPT_BYTES > MAX_REPORT_BYTES;
  }

  /** Adds an attempt, replacing an earlier one of the same task. */
  place(placement: Placement): void {
    const task = placement.chunk.taskName(placement.attempt.task);
    this.remove(task);
    this.placementsByTask.set(task, placement);
    this.placedBytes += placementBytes(task, placement);
  }

  /** Removes the attempt of a task. */
  remove(task: string): void {
    const removed = this.placementsByTask.get(task);
    this.cachedUse = null;
    if (removed === undefined) return;
    this.placementsByTask.delete(task);
    this.placedBytes -= placementBytes(task, removed);
  }

  /** Replaces the reported attempts; returns false if nothing has changed, as in most heartbeats. */
  updateReportedAttempts(attempts: ReportedAttempt[]): boolean {
    if (this.latestReport.isSameAs(attempts)) return false;
    this.latestReport = new ReportedAttempts(attempts);
    this.endedBytes = endedAttemptBytes(attempts);
    this.cachedUse = null;
    return true;
  }

  /** Whether a reported attempt has not ended and was not placed by the shard. */
  isUnknownAttempt({ task, attemptNumber, state }: ReportedAttempt): boolean {
    return (
      state !== 'ended' && this.placementsByTask.get(task)?.attempt.attemptNumber !== attemptNumber
    );
  }

  /** Use of the machine's resources, if it is of this type. */
  useOf(machineType: MachineType | undefined): ResourceUse {
    if (this.cachedUse !== null && this.cachedUse.machineType === machineType)
      return this.cachedUse;
    this.cachedUse = this.computeUse(machineType);
    return this.cachedUse;
  }

  private computeUse(machineType: MachineType | undefined): ResourceUse {
    const free = { ...(machineType ?? NO_RESOURCES) };
    let serviceCpus = 0;
    let allocatedCpus = 0;
    for (const { chunk } of this.placementsByTask.values()) {
      subtractResources(free, chunk.spec);
      allocatedCpus += chunk.spec.cpus;
      if (chunk.spec.isService) serviceCpus += chunk.spec.cpus;
    }
    // The resources of an unknown attempt can't be determined, so nothing is placed beside it. A machine with more attempts than
    // its worker can report would seem to be silent.
    const hasUnknown = this.latestReport.all.some((reported) => this.isUnknownAttempt(reported));
    const isUnusable = hasUnknown || this.isReportFull;
    return {
      machineType,
      free: isUnusable ? NO_RESOURCES : free,
      serviceCpus,
      allocatedCpus,
    };
  }
}

/** Bytes in a heartbeat of a placed attempt. */
const placementBytes = (task: string, { attempt }: Placement): number =>
  reportedAttemptBytes(task, attempt.attemptNumber);

/** Bytes in a heartbeat of the attempts that have ended and are not acknowledged. */
function endedAttemptBytes(attempts: readonly ReportedAttempt[]): number {
  let bytes = 0;
  for (const { task, attemptNumber, state, cause } of attempts) {
    if (state === 'ended') bytes += reportedAttemptBytes(task, attemptNumber, cause ?? '');
  }
  return bytes;
}
