/** Copies of answered messages, as a soak asks its stand-ins for them. */
import type { Random } from '../../src/base/random.js';
import type { MessageDuplication } from '../support/messageDuplication.js';
import type { DuplicationRequest } from './messages.js';

/** What a stand-in copies from now on; null: nothing. */
export function duplicationFor(
  { share, mostLate }: DuplicationRequest,
  random: Random,
): MessageDuplication | null {
  return share === 0 ? null : { share, delay: () => random() * mostLate, random };
}
