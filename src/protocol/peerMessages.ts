/** What controllers tell and ask each other, as the rest of the program knows it. `peerCodec.ts` maps it to the wire. */

/** Work of one shape that a shard cannot place now. */
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
  /** Replicas wait for it: what boots soon is worth its price. */
  isUrgent: boolean;
  /** Tasks of batch work that could not be through in time otherwise: dear machines may be rented. */
  onDemandCount: number;
  /** Expected run time of one task, corrected. */
  expectedRunSeconds: number;
}

/** What a controller tells its peers several times a heartbeat interval. */
export interface Gossip {
  sender: string;
  /** Tells one start of the sender from the next. */
  process: string;
  /** Rises with each message of a process. */
  sequence: number;
  /** Time of day at which it was sent: a cut may hold it back for minutes. */
  sentAt: number;
  /** What the sender asks of the state service, a second. */
  stateDemand: { requests: number; writes: number };
  /** True while the sender's lease at the state service is valid by its own clock. */
  isServed: boolean;
  shards: {
    shard: string;
    fencingToken: number;
    utilisation: number;
    waiting: number;
    /** Processors on ordinary machines that live services have not taken. */
    serviceHeadroom: number;
  }[];
  demands: Demand[];
  /** Machines that may be returned. */
  idleMachines: string[];
  /** Machines that are silent and should be ended, so that their tasks are known to be over. */
  lostMachines: string[];
  /** What teams' tasks take at the sender's shards. */
  teamUsage: { team: string; cpus: number; gpus: number }[];
  /** Teams whose share of the limit is too small for what waits here. */
  throttledTeams: string[];
  /** The first job of each team that its limit has kept waiting for long. */
  starvedJobs: { team: string; submittedAt: number; rank: number }[];
}

/** A question for the turnaround of so many tasks of a job; `spec` is `encodeSpec` of its description. */
export interface EstimateRequest {
  spec: string;
  zone: string | null;
  tasks: number;
}

/** What one shard expects of a job, in seconds (PAPER III.A); `utilisation` is the share of its processors that are in use. */
export interface TurnaroundEstimate {
  shard: string;
  wait: number;
  turnaround: number;
  utilisation: number;
}

/** A job is about to be cancelled: its tasks are ended and none is started. */
export interface CancellationNotice {
  job: string;
  /** Time of day at which it was sent: a cut may hold it back for minutes. */
  sentAt: number;
}

/** A chunk that runs no more, at the owner of its shard. */
export interface PreparedChunk {
  index: number;
  shard: string;
  fencingToken: number;
}

/** A request of a user or a worker, passed on to the node that can answer it. */
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

/** A request on the link between controllers. */
export type PeerRequest =
  | { Gossip: Gossip }
  | { Ask: EstimateRequest }
  | { Relay: Relay }
  | { PrepareCancel: CancellationNotice };
/** The answer to a request on the link between controllers. */
export type PeerAnswer =
  | { Noted: Record<string, never> }
  | { Estimates: { of: TurnaroundEstimate[] } }
  | { Relayed: Relayed }
  | { PreparedChunks: { of: PreparedChunk[] } };
