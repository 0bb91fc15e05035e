/** Heartbeats of workers and commands to them. */
import * as v from 'valibot';

/** Maximum bytes of a request's body, and of a line in a response to a worker (PROTOCOL). */
export const MAX_MESSAGE_BYTES = 64 * 1024;

/** Bytes of a message around its commands: the fencing token, the agent epoch and the names of the fields. */
const COMMAND_ENVELOPE_BYTES = 256;

/** Maximum bytes of the commands in one message. */
export const MAX_COMMAND_BYTES = MAX_MESSAGE_BYTES - COMMAND_ENVELOPE_BYTES;

/** Bytes of a heartbeat around its attempts: the description of the machine. */
const HEARTBEAT_ENVELOPE_BYTES = 1024;

/** Maximum bytes of the attempts in one heartbeat. */
export const MAX_REPORT_BYTES = MAX_MESSAGE_BYTES - HEARTBEAT_ENVELOPE_BYTES;

/**
 * Maximum bytes of a heartbeat that is accepted. A worker that reports more than `MAX_REPORT_BYTES` is heard all the same: if it
 * were refused, its lease would end and all of its tasks with it.
 */
export const MAX_ACCEPTED_HEARTBEAT_BYTES = 16 * MAX_MESSAGE_BYTES;

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

/** Bytes of a command in a message, with the comma that follows it. */
export const commandBytes = (command: Command): number =>
  Buffer.byteLength(JSON.stringify(toWireCommand(command))) + 1;

/** Bytes of a command besides the name of its task, at the most. */
const MAX_COMMAND_FRAME_BYTES = 96;

/** Maximum bytes of one character of a task's name in JSON. */
const MAX_CHARACTER_BYTES = 6;

/** An upper bound of `commandBytes` that is quick to compute. */
export const maxCommandBytes = ({ task }: Command): number =>
  MAX_COMMAND_FRAME_BYTES + MAX_CHARACTER_BYTES * task.length;

/** Bytes of an attempt in a heartbeat besides its task, its number and its cause. */
const REPORTED_ATTEMPT_FRAME_BYTES = '{"Piece":"","Try":,"Status":"fetching"},'.length;

/** Further bytes of an attempt that has a cause and a checkpoint, besides the cause. */
const REPORTED_END_FRAME_BYTES = ',"Cause":"","Kept":true'.length;

/** Approximate bytes of an attempt in its worker's heartbeat; `cause`: null unless it has ended. */
export function reportedAttemptBytes(
  task: string,
  attemptNumber: number,
  cause: string | null = null,
): number {
  const endBytes = cause === null ? 0 : REPORTED_END_FRAME_BYTES + cause.length;
  return REPORTED_ATTEMPT_FRAME_BYTES + task.length + String(attemptNumber).length + endBytes;
}

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
