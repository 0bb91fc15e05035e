/** What the soak's main process and its stand-in processes tell each other. */

export type MachineFlag = 'hanging' | 'deaf' | 'cutOff' | 'holdsCommands' | 'cutIn';

/** Asked of the process with the state service. */
export type StateRequest =
  | { kind: 'listen'; client: string }
  | { kind: 'refuse'; client: string; isOn: boolean }
  /** Answers to `client` take so long; 0: as usual. */
  | { kind: 'slow'; client: string; seconds: number }
  /** Of the transactions, those that get no answer; half are carried out at once, the others late. 0: none. */
  | { kind: 'lose-answers'; share: number; mostLate: number };

/** Asked of the process with the cloud and its workers. */
export type FleetRequest =
  | { kind: 'listen' }
  /** Where workers find the controllers. */
  | { kind: 'nodes'; addresses: [string, string][] }
  /** Applies a flag to a share of the machines; `id` names the fault for its end. */
  | { kind: 'flag'; id: number; flag: MachineFlag; share: number }
  | { kind: 'unflag'; id: number }
  | { kind: 'message-faults'; lateCommands: number; copiedReports: number; mostLate: number }
  /** A share of the machines loses its power. */
  | { kind: 'take'; share: number }
  /** A share of the machines is told that it will be taken. */
  | { kind: 'notice'; share: number; seconds: number }
  | { kind: 'capacity'; machines: number };

/** What has happened to a task, in the order in which it happened. `at` is the time of day in seconds. */
export interface TaskEvent {
  kind: 'started' | 'done' | 'left';
  task: string;
  machine: string;
  at: number;
}

export interface Numbered<Request> {
  sequence: number;
  request: Request;
}

export type FromStandIn =
  { kind: 'reply'; sequence: number; address: string | null } | { kind: 'event'; event: TaskEvent };

/** Times of a soak's cluster, in seconds, and its size. */
export interface FleetPlan {
  report: number;
  lease: number;
  zones: string[];
  seed: number;
  capacity: number;
  /** The longest task. */
  longest: number;
}

export const timeOfDay = (): number => (performance.timeOrigin + performance.now()) / 1000;
