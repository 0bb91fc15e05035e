/** Messages between the soak's main process and its stand-in processes. */

export type MachineFlag = 'hanging' | 'deaf' | 'cutOff' | 'holdsCommands' | 'cutIn';

/** Requests to the process with the state service. */
export type StateRequest =
  | { kind: 'listen'; client: string }
  | { kind: 'refuse'; client: string; isOn: boolean }
  /** Delays each answer to `client` by `seconds`; 0 ends the delay. */
  | { kind: 'slow'; client: string; seconds: number }
  /** Computes answers to `client` at once but sends them up to `maxDelay` seconds later; 0 ends the delay. */
  | { kind: 'late-answers'; client: string; maxDelay: number }
  /**
   * Withholds the answers to a `share` of the transactions. Of these, the share `atOnce` is applied at once, the others up to
   * `maxDelay` seconds later. A share of 0 ends it.
   */
  | { kind: 'lose-answers'; share: number; atOnce: number; maxDelay: number }
  | DuplicationRequest;

/** Delivers a `share` of the answered messages a second time, up to `maxDelay` seconds later. A share of 0 ends it. */
export interface DuplicationRequest {
  kind: 'copies';
  share: number;
  maxDelay: number;
}

/** Requests to the process with the cloud and its workers. */
export type FleetRequest =
  | { kind: 'listen' }
  /** Addresses at which workers reach the controllers, by node. */
  | { kind: 'nodes'; addresses: [string, string][] }
  /** Sets a flag on a share of the machines; `unflag` with the same `id` clears it. */
  | { kind: 'flag'; id: number; flag: MachineFlag; share: number }
  | { kind: 'unflag'; id: number }
  | { kind: 'message-faults'; lateCommands: number; copiedReports: number; maxDelay: number }
  | DuplicationRequest
  /** The cloud reclaims a share of the machines without notice. */
  | { kind: 'take'; share: number }
  /** A share of the machines gets a preemption notice: the cloud reclaims them after `seconds`. */
  | { kind: 'notice'; share: number; seconds: number }
  | { kind: 'capacity'; machines: number }
  /** Answered after all earlier task events have been sent. */
  | { kind: 'flush' };

/** A change of a task's state on a worker; events are sent in order. `at` is in seconds of `hostMonotonicSeconds`. */
export interface TaskEvent {
  kind: 'started' | 'done' | 'left';
  task: string;
  machine: string;
  at: number;
}

export interface NumberedRequest<Request> {
  sequence: number;
  request: Request;
}

export type StandInMessage =
  { kind: 'reply'; sequence: number; address: string | null } | { kind: 'event'; event: TaskEvent };

/** Start argument of the fleet process: time settings in seconds, size and seed. */
export interface FleetSetup {
  heartbeatInterval: number;
  workerLease: number;
  zones: string[];
  seed: number;
  capacity: number;
  /** Run time of the longest task, in seconds. */
  maxTaskSeconds: number;
}

/**
 * Monotonic time of the host since its boot, in seconds: the same clock in all processes. The wall-clock times of two
 * processes, each counted from the start of its process, have differed by half a second within one seed; the cause is unknown.
 */
export const hostMonotonicSeconds = (): number => Number(process.hrtime.bigint()) / 1e9;
