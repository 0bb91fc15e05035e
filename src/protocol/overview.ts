/** The answer of `/v1/overview`, which `barrowlb status` prints. Its names are part of the interface and do not change. */

/** A controller's shards, queues and machines. */
export interface Overview {
  node: string;
  /** Whether the state service serves this node. */
  served: boolean;
  /** What the audit trail has counted since the start. */
  counters?: Record<string, number>;
  parts: {
    part: string;
    token: number;
    utilisation: number;
    openJobs: number;
    runningTasks: number;
    waitingTasks: number;
    machines: {
      name: string;
      type: string;
      zone: string;
      state: string;
      tasks: number;
      /** Whether work may count on it, in one word; a node of an earlier version does not tell. */
      availability?: string;
      /** Seconds since the evidence for that; null where it has none. */
      evidenceAge?: number | null;
    }[];
  }[];
}
