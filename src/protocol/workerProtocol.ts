/** Reports of the workers and commands to them. */
import * as v from 'valibot';

/** What an attempt does on its worker. */
export type TaskState = 'fetching' | 'running' | 'saving' | 'ended' | 'waiting';

/** One attempt in a worker's heartbeat. */
export interface ReportedAttempt {
  task: string;
  attemptNumber: number;
  state: TaskState;
  cause: string | null;
  hasCheckpoint: boolean;
}

/** What a worker tells of itself and of the attempts on it. */
export interface Heartbeat {
  machine: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  agentEpoch: number;
  heartbeatSequence: number;
  /** Highest token that the worker has seen. */
  highestFencingToken: number;
  /** Seconds until the cloud takes the machine away, or null. */
  preemptionWarning: number | null;
  attempts: ReportedAttempt[];
}

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

const schema = v.object({
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

const states: Record<string, TaskState> = {
  fetching: 'fetching',
  waiting: 'waiting',
  running: 'running',
  saving: 'saving',
  ended: 'ended',
};

/** Gives null for anything that is no report. */
export function parseHeartbeat(raw: unknown): Heartbeat | null {
  const result = v.safeParse(schema, raw);
  if (!result.success) return null;
  const w = result.output;
  return {
    machine: w.Drone,
    address: w.Address,
    type: w.Flavour,
    zone: w.Yard,
    spot: w.Loaners,
    agentEpoch: w.Shift,
    heartbeatSequence: w.Tick,
    highestFencingToken: w.Baton,
    preemptionWarning: w.WarningS ?? null,
    attempts: (w.Pieces ?? []).map((p) => ({
      task: p.Piece,
      attemptNumber: p.Try,
      // A state we don't know still holds its room.
      state: states[p.Status] ?? 'running',
      cause: p.Cause ?? null,
      hasCheckpoint: p.Kept ?? false,
    })),
  };
}

/** What a worker is told to do. `gracePeriod`: seconds to save a checkpoint in. */
export type Command =
  | { verb: 'start'; task: string; attemptNumber: number }
  | { verb: 'stop'; task: string; attemptNumber: number; gracePeriod: number }
  | { verb: 'acknowledge'; task: string; attemptNumber: number };

/** What PROTOCOL calls each kind of command. */
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

/** The fencing token of one message to a worker: one of its leadership's, which are compared by the first alone. */
export type CommandToken = number & { readonly [commandToken]: true };

/** The answer that renews the lease of a worker. */
export const heartbeatAnswer = (
  token: CommandToken,
  orders: Command[],
): Record<string, unknown> => ({
  Baton: token,
  Orders: orders.map(toWireCommand),
});

/** The body of commands that are sent straight to a worker. */
export const commandsRequest = (
  token: CommandToken,
  session: number,
  orders: Command[],
): Record<string, unknown> => ({ Baton: token, Shift: session, Orders: orders.map(toWireCommand) });

/** The body of a 421: the controller that leads the shard, if one is known. */
export const redirectAnswer = (owner: string | null): Record<string, unknown> =>
  owner === null ? {} : { Foreman: owner };

/** The workers' HTTP paths. */
export const paths = { commands: '/orders', inspect: '/inspect' };
