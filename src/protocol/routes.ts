/** Requests of nodes, users and operators that are this service's own. */
export const heartbeatPath = '/hello';

/** This service's own HTTP paths. */
export const paths = {
  ready: '/ready',
  jobs: '/v1/jobs',
  /** A job, or its cancellation. */
  job: /^\/v1\/jobs\/([^/]+)(?:\/(withdraw))?$/,
  /** Ours: shards, queues and machines, for `barrowlb status`. */
  overview: '/v1/overview',
};

/** Ours: staged upgrades, for `barrowlb rollout` and `barrowlb drain`. */
export const rolloutPath = '/v1/rollout';

/** The path of one job. */
export const jobPath = (id: string): string => `${paths.jobs}/${encodeURIComponent(id)}`;
