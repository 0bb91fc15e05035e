/** Replies that several modules give to users. */
import type { Reply } from '../../transport/httpServer.js';

/** Not now: the user should come back after so many seconds. */
export const unavailable = (reason: string, retryAfter = 1): Reply => ({
  status: 503,
  body: { error: reason },
  retryAfter,
});
