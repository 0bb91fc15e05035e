/** Heartbeats of workers and commands to them. */
import * as v from 'valibot';

/** The state of an attempt on its worker. */
export type TaskState = 'fetching' | 'running' | 'saving' | 'ended' | 'waiting';

/** One attempt in a worker's heartbeat. */
export interface ReportedAttempt {
  task: string;
  attemptNumber: number;
  state: TaskState;
  cause: string | null;
  hasCheckpoint: boolean;
}

/** A worker's report on itself and on its attempts. */
export interface Heartbeat {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  agentEpoch: number;
  heartbeatSequence: number;
  /** Highest fencing token that the worker has received. */
  highestFencingToken: number;
  /** Seconds until the cloud preempts the machine; null if no preemption is announced. */
  preemptionWarning: number | null;
  attempts: ReportedAttempt[];
}

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

const heartbeatSchema = v.object({
  Drone: v.string(),
  Address: v.string(),
  Flavour: v.string(),
  Yard: v.string(),
  Loaners: v.boolean(),
  Shift: count,
  Tick: count,
  Baton: count,
  WarningS: v.nullish(v.number()),
  Pieces: v.nullish(
    v.array(
      v.object({
        Piece: v.string(),
        Try: count,
        Status: v.string(),
        Cause: v.nullish(v.string()),
        Kept: v.nullish(v.boolean()),
      }),
    ),
  ),
});

const taskStates: Record<string, TaskState> = {
  fetching: 'fetching',
  waiting: 'waiting',
  running: 'running',
  saving: 'saving',
  ended: 'ended',
};

/** Parses a heartbeat; null if it is malformed. */
export function parseHeartbeat(raw: unknown): Heartbeat | null {
  const result = v.safeParse(heartbeatSchema, raw);
  if (!result.success) return null;
  const fields = result.output;
  return {
    machine: fields.Drone,
    address: fields.Address,
    type: fields.Flavour,
    zone: fields.Yard,
    spot: fields.Loaners,
    agentEpoch: fields.Shift,
    heartbeatSequence: fields.Tick,
    highestFencingToken: fields.Baton,
    preemptionWarning: fields.WarningS ?? null,
    attempts: (fields.Pieces ?? []).map((attempt) => ({
      task: attempt.Piece,
      attemptNumber: attempt.Try,
      // An attempt in an unknown state still occupies its resources.
      state: taskStates[attempt.Status] ?? 'running',
      cause: attempt.Cause ?? null,
      hasCheckpoint: attempt.Kept ?? false,
    })),
  };
}

/** A command to a worker. `gracePeriod`: seconds that the task has to save a checkpoint. */
export type Command =
  | { verb: 'start'; task: string; attemptNumber: number }
  | { verb: 'stop'; task: string; attemptNumber: number; gracePeriod: number }
  | { verb: 'acknowledge'; task: string; attemptNumber: number };

/** The verb of each command on the wire, as defined by PROTOCOL. */
const wireVerbs: Record<Command['verb'], string> = {
  start: 'start',
  stop: 'halt',
  acknowledge: 'reap',
};

const toWireCommand = (command: Command): Record<string, unknown> => ({
  Verb: wireVerbs[command.verb],
  Piece: command.task,
  Try: command.attemptNumber,
  ...(command.verb === 'stop' ? { WindDownS: command.gracePeriod } : {}),
});

declare const commandToken: unique symbol;

/** The fencing token of one message to a worker: one of the leader's block; leaderships compare by their first token. */
export type CommandToken = number & { readonly [commandToken]: true };

/** The answer to a heartbeat, which renews the worker's lease. */
export const heartbeatAnswer = (
  token: CommandToken,
  commands: Command[],
): Record<string, unknown> => ({
  Baton: token,
  Orders: commands.map(toWireCommand),
});

/** The body of a request that sends commands directly to a worker. */
export const commandsRequest = (
  token: CommandToken,
  agentEpoch: number,
  commands: Command[],
): Record<string, unknown> => ({
  Baton: token,
  Shift: agentEpoch,
  Orders: commands.map(toWireCommand),
});

/** The body of a 421 answer: the controller that leads the shard, if one is known. */
export const redirectAnswer = (owner: string | null): Record<string, unknown> =>
  owner === null ? {} : { Foreman: owner };

/** The workers' HTTP paths. */
export const paths = { commands: '/orders', inspect: '/inspect' };
