export const helloPath = '/hello';

export const paths = {
  ready: '/ready',
  jobs: '/v1/jobs',
  /** A job, or its cancellation. */
  job: /^\/v1\/jobs\/([^/]+)(?:\/(withdraw))?$/,
  /** Ours: parts, queues and machines, for `barrowlb status`. */
  overview: '/v1/overview',
};

export const jobPath = (id: string): string => `${paths.jobs}/${encodeURIComponent(id)}`;
