/** Durations derived from a node's settings, all in seconds. */
import type { Settings } from '../../protocol/settings.js';
import type { DemandOptions } from '../shard/demandEstimator.js';

/** Minimum duration of the lease at the state service. */
const MIN_STATE_LEASE_TTL_S = 1;

/** Share of the allowed request rate that watches may use. */
const WATCH_RATE_SHARE = 0.1;

/** Minimum pause between two watch requests. */
const MIN_WATCH_PAUSE_S = 0.05;

/** Duration of the lease at the state service: long compared to the delay of a renewal, short compared to a worker's lease. */
export function stateLeaseTtl(
  settings: Pick<Settings, 'heartbeatInterval' | 'workerLease'>,
): number {
  const { heartbeatInterval, workerLease } = settings;
  return Math.max(MIN_STATE_LEASE_TTL_S, Math.min(heartbeatInterval * 1.5, workerLease / 4));
}

/**
 * How long a node continues to answer its workers after its own lease has expired, so that an outage of the state service
 * does not end healthy tasks. A new leader waits this long for machines that it cannot reach.
 */
export function leaderGracePeriod(settings: Pick<Settings, 'workerLease'>): number {
  return settings.workerLease * 2;
}

/** Determines when waiting batch work makes a shard scale out and over which period its arrivals are averaged. */
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

/** How long one watch request waits at the state service for changes (`hold`), and the pause before the next one. */
export function watchTimings(
  settings: Pick<Settings, 'heartbeatInterval' | 'cancellationTimeout' | 'stateRequestRate'>,
  nodeCount: number,
): { hold: number; pause: number } {
  const pause = nodeCount / (settings.stateRequestRate * WATCH_RATE_SHARE);
  return {
    // While a watch request waits, the age of the cache is unknown, which limits what users may be told (safety, P4).
    hold: Math.min(settings.heartbeatInterval * 2, settings.cancellationTimeout / 6),
    pause: Math.max(MIN_WATCH_PAUSE_S, pause),
  };
}
