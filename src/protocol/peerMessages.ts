/** Messages between controllers in the form that the program uses. `peerCodec.ts` converts them to the wire form. */

/** Tasks with equal requirements that a shard cannot place now. */
export interface Demand {
  shard: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  machineTypes: string[] | null;
  zone: string | null;
  allowsSpot: boolean;
  rank: string;
  isService: boolean;
  image: string;
  imageGb: number;
  count: number;
  /** Service replicas wait: machines that boot sooner are worth a higher price. */
  isUrgent: boolean;
  /** Number of batch tasks that would miss their objective otherwise: on-demand machines may be rented for them. */
  onDemandCount: number;
  /** Number of service replicas that only the demanding shard can start, since others of their chunk run there. */
  boundCount: number;
  /** Expected run time of one task, corrected by the measured run times of its class. */
  expectedRunSeconds: number;
}

/** State that a controller sends to its peers several times per heartbeat interval. */
export interface Gossip {
  sender: string;
  /** Identifies one run of the sending process. */
  process: string;
  /** Increases with each message of a process. */
  sequence: number;
  /** Wall-clock time of sending: a network partition may delay a message for minutes. */
  sentAt: number;
  /** Requests and writes per second that the sender needs from the state service. */
  stateDemand: { requests: number; writes: number };
  /** True while the sender's lease at the state service is valid by its own clock and it is not draining. */
  isServed: boolean;
  shards: {
    shard: string;
    fencingToken: number;
    utilisation: number;
    waiting: number;
    /** CPUs of on-demand machines that are not used by live services. */
    serviceHeadroom: number;
  }[];
  demands: Demand[];
  /** Idle machines that may be released. */
  idleMachines: string[];
  /** Machines that are presumed lost and should be ended, so that their tasks are known to have terminated. */
  lostMachines: string[];
  /** Resources that teams' tasks use at the sender's shards. */
  teamUsage: { team: string; cpus: number; gpus: number }[];
  /** Teams whose share of the team's limit is too small for the tasks waiting at the sender. */
  throttledTeams: string[];
  /** The first job of each team that has been waiting for a long time because of the team's limit. */
  starvedJobs: { team: string; submittedAt: number; rank: number }[];
}

/** A request to estimate the turnaround of `tasks` tasks of a job; `spec` is its description, encoded by `encodeSpec`. */
export interface EstimateRequest {
  spec: string;
  zone: string | null;
  tasks: number;
}

/** Expected wait and turnaround at a shard, in seconds (PAPER III.A); `utilisation` is the share of its CPUs in use. */
export interface TurnaroundEstimate {
  shard: string;
  wait: number;
  turnaround: number;
  utilisation: number;
}

/** Announces that a job is about to be cancelled: its tasks are to be stopped and none may be started. */
export interface CancellationNotice {
  job: string;
  /** Wall-clock time of sending: a network partition may delay a message for minutes. */
  sentAt: number;
}

/** A chunk whose tasks the leader of its shard has stopped for a cancellation. */
export interface PreparedChunk {
  index: number;
  shard: string;
  fencingToken: number;
}

/** A request of a user or a worker, relayed to the node that can answer it. */
export interface Relay {
  method: string;
  target: string;
  body: string;
}

/** The answer to a relayed request. */
export interface Relayed {
  status: number;
  body: string;
  retryAfter: number | null;
}

/** A request on the connection between controllers. */
export type PeerRequest =
  | { Gossip: Gossip }
  | { Ask: EstimateRequest }
  | { Relay: Relay }
  | { PrepareCancel: CancellationNotice };
/** The answer to a request on the connection between controllers. */
export type PeerAnswer =
  | { Noted: Record<string, never> }
  | { Estimates: { of: TurnaroundEstimate[] } }
  | { Relayed: Relayed }
  | { PreparedChunks: { of: PreparedChunk[] } };
