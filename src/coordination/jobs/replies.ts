/** Replies that several modules give to users. */
import type { Reply } from '../../transport/httpServer.js';

/** Not now: the user should come back after `retryAfter` seconds. */
export const unavailable = (reason: string, retryAfter = 1): Reply => ({
  status: 503,
  body: { error: reason },
  retryAfter,
});

/** Neither the state service nor any peer is in reach of this node. */
export const isolatedReply = (): Reply =>
  unavailable('this node is cut off from the others and the state service', 2);

/** No job of this id was ever accepted. */
export const NO_SUCH_JOB: Reply = { status: 404, body: { error: 'no such job' } };
