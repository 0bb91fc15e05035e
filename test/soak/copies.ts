/** Copies of answered messages, as a soak asks its stand-ins for them. */
import type { Random } from '../../src/base/random.js';
import type { MessageCopies } from '../support/messageCopies.js';
import type { CopyRequest } from './messages.js';

/** What a stand-in copies from now on; null: nothing. */
export function copiesAsAsked(
  { share, mostLate }: CopyRequest,
  random: Random,
): MessageCopies | null {
  return share === 0 ? null : { share, delay: () => random() * mostLate, random };
}
