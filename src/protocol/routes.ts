/** Paths of the controllers' HTTP API for workers, users and operators. */

/** The path of workers' heartbeats. */
export const heartbeatPath = '/hello';

/** Paths for users, operators and health checks. */
export const paths = {
  ready: '/ready',
  jobs: '/v1/jobs',
  /** Matches the path of a job or of its cancellation. */
  job: /^\/v1\/jobs\/([^/]+)(?:\/(withdraw))?$/,
  /** Shards, queues and machines, for `barrowlb status`. */
  overview: '/v1/overview',
};

/** Prefix of the paths for rollouts, used by `barrowlb rollout` and `barrowlb drain`. */
export const rolloutPath = '/v1/rollout';

/** The path of one job. */
export const jobPath = (id: string): string => `${paths.jobs}/${encodeURIComponent(id)}`;
