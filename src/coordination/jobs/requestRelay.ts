/** Relays users' requests to peers that can answer them. */
import type { Clock } from '../../base/clock.js';
import type { Relay } from '../../protocol/peerMessages.js';
import { parseJobAnswer } from '../../protocol/job.js';
import type { PeerRegistry } from '../peers/peerRegistry.js';
import { unavailable, type JobReply, type StatelessReply } from './replies.js';

/** Seconds within which a user is answered; by PROTOCOL, users give up after five seconds. */
export const REQUEST_TIMEOUT_SECONDS = 4;

/** Dependencies of the relaying functions. */
export interface RequestRelayContext {
  readonly clock: Pick<Clock, 'now'>;
  readonly peers: Pick<PeerRegistry, 'relay' | 'servedPeers'>;
}

/** A peer's answer to a relayed request; `body` is JSON. */
interface RelayedAnswer {
  readonly status: number;
  readonly body: string;
  readonly retryAfter: number | null;
}

/** A request about a job that is to be relayed. */
export interface RelayedJobRequest {
  readonly job: string;
  readonly request: Relay;
}

/**
 * Relays a request to the peers that the state service serves, one after another, while the user still waits. Returns null
 * if none of them has answered.
 */
export async function relayToAnyPeer(
  context: RequestRelayContext,
  relay: RelayedJobRequest,
  timeoutSeconds = REQUEST_TIMEOUT_SECONDS,
): Promise<JobReply | null> {
  const { clock, peers } = context;
  const deadline = clock.now() + timeoutSeconds;
  const labels = peers.servedPeers();
  for (const [i, label] of labels.entries()) {
    // A peer that does not answer must leave time for the next one.
    const remaining = (deadline - clock.now()) / Math.min(2, labels.length - i);
    if (remaining <= 0) break;
    const reply = await relayToPeer(context, label, relay, remaining);
    if (reply !== null && reply.status !== 503) return reply;
  }
  return null;
}

/** A peer's answer as the reply to the user; null if it does not answer in time, or its answer is about another job. */
export async function relayToPeer(
  { clock, peers }: RequestRelayContext,
  peer: string,
  { job, request }: RelayedJobRequest,
  timeoutSeconds: number,
): Promise<JobReply | null> {
  const asOf = clock.now();
  const answer = await peers.relay(peer, request, timeoutSeconds);
  return answer === null ? null : replyFromPeer(answer, job, peer, asOf);
}

function replyFromPeer(
  { status, body, retryAfter }: RelayedAnswer,
  job: string,
  peer: string,
  asOf: number,
): JobReply | null {
  const parsed = JSON.parse(body) as unknown;
  switch (status) {
    case 200:
    case 201: {
      const answered = parseJobAnswer(parsed);
      if (answered?.id !== job) return null;
      const evidence = { kind: 'peer', peer, asOf } as const;
      return { status, body: parsed, reported: { job, status: answered.status, evidence } };
    }
    case 400:
    case 404:
    case 422:
      return { status, body: parsed };
    default:
      return unavailableAtPeer(parsed, retryAfter);
  }
}

/** The reply for a peer's answer that asks the user to retry. */
function unavailableAtPeer(body: unknown, retryAfter: number | null): StatelessReply {
  const refusal = unavailable('a peer could not answer', retryAfter ?? undefined);
  return { ...refusal, body };
}
