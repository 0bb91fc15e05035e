/** What controllers tell and ask each other, as the rest of the program knows it. `peerCodec.ts` maps it to the wire. */

/** Work of one shape that a part cannot place now. */
export interface Demand {
  part: string;
  cpus: number;
  gpus: number;
  memory: number;
  types: string[] | null;
  zone: string | null;
  spot: boolean;
  rank: string;
  service: boolean;
  image: string;
  imageGb: number;
  count: number;
  /** Replicas wait for it: what boots soon is worth its price. */
  urgent: boolean;
  /** Tasks of batch work that could not be through in time otherwise: dear machines may be rented. */
  pressing: number;
  /** Expected run time of one task, corrected. */
  run: number;
}

export interface Gossip {
  from: string;
  /** Tells one start of the sender from the next. */
  process: string;
  /** Rises with each message of a process. */
  sequence: number;
  /** Time of day at which it was sent: a cut may hold it back for minutes. */
  at: number;
  /** What the sender asks of the state service, a second. */
  need: { requests: number; writes: number };
  /** True while the sender's lease at the state service is valid by its own clock. */
  served: boolean;
  hosts: {
    part: string;
    token: number;
    utilisation: number;
    waiting: number;
    /** Processors on ordinary machines that live services have not taken. */
    liveRoom: number;
  }[];
  demands: Demand[];
  /** Machines that may be returned. */
  spare: string[];
  /** Machines that are silent and should be ended, so that their tasks are known to be over. */
  lost: string[];
  /** What teams' tasks take at the sender's parts. */
  used: { team: string; cpus: number; gpus: number }[];
  /** Teams whose share of the limit is too small for what waits here. */
  throttled: string[];
  /** The first job of each team that its limit has kept waiting for long. */
  starving: { team: string; at: number; rank: number }[];
}

export interface EstimateRequest {
  spec: string;
  zone: string | null;
  tasks: number;
}

export interface TurnaroundEstimate {
  part: string;
  wait: number;
  turnaround: number;
  utilisation: number;
}

/** A job is about to be cancelled: its tasks are ended and none is started. */
export interface CancellationNotice {
  job: string;
  /** Time of day at which it was sent: a cut may hold it back for minutes. */
  at: number;
}

/** A chunk that runs no more, at the owner of its part. */
export interface PreparedChunk {
  index: number;
  part: string;
  token: number;
}

/** A request of a user or a worker, passed on to the node that can answer it. */
export interface Relay {
  method: string;
  target: string;
  body: string;
}

export interface Relayed {
  status: number;
  body: string;
  retryAfter: number | null;
}

export type PeerRequest =
  | { Gossip: Gossip }
  | { Ask: EstimateRequest }
  | { Relay: Relay }
  | { PrepareCancel: CancellationNotice };
export type PeerAnswer =
  | { Noted: Record<string, never> }
  | { Estimates: { of: TurnaroundEstimate[] } }
  | { Relayed: Relayed }
  | { PreparedChunks: { of: PreparedChunk[] } };
