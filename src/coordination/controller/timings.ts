/** Durations that follow from a node's settings. All are in seconds. */
import type { Settings } from '../../protocol/settings.js';
import type { DemandOptions } from '../shard/demandEstimator.js';

/** The lease at the state service is never shorter than this. */
const MIN_STATE_LEASE_TTL_S = 1;

/** The share of the request rate that watches may take. */
const WATCH_RATE_SHARE = 0.1;

/** The shortest pause between two watches. */
const MIN_WATCH_PAUSE_S = 0.05;

/** The lease at the state service: long against the delay of a renewal, short against a worker's lease. */
export function stateLeaseTtl(
  settings: Pick<Settings, 'heartbeatInterval' | 'workerLease'>,
): number {
  const { heartbeatInterval, workerLease } = settings;
  return Math.max(MIN_STATE_LEASE_TTL_S, Math.min(heartbeatInterval * 1.5, workerLease / 4));
}

/**
 * How long after its own lease a node goes on answering its workers, so that an outage of the state service doesn't end
 * healthy tasks. A new leader waits this long for machines that it can't reach.
 */
export function leaderGracePeriod(settings: Pick<Settings, 'workerLease'>): number {
  return settings.workerLease * 2;
}

/** When waiting batch work makes a shard scale out, and over which time its arrivals are averaged. */
export function demandOptions(
  settings: Pick<Settings, 'objectives' | 'workerLease'>,
): DemandOptions {
  const finishWithin = settings.objectives
    .filter((objective) => objective.kind === 'finished')
    .map((objective) => objective.within);
  const shortest = Math.min(settings.workerLease * 4, ...finishWithin);
  const longest = Math.max(shortest, ...finishWithin);
  return {
    scaleOutWindow: shortest / 2,
    onDemandWindow: longest / 2,
    headroom: 1,
    arrivalWindow: shortest,
  };
}

/** How long one watch of the state service waits for changes, and the pause before the next. */
export function watchTimings(
  settings: Pick<Settings, 'heartbeatInterval' | 'cancellationTimeout' | 'stateRequestRate'>,
  nodeCount: number,
): { hold: number; pause: number } {
  const pause = nodeCount / (settings.stateRequestRate * WATCH_RATE_SHARE);
  return {
    // While a watch waits, the age of the cache is unknown, and with it what users may be told (safety, P4).
    hold: Math.min(settings.heartbeatInterval * 2, settings.cancellationTimeout / 6),
    pause: Math.max(MIN_WATCH_PAUSE_S, pause),
  };
}
