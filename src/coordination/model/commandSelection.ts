/**
 * Selects the commands of one message, so that it stays within the size that PROTOCOL allows. A worker refuses a larger message as
 * a whole, and every repetition of it: the other commands stay due, and leave with the next message.
 */
import {
  commandBytes,
  MAX_COMMAND_BYTES,
  maxCommandBytes,
  type Command,
} from '../../protocol/workerProtocol.js';

/** The order in which commands get the room of a message: users wait for the ends of cancelled tasks. */
const SELECTION_ORDER: Record<Command['verb'], number> = { stop: 0, acknowledge: 1, start: 2 };

/** Whether all commands surely fit into one message. */
function surelyFit(commands: readonly Command[]): boolean {
  let bytes = 0;
  for (const command of commands) {
    bytes += maxCommandBytes(command);
    if (bytes > MAX_COMMAND_BYTES) return false;
  }
  return true;
}

/** The commands that one message can carry, in their given order: stops first, then acknowledgements, then starts. */
export function selectForMessage(commands: readonly Command[]): readonly Command[] {
  if (surelyFit(commands)) return commands;
  const selected = new Set<Command>();
  let remainingBytes = MAX_COMMAND_BYTES;
  for (const command of inSelectionOrder(commands)) {
    const bytes = commandBytes(command);
    if (bytes > remainingBytes) continue;
    remainingBytes -= bytes;
    selected.add(command);
  }
  return commands.filter((command) => selected.has(command));
}

/** Whether a message with these commands has no room for another one. */
export function isMessageFull(commands: readonly Command[], other: Command): boolean {
  if (surelyFit([...commands, other])) return false;
  const bytes = commands.reduce((sum, command) => sum + commandBytes(command), 0);
  return bytes + commandBytes(other) > MAX_COMMAND_BYTES;
}

const inSelectionOrder = (commands: readonly Command[]): Command[] =>
  [...commands].sort((a, b) => SELECTION_ORDER[a.verb] - SELECTION_ORDER[b.verb]);
