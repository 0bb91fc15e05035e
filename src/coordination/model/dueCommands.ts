/** Which commands a worker should execute now: pure, except that a stop is marked as sent when it is taken. */
import type { Command, ReportedAttempt } from '../../protocol/workerProtocol.js';
import type { Attempt, Chunk } from './chunk.js';
import { attemptKey } from './endedAttempt.js';
import type { Machine } from './machine.js';

/** A start or stop without effect is sent again after this long, as a ratio to the heartbeat interval. */
export const RESEND_INTERVALS = 1.5;

type PendingStop = NonNullable<Attempt['stop']>;

/** A stop or start that is due now. */
interface DueCommand {
  readonly command: Command;
  /** The stop to mark as sent; null for a start, and for a repeated stop of a checkpoint that takes too long. */
  readonly firstStop: PendingStop | null;
}

/**
 * Stops that may leave at any time, whatever else the controller may not do: they can't be wrong, and an answer without them
 * would only keep such tasks alive. They are those of tasks whose users have asked to cancel them, and of attempts that the shard
 * does not know: what another leader has started there, its worker does not let a lower fencing token end.
 */
export function unconditionalStops(machine: Machine): Command[] {
  const commands = machine.unknownAttempts.map(stopAtOnce);
  for (const [task, { chunk, attempt }] of machine.placements) {
    const { attemptNumber } = attempt;
    const reported = machine.reportedAttempts.find(task, attemptNumber);
    if (!chunk.isCancelRequested || reported === undefined) continue;
    if (reported.state !== 'ended') commands.push(stopAtOnce({ task, attemptNumber }));
  }
  return commands;
}

const stopAtOnce = ({ task, attemptNumber }: Pick<Command, 'task' | 'attemptNumber'>): Command => ({
  verb: 'stop',
  task,
  attemptNumber,
  gracePeriod: 0,
});

/**
 * Whether something should be sent to the worker at once. Acknowledgements are not worth a request of their own: they
 * are sent with other commands or in the answer to a heartbeat. A stop without effect is due again after `repeatAfter`
 * seconds.
 */
export function hasDueCommand(machine: Machine, now: number, repeatAfter: number): boolean {
  return dueStopsAndStarts(machine, now, repeatAfter).next().done !== true;
}

/**
 * Commands for the answer to a heartbeat. An acknowledgement changes what the worker reports, and so costs another
 * heartbeat when it is sent alone: it waits for other commands, but no longer than `acknowledgeWithin` seconds.
 */
export function commandsForAnswer(
  machine: Machine,
  now: number,
  repeatAfter: number,
  acknowledgeWithin: number,
): Command[] {
  const commands = dueCommands(machine, now, repeatAfter);
  if (commands.some((command) => command.verb !== 'acknowledge')) return commands;
  const isOverdue = ({ task, attemptNumber }: Command): boolean => {
    const endedAttempt = machine.endedAttempts.get(attemptKey(task, attemptNumber));
    return endedAttempt === undefined || now - endedAttempt.endedAt >= acknowledgeWithin;
  };
  return commands.some(isOverdue) ? commands : [];
}

/** Acknowledgements, stops and starts that the worker should execute now. The stops are marked as sent. */
export function dueCommands(machine: Machine, now: number, repeatAfter: number): Command[] {
  const due = [...dueStopsAndStarts(machine, now, repeatAfter)];
  for (const { firstStop } of due) if (firstStop !== null) firstStop.sentAt = now;
  return [...acknowledgements(machine), ...due.map(({ command }) => command)];
}

/** Ended attempts that the worker may forget. */
function* acknowledgements(machine: Machine): Generator<Command> {
  for (const { task, state, attemptNumber } of machine.reportedAttempts.all) {
    if (state !== 'ended') continue;
    const endedAttempt = machine.endedAttempts.get(attemptKey(task, attemptNumber));
    // An unknown one that has ended was given up before: nobody waits for it.
    const mayAcknowledge =
      endedAttempt?.mayAcknowledge ??
      machine.placements.get(task)?.attempt.attemptNumber !== attemptNumber;
    if (mayAcknowledge) yield { verb: 'acknowledge', task, attemptNumber };
  }
}

/** Stops of unknown attempts, and the stops and starts of placements that are due. */
function* dueStopsAndStarts(
  machine: Machine,
  now: number,
  repeatAfter: number,
): Generator<DueCommand> {
  for (const unknown of machine.unknownAttempts) {
    yield { command: stopAtOnce(unknown), firstStop: null };
  }
  for (const [task, { chunk, attempt }] of machine.placements) {
    const { attemptNumber, stop } = attempt;
    const reported = machine.reportedAttempts.find(task, attemptNumber);
    if (stop !== null) {
      const due = dueStop(stop, chunk.isCancelRequested, reported, now, repeatAfter);
      if (due === null) continue;
      const { gracePeriod, isRepeat } = due;
      const command: Command = { verb: 'stop', task, attemptNumber, gracePeriod };
      yield { command, firstStop: isRepeat ? null : stop };
    } else if (reported === undefined && isStartDue(machine, task, chunk, attempt, now)) {
      yield { command: { verb: 'start', task, attemptNumber }, firstStop: null };
    }
  }
}

/** It is stored, and was placed by this shard; no heartbeat has shown it yet, and nothing else withholds it. */
function isStartDue(
  machine: Machine,
  task: string,
  chunk: Chunk,
  attempt: Attempt,
  now: number,
): boolean {
  if (!chunk.isDurable(attempt) || attempt.wasReported || attempt.isInherited) return false;
  return machine.mayStart(task, now);
}

/** How an attempt is to be stopped now; null while no stop is due. */
function dueStop(
  stop: PendingStop,
  isCancelled: boolean,
  reported: ReportedAttempt | undefined,
  now: number,
  repeatAfter: number,
): { gracePeriod: number; isRepeat: boolean } | null {
  if (reported === undefined || reported.state === 'ended') return null;
  const { sentAt, gracePeriod } = stop;
  // What a task of a cancelled job would save is of no use.
  if (reported.state === 'saving' && !isCancelled) {
    // A second stop would end a task that is still writing its checkpoint; only after its time is up.
    const isOverdue = sentAt !== null && now - sentAt > gracePeriod + repeatAfter;
    return isOverdue ? { gracePeriod: 0, isRepeat: true } : null;
  }
  const isDue = sentAt === null || now - sentAt > repeatAfter;
  return isDue ? { gracePeriod, isRepeat: false } : null;
}
