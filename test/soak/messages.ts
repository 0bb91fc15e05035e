/** What the soak's main process and its stand-in processes tell each other. */

export type MachineFlag = 'hanging' | 'deaf' | 'cutOff' | 'holdsCommands' | 'cutIn';

/** Asked of the process with the state service. */
export type StateRequest =
  | { kind: 'listen'; client: string }
  | { kind: 'refuse'; client: string; isOn: boolean }
  /** Answers to `client` take so long; 0: as usual. */
  | { kind: 'slow'; client: string; seconds: number }
  /** Answers to `client`, worked out at once, leave up to so many seconds later; 0: at once. */
  | { kind: 'late-answers'; client: string; maxDelay: number }
  /** Of the transactions, those that get no answer; `atOnce` of them are carried out at once, the others late. 0: none. */
  | { kind: 'lose-answers'; share: number; atOnce: number; mostLate: number }
  | DuplicationRequest;

/** Of the answered messages, those of which a copy comes, up to `mostLate` seconds later. 0: none. */
export interface DuplicationRequest {
  kind: 'copies';
  share: number;
  mostLate: number;
}

/** Asked of the process with the cloud and its workers. */
export type FleetRequest =
  | { kind: 'listen' }
  /** Where workers find the controllers. */
  | { kind: 'nodes'; addresses: [string, string][] }
  /** Applies a flag to a share of the machines; `id` names the fault for its end. */
  | { kind: 'flag'; id: number; flag: MachineFlag; share: number }
  | { kind: 'unflag'; id: number }
  | { kind: 'message-faults'; lateCommands: number; copiedReports: number; mostLate: number }
  | DuplicationRequest
  /** A share of the machines loses its power. */
  | { kind: 'take'; share: number }
  /** A share of the machines is told that it will be taken. */
  | { kind: 'notice'; share: number; seconds: number }
  | { kind: 'capacity'; machines: number }
  /** Answered once everything that has happened so far was told. */
  | { kind: 'flush' };

/** What has happened to a task, in the order in which it happened. `at` is in seconds of `machineTime`. */
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

/** Times of a soak's cluster, in seconds, and its size. */
export interface FleetSetup {
  heartbeatInterval: number;
  workerLease: number;
  zones: string[];
  seed: number;
  capacity: number;
  /** The longest task. */
  maxTaskSeconds: number;
}

/**
 * Seconds since this machine was started: one clock for all processes. Times of day are each counted from their
 * process's own start, and lines of one seed have shown them half a second apart; why is not known.
 */
export const hostMonotonicSeconds = (): number => Number(process.hrtime.bigint()) / 1e9;
