/** The peers' state as received in their gossip, and this controller's calls to them. */
import type { Clock } from '../../base/clock.js';
import { decodeAnswer, encodeRequest, encodeSpec } from '../../protocol/peerCodec.js';
import type {
  Demand,
  TurnaroundEstimate,
  Gossip,
  Relay,
  Relayed,
  PreparedChunk,
} from '../../protocol/peerMessages.js';
import type { JobSpec } from '../../protocol/job.js';
import type { PeerClient } from '../../transport/peerLink.js';

/** Peers are asked for estimates only while the age of their last gossip is at most this share of its validity. */
const REACHABLE_SHARE = 0.4;

interface Peer {
  label: string;
  zone: string;
  client: PeerClient;
  gossip: Gossip | null;
  /** Monotonic time at which the last gossip was received. */
  gossipReceivedAt: number;
  /** Monotonic time since which the state service has served the peer; null: it does not. */
  servedSince: number | null;
}

/** The other controllers of the deployment. */
export class PeerRegistry {
  private readonly peers = new Map<string, Peer>();

  constructor(
    private readonly clock: Clock,
    /** Seconds for which gossip is valid. */
    private readonly gossipValidity: number,
    /** Seconds by which the wall-clock times of two controllers may differ. */
    private readonly clockSkew: number,
    peers: { label: string; zone: string; client: PeerClient }[],
  ) {
    for (const peer of peers) {
      this.peers.set(peer.label, {
        ...peer,
        gossip: null,
        gossipReceivedAt: -Infinity,
        servedSince: null,
      });
    }
  }

  /** The labels of all peers. */
  get labels(): string[] {
    return [...this.peers.keys()];
  }

  /** Closes all connections. */
  close(): void {
    for (const peer of this.peers.values()) peer.client.close();
  }

  /** Processes a peer's gossip, unless it is late or older than the cached one (safety, T12). */
  receiveGossip(gossip: Gossip): void {
    const peer = this.peers.get(gossip.sender);
    if (peer === undefined) return;
    const now = this.clock.now();
    // After a partition messages arrive late, also those of the peer's earlier processes: what they report of machines
    // to release, of fencing tokens and of teams is outdated.
    const previous = peer.gossip;
    const isLate = this.isLate(gossip.sentAt);
    const isOutdated =
      previous !== null &&
      (previous.process === gossip.process
        ? gossip.sequence <= previous.sequence
        : gossip.sentAt < previous.sentAt - 2 * this.clockSkew);
    if (isLate || isOutdated) return;
    if (!gossip.isServed || now - peer.gossipReceivedAt > this.gossipValidity)
      peer.servedSince = null;
    if (gossip.isServed) peer.servedSince ??= now;
    peer.gossip = gossip;
    peer.gossipReceivedAt = now;
  }

  private isFresh(peer: Peer): boolean {
    return this.clock.now() - peer.gossipReceivedAt <= this.gossipValidity;
  }

  /** Whether the peer has been up, reachable and served by the state service for this long. */
  hasBeenServedFor(label: string, seconds: number): boolean {
    const peer = this.peers.get(label);
    if (peer?.servedSince === null || peer === undefined || !this.isFresh(peer)) return false;
    return this.clock.now() - peer.servedSince >= seconds;
  }

  /** The peers that the state service serves, by their gossip. */
  servedPeers(): string[] {
    return [...this.peers.values()]
      .filter((p) => this.isFresh(p) && p.gossip?.isServed === true)
      .map((p) => p.label);
  }

  /** The process that a peer's messages come from; null if there has been no gossip recently. */
  processOf(label: string): string | null {
    const peer = this.peers.get(label);
    return peer !== undefined && this.isFresh(peer) ? (peer.gossip?.process ?? null) : null;
  }

  /** The latest gossip of each peer, as long as it is valid. */
  gossips(): Gossip[] {
    return [...this.peers.values()].flatMap((p) =>
      p.gossip !== null && this.isFresh(p) ? [p.gossip] : [],
    );
  }

  /** The peers' demands on the state service. */
  stateDemands(): Gossip['stateDemand'][] {
    return this.gossips().map((g) => g.stateDemand);
  }

  /** The demands for machines of all peers' shards. */
  demands(): Demand[] {
    return this.gossips().flatMap((g) => g.demands);
  }

  /** The peer that leads a shard, by the peers' gossip; the highest fencing token counts. */
  leaderOf(shard: string): { label: string; fencingToken: number } | null {
    let best: { label: string; fencingToken: number } | null = null;
    for (const gossip of this.gossips()) {
      const announced = gossip.shards.find((candidate) => candidate.shard === shard);
      if (announced !== undefined && announced.fencingToken > (best?.fencingToken ?? -1)) {
        best = { label: gossip.sender, fencingToken: announced.fencingToken };
      }
    }
    return best;
  }

  /** Sends gossip to all peers, without waiting for their answers. */
  broadcastGossip(gossip: Gossip, timeout: number): void {
    const body = encodeRequest({ Gossip: gossip });
    for (const peer of this.peers.values()) {
      peer.client.call(body, timeout).catch(() => undefined);
    }
  }

  /**
   * Asks all peers at once for turnaround estimates (DESIGN); peers that do not answer within `timeout` are ignored. Peers
   * whose gossip has stopped are not asked: in a partition each submission would wait for the timeout.
   */
  async requestEstimates(
    spec: JobSpec,
    zone: string | null,
    tasks: number,
    timeout: number,
  ): Promise<(TurnaroundEstimate & { node: string })[]> {
    const body = encodeRequest({ Ask: { spec: encodeSpec(spec), zone, tasks } });
    const reachable = [...this.peers.values()].filter(
      (p) => this.clock.now() - p.gossipReceivedAt <= this.gossipValidity * REACHABLE_SHARE,
    );
    const calls = reachable.map(async (peer) => {
      try {
        const answer = decodeAnswer(await peer.client.call(body, timeout));
        if (!('Estimates' in answer)) return [];
        return answer.Estimates.of.map((e) => ({ ...e, node: peer.label }));
      } catch {
        return [];
      }
    });
    return (await Promise.all(calls)).flat();
  }

  /** Whether a message sent at this wall-clock time is late: what it reports may have been revoked since. */
  isLate(at: number): boolean {
    return this.clock.wall() - at > this.gossipValidity + 2 * this.clockSkew;
  }

  /**
   * Announces a cancellation to all peers. `note` receives each answer and returns whether the answers so far are enough;
   * the result is false if they never were.
   */
  prepareCancel(
    job: string,
    timeout: number,
    note: (found: PreparedChunk[]) => boolean,
  ): Promise<boolean> {
    const body = encodeRequest({ PrepareCancel: { job, sentAt: this.clock.wall() } });
    return new Promise((resolve) => {
      const calls = [...this.peers.values()].map(async ({ client }) => {
        try {
          const answer = decodeAnswer(await client.call(body, timeout));
          if ('PreparedChunks' in answer && note(answer.PreparedChunks.of)) resolve(true);
        } catch {
          // The peer is unreachable: whether its tasks have ended is unconfirmed.
        }
      });
      void Promise.all(calls).then(() => {
        resolve(false);
      });
    });
  }

  /** Forwards a request to a peer; null if it does not answer. */
  async relay(label: string, relay: Relay, timeout: number): Promise<Relayed | null> {
    const peer = this.peers.get(label);
    if (peer === undefined) return null;
    try {
      const answer = decodeAnswer(await peer.client.call(encodeRequest({ Relay: relay }), timeout));
      return 'Relayed' in answer ? answer.Relayed : null;
    } catch {
      return null;
    }
  }
}
