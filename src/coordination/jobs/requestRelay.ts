/** Passes users' requests on to peers that can answer them. */
import type { Clock } from '../../base/clock.js';
import type { Relay } from '../../protocol/peerMessages.js';
import type { Reply } from '../../transport/httpServer.js';
import type { PeerRegistry } from '../peers/peerRegistry.js';

/** Seconds in which a user is answered; PROTOCOL has them give up after five. */
export const REQUEST_TIMEOUT_SECONDS = 4;

/** What relaying needs of a node. */
export interface RequestRelayContext {
  readonly clock: Pick<Clock, 'now'>;
  readonly peers: Pick<PeerRegistry, 'relay' | 'served'>;
}

/** A peer's answer to a relayed request; `body` is JSON. */
interface RelayedAnswer {
  readonly status: number;
  readonly body: string;
  readonly retryAfter: number | null;
}

/**
 * Asks nodes that the state service serves, one after the other, while the user still waits. Null when none of
 * them has answered.
 */
export async function relayToAnyPeer(
  { clock, peers }: RequestRelayContext,
  request: Relay,
  timeoutSeconds = REQUEST_TIMEOUT_SECONDS,
): Promise<Reply | null> {
  const deadline = clock.now() + timeoutSeconds;
  const labels = peers.served();
  for (const [i, label] of labels.entries()) {
    // A silent peer must leave time for the next.
    const left = (deadline - clock.now()) / Math.min(2, labels.length - i);
    if (left <= 0) break;
    const answer = await peers.relay(label, request, left);
    if (answer !== null && answer.status !== 503) return replyFromPeer(answer);
  }
  return null;
}

/** A peer's answer as the reply to the user. */
export function replyFromPeer({ status, body, retryAfter }: RelayedAnswer): Reply {
  const parsed = JSON.parse(body) as unknown;
  return retryAfter === null ? { status, body: parsed } : { status, body: parsed, retryAfter };
}
