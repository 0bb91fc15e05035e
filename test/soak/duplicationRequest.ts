/** Turns a soak's duplication request into the settings of a stand-in. */
import type { Random } from '../../src/base/random.js';
import type { MessageDuplication } from '../support/messageDuplication.js';
import type { DuplicationRequest } from './messages.js';

/** The duplication settings that a stand-in uses from now on; null turns duplication off. */
export function duplicationFor(
  { share, maxDelay }: DuplicationRequest,
  random: Random,
): MessageDuplication | null {
  return share === 0 ? null : { share, delay: () => random() * maxDelay, random };
}
