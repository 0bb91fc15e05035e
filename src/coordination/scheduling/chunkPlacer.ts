/**
 * Places the tasks of one chunk: best fit among a few sampled machines that last reported free resources (DESIGN),
 * without delaying the start of the chunk that holds the reservation (EASY backfilling).
 */
import { log } from '../../base/log.js';
import type { Random } from '../../base/random.js';
import type { Attempt, Chunk } from '../model/chunk.js';
import type { Machine } from '../model/machine.js';
import { reportableTasks } from '../model/reportRoom.js';
import { StartCommands } from '../model/startCommands.js';
import { fits, subtractResources } from '../model/resources.js';
import { bestFit, sampleCandidates, satisfiesConstraints, shapeOf } from './placement.js';
import type { QuotaThrottle } from './quotaThrottle.js';
import type { RoundState } from './roundState.js';
import type { RunTimes } from './runTimes.js';
import type { SchedulableShard } from './schedulableShard.js';

/** `complete`: all pending tasks of the chunk are placed; the other values say why some of them are not. */
export type PlacementOutcome = 'complete' | 'throttled' | 'no-room';

/** Machines that a chunk may not use in this round. */
interface Exclusions {
  /** The reserved machine, if tasks of the chunk would delay the reservation; otherwise undefined. */
  readonly reservedMachine: Machine | undefined;
  /** Whether machines on which the chunk has failed are excluded; they are as long as there are others. */
  readonly avoidsFailedMachines: boolean;
}

/** Places chunks on the machines of one shard. */
export class ChunkPlacer {
  constructor(
    private readonly shard: SchedulableShard,
    private readonly throttle: QuotaThrottle,
    private readonly runTimes: RunTimes,
    private readonly random: Random,
    /** Number of candidate machines that are sampled for each task. */
    private readonly sampleSize: number,
  ) {}

  /** Places as many of the chunk's pending tasks as free resources and quota allow. */
  placeChunk(chunk: Chunk, round: RoundState): PlacementOutcome {
    const { spec, zone } = chunk;
    if (this.throttle.mustYield(chunk)) return 'throttled';
    if (spec.isGang && !this.canPlaceGang(chunk, round.now)) return 'no-room';
    const exclusions = {
      reservedMachine: this.reservedMachine(chunk, round),
      avoidsFailedMachines: this.avoidsFailedMachines(chunk),
    };
    const shape = shapeOf(spec, zone);
    const shapeKey = exclusions.reservedMachine === undefined ? shape : `${shape} backfill`;
    const { shapesWithoutRoom } = round;
    if (shapesWithoutRoom.has(shape) || shapesWithoutRoom.has(shapeKey)) return 'no-room';
    const outcome = this.placeTasks(chunk, round, exclusions);
    if (outcome === 'no-room' && !exclusions.avoidsFailedMachines) shapesWithoutRoom.add(shapeKey);
    return outcome;
  }

  private placeTasks(chunk: Chunk, round: RoundState, exclusions: Exclusions): PlacementOutcome {
    const { spec } = chunk;
    let candidates: Machine[] | null = null;
    while (chunk.pendingCount > 0) {
      if (!this.shard.teamUsage.withinAllowance(spec)) {
        this.throttle.noteThrottled(chunk, round.now);
        return 'throttled';
      }
      candidates ??= candidatesFor(chunk, round.machinesWithRoom, exclusions);
      const sampled = sampleCandidates(candidates, spec.image, this.sampleSize, this.random);
      const machine = bestFit(sampled, spec);
      if (machine === null) return 'no-room';
      const task = chunk.nextPending();
      if (task === null) return 'complete';
      this.placeTask(chunk, task, machine, round.now);
      if (!fits(machine.free, spec)) candidates.splice(candidates.indexOf(machine), 1);
    }
    return 'complete';
  }

  /** The reserved machine, if tasks of this chunk could still run there at the shadow time. */
  private reservedMachine({ spec }: Chunk, { reservation, now }: RoundState): Machine | undefined {
    if (reservation === null || spec.isGang) return undefined;
    const run = this.runTimes.expected(spec.jobClass, spec.expectedRunSeconds);
    const delaysStart = spec.isService || now + run > reservation.shadowTime;
    return delaysStart ? reservation.machine : undefined;
  }

  private avoidsFailedMachines({ failedMachines }: Chunk): boolean {
    return failedMachines.size > 0 && failedMachines.size < this.shard.machines.size;
  }

  /** Whether a gang can start as a whole: it has no attempts, and all of its pending tasks fit at the same time. */
  private canPlaceGang(chunk: Chunk, now: number): boolean {
    if (chunk.attempts.size > 0) return false;
    const { spec, zone } = chunk;
    if (!this.shard.teamUsage.withinAllowance(spec, chunk.pendingCount)) {
      this.throttle.noteThrottled(chunk, now);
      return false;
    }
    const avoidsFailedMachines = this.avoidsFailedMachines(chunk);
    let unplaced = chunk.pendingCount;
    for (const machine of this.shard.machines.values()) {
      if (!machine.isSchedulable(now) || !satisfiesConstraints(spec, zone, machine)) continue;
      if (avoidsFailedMachines && chunk.failedMachines.has(machine.name)) continue;
      const free = { ...machine.free };
      let reportable = reportableTasks(machine.reportRoomBytes, spec);
      while (unplaced > 0 && reportable > 0 && fits(free, spec)) {
        unplaced--;
        reportable--;
        subtractResources(free, spec);
      }
    }
    return unplaced === 0;
  }

  private placeTask(chunk: Chunk, task: number, machine: Machine, now: number): void {
    const attempt: Attempt = {
      task,
      // The tasks of a gang identify each other by a common attempt number.
      attemptNumber: chunk.spec.isGang ? chunk.nextAttemptNumber : chunk.nextAttemptNumber++,
      machine: machine.name,
      agentEpoch: machine.agentEpoch,
      chunkVersion: chunk.version + 1,
      wasReported: false,
      isInherited: false,
      state: 'fetching',
      placedAt: now,
      runningSince: null,
      startCommands: new StartCommands(),
      startSentInAnswer: false,
      stop: null,
    };
    chunk.attempts.set(task, attempt);
    this.shard.teamUsage.add(chunk.spec, 1);
    machine.place({ chunk, attempt });
    this.shard.waitEstimates.invalidate();
    log.debug(
      `shard ${this.shard.label}: placed ${chunk.taskName(task)} (${chunk.spec.jobClass}) on ${machine.name}, ` +
        `image ${machine.hasImage(chunk.spec.image) ? 'cached' : 'missing'}, ` +
        `queued for ${(now - chunk.queuedAt).toFixed(1)} s`,
    );
    this.shard.noteChunkChanged(chunk, now);
  }
}

/** Machines with room for a task of the chunk, without the excluded ones. */
function candidatesFor(
  { spec, zone, failedMachines }: Chunk,
  machines: readonly Machine[],
  { reservedMachine, avoidsFailedMachines }: Exclusions,
): Machine[] {
  return machines.filter(
    (machine) =>
      machine !== reservedMachine &&
      fits(machine.free, spec) &&
      satisfiesConstraints(spec, zone, machine) &&
      !(avoidsFailedMachines && failedMachines.has(machine.name)),
  );
}
