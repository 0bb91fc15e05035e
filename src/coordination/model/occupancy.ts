/** What occupies a machine: the placements that a shard made, and the attempts that its worker reports. */
import type { MachineType } from '../../protocol/cloudProtocol.js';
import type { ReportedAttempt } from '../../protocol/workerProtocol.js';
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
  /** The type of the machine that it was computed for. */
  readonly machineType: MachineType | undefined;
  /** What is left beside everything that is, or may still be, on the machine. */
  readonly free: Readonly<Resources>;
  /** Processors allocated to services. */
  readonly serviceCpus: number;
  /** Processors allocated to tasks of the shard. */
  readonly allocatedCpus: number;
}

/** The resources of a machine of which the type is not known, or of which nothing may be used. */
export const NO_RESOURCES: Readonly<Resources> = { cpus: 0, gpus: 0, memoryGb: 0 };

/** The placements and reported attempts of one machine, and the resources that they leave. */
export class Occupancy {
  private latestReport = new ReportedAttempts();
  private readonly placementsByTask = new Map<string, Placement>();
  /** Placement decisions ask for it far more often than it changes. */
  private cachedUse: ResourceUse | null = null;

  /** The shard's attempts that are, or may be, on the machine, by task. */
  get placements(): ReadonlyMap<string, Placement> {
    return this.placementsByTask;
  }

  /** All attempts that the worker last reported. */
  get reportedAttempts(): ReportedAttempts {
    return this.latestReport;
  }

  /** Reported attempts that have not ended and that the shard did not place. */
  get unknownAttempts(): ReportedAttempt[] {
    return this.latestReport.all.filter((reportedAttempt) =>
      this.isUnknownAttempt(reportedAttempt),
    );
  }

  /** Adds an attempt, in place of an earlier one of the same task. */
  place(placement: Placement): void {
    this.placementsByTask.set(placement.chunk.taskName(placement.attempt.task), placement);
    this.cachedUse = null;
  }

  /** Removes the attempt of a task. */
  remove(task: string): void {
    this.placementsByTask.delete(task);
    this.cachedUse = null;
  }

  /** Takes in what the worker reports; false when nothing has changed, as in most heartbeats. */
  updateReportedAttempts(attempts: ReportedAttempt[]): boolean {
    if (this.latestReport.isSameAs(attempts)) return false;
    this.latestReport = new ReportedAttempts(attempts);
    this.cachedUse = null;
    return true;
  }

  /** Whether a reported attempt runs that the shard did not place. */
  isUnknownAttempt({ task, attemptNumber, state }: ReportedAttempt): boolean {
    return (
      state !== 'ended' && this.placementsByTask.get(task)?.attempt.attemptNumber !== attemptNumber
    );
  }

  /** How the resources of a machine of this type are used. */
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
    // What an unknown attempt uses can't be told, so nothing is placed beside it.
    const hasUnknown = this.latestReport.all.some((reported) => this.isUnknownAttempt(reported));
    return { machineType, free: hasUnknown ? NO_RESOURCES : free, serviceCpus, allocatedCpus };
  }
}
