/**
 * Computes which commands a worker should execute now, as many as one message holds. The only side effect is that returned stops
 * are marked as sent.
 */
import type { Command, ReportedAttempt } from '../../protocol/workerProtocol.js';
import type { Attempt, Chunk } from './chunk.js';
import { selectForMessage } from './commandSelection.js';
import { attemptKey } from './endedAttempt.js';
import type { Machine } from './machine.js';

/** A start or stop without effect is sent again after this time, as a ratio to the heartbeat interval. */
export const RESEND_INTERVALS = 1.5;

type PendingStop = NonNullable<Attempt['stop']>;

/** A stop or start that is due now. */
interface DueCommand {
  readonly command: Command;
  /** The stop to mark as sent; null for a start, and for a second stop of a task whose checkpoint takes too long. */
  readonly stopToMark: PendingStop | null;
}

/**
 * Stops that may be sent at any time, whatever else the controller is not allowed to do: they can't be wrong, and an answer
 * without them would only keep such tasks alive. They are the stops of tasks whose users have requested a cancellation, and of
 * attempts that the shard does not know: if a later leader has started such an attempt, its worker refuses the stop because of
 * the lower fencing token.
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
 * Whether a command should be sent to the worker at once. Acknowledgements don't justify a request of their own: they are sent
 * with other commands or in the answer to a heartbeat, unless ended attempts crowd the worker's heartbeat. A stop without effect
 * is due again after `resendAfter` seconds.
 */
export function hasDueCommand(machine: Machine, now: number, resendAfter: number): boolean {
  if (machine.isReportCrowded && acknowledgements(machine).next().done !== true) return true;
  return dueStopsAndStarts(machine, now, resendAfter).next().done !== true;
}

/**
 * Commands for the answer to a heartbeat. An acknowledgement changes what the worker reports, and therefore causes another
 * heartbeat if it is sent alone: it waits for other commands, but no longer than `acknowledgeWithin` seconds.
 */
export function commandsForAnswer(
  machine: Machine,
  now: number,
  resendAfter: number,
  acknowledgeWithin: number,
): Command[] {
  const commands = dueCommands(machine, now, resendAfter);
  if (commands.some((command) => command.verb !== 'acknowledge')) return commands;
  const isOverdue = ({ task, attemptNumber }: Command): boolean => {
    const endedAttempt = machine.endedAttempts.get(attemptKey(task, attemptNumber));
    return endedAttempt === undefined || now - endedAttempt.endedAt >= acknowledgeWithin;
  };
  return commands.some(isOverdue) ? commands : [];
}

/** Acknowledgements, stops and starts that the worker should execute now; marks the stops as sent. */
export function dueCommands(machine: Machine, now: number, resendAfter: number): Command[] {
  const due = [...dueStopsAndStarts(machine, now, resendAfter)];
  const commands = [...acknowledgements(machine), ...due.map(({ command }) => command)];
  const selected = selectForMessage(commands);
  const isSelected = selected.length < commands.length ? new Set(selected) : null;
  for (const { command, stopToMark } of due) {
    if (stopToMark !== null && isSelected?.has(command) !== false) stopToMark.sentAt = now;
  }
  return [...selected];
}

/** Acknowledgements of ended attempts that the worker may forget. */
function* acknowledgements(machine: Machine): Generator<Command> {
  for (const { task, state, attemptNumber } of machine.reportedAttempts.all) {
    if (state !== 'ended') continue;
    const endedAttempt = machine.endedAttempts.get(attemptKey(task, attemptNumber));
    // An unknown attempt that has ended was given up before: its result is not needed.
    const mayAcknowledge =
      endedAttempt?.mayAcknowledge ??
      machine.placements.get(task)?.attempt.attemptNumber !== attemptNumber;
    if (mayAcknowledge) yield { verb: 'acknowledge', task, attemptNumber };
  }
}

/** Stops of unknown attempts, and the due stops and starts of placements. */
function* dueStopsAndStarts(
  machine: Machine,
  now: number,
  resendAfter: number,
): Generator<DueCommand> {
  for (const unknown of machine.unknownAttempts) {
    yield { command: stopAtOnce(unknown), stopToMark: null };
  }
  for (const [task, { chunk, attempt }] of machine.placements) {
    const { attemptNumber, stop } = attempt;
    const reported = machine.reportedAttempts.find(task, attemptNumber);
    if (stop !== null) {
      const due = dueStop(stop, chunk.isCancelRequested, reported, now, resendAfter);
      if (due === null) continue;
      const { gracePeriod, isRepeat } = due;
      const command: Command = { verb: 'stop', task, attemptNumber, gracePeriod };
      yield { command, stopToMark: isRepeat ? null : stop };
    } else if (reported === undefined && isStartDue(machine, task, chunk, attempt, now)) {
      yield { command: { verb: 'start', task, attemptNumber }, stopToMark: null };
    }
  }
}

/** Whether a start is due: the attempt is stored, was placed by this leader, was never reported, and is not withheld. */
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

/** How to stop an attempt now; null while no stop is due. */
function dueStop(
  stop: PendingStop,
  isCancelled: boolean,
  reported: ReportedAttempt | undefined,
  now: number,
  resendAfter: number,
): { gracePeriod: number; isRepeat: boolean } | null {
  if (reported === undefined || reported.state === 'ended') return null;
  const { sentAt, gracePeriod } = stop;
  // The checkpoint of a cancelled job's task is not needed.
  if (reported.state === 'saving' && !isCancelled) {
    // A second stop would end a task that is still writing its checkpoint, so it is sent only after the grace period.
    const isOverdue = sentAt !== null && now - sentAt > gracePeriod + resendAfter;
    return isOverdue ? { gracePeriod: 0, isRepeat: true } : null;
  }
  const isDue = sentAt === null || now - sentAt > resendAfter;
  return isDue ? { gracePeriod, isRepeat: false } : null;
}
