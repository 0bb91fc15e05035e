/** The answer to `/v1/overview`, printed by `barrowlb status`. Its field names are part of the interface and do not change. */

/** A controller's shards, queues and machines. */
export interface Overview {
  node: string;
  /** Whether the node's lease at the state service is valid. */
  served: boolean;
  /** Counters of the audit trail since the process started. */
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
      /** Whether work can be placed on it, as a single word; absent from nodes of an earlier version. */
      availability?: string;
      /** Age of the evidence for that, in seconds; null if there is none. */
      evidenceAge?: number | null;
    }[];
  }[];
}
