/** What this node knows of the others, and its calls to them. */
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

interface Peer {
  label: string;
  zone: string;
  client: PeerClient;
  gossip: Gossip | null;
  heard: number;
  servedSince: number | null;
}

export class PeerRegistry {
  private readonly peers = new Map<string, Peer>();

  constructor(
    private readonly clock: Clock,
    /** Gossip older than this says nothing. */
    private readonly fresh: number,
    /** How far apart two nodes' times of day may be. */
    private readonly skew: number,
    peers: { label: string; zone: string; client: PeerClient }[],
  ) {
    for (const p of peers) {
      this.peers.set(p.label, { ...p, gossip: null, heard: -Infinity, servedSince: null });
    }
  }

  get labels(): string[] {
    return [...this.peers.keys()];
  }

  close(): void {
    for (const peer of this.peers.values()) peer.client.close();
  }

  note(gossip: Gossip): void {
    const peer = this.peers.get(gossip.from);
    if (peer === undefined) return;
    const now = this.clock.now();
    // A cut holds messages back and delivers them late, from earlier starts of the peer as well: what
    // they say of machines to return, of tokens and of teams is long past.
    const before = peer.gossip;
    const stale = this.isLate(gossip.sentAt);
    const behind =
      before !== null &&
      (before.process === gossip.process
        ? gossip.sequence <= before.sequence
        : gossip.sentAt < before.sentAt - 2 * this.skew);
    if (stale || behind) return;
    if (!gossip.isServed || now - peer.heard > this.fresh) peer.servedSince = null;
    if (gossip.isServed) peer.servedSince ??= now;
    peer.gossip = gossip;
    peer.heard = now;
  }

  private isFresh(peer: Peer): boolean {
    return this.clock.now() - peer.heard <= this.fresh;
  }

  /** Has been up, in reach and served by the state service for this long. */
  steady(label: string, seconds: number): boolean {
    const peer = this.peers.get(label);
    if (peer?.servedSince === null || peer === undefined || !this.isFresh(peer)) return false;
    return this.clock.now() - peer.servedSince >= seconds;
  }

  /** Nodes that the state service serves, as far as we know. */
  served(): string[] {
    return [...this.peers.values()]
      .filter((p) => this.isFresh(p) && p.gossip?.isServed === true)
      .map((p) => p.label);
  }

  /** The process that a node's messages come from lately; null: it has not been heard of. */
  processOf(label: string): string | null {
    const peer = this.peers.get(label);
    return peer !== undefined && this.isFresh(peer) ? (peer.gossip?.process ?? null) : null;
  }

  gossips(): Gossip[] {
    return [...this.peers.values()].flatMap((p) =>
      p.gossip !== null && this.isFresh(p) ? [p.gossip] : [],
    );
  }

  /** What the others ask of the state service. */
  needs(): Gossip['stateDemand'][] {
    return this.gossips().map((g) => g.stateDemand);
  }

  demands(): Demand[] {
    return this.gossips().flatMap((g) => g.demands);
  }

  /** Who hosts a part, by the peers' own word. */
  hostOf(shard: string): { label: string; fencingToken: number } | null {
    let best: { label: string; fencingToken: number } | null = null;
    for (const gossip of this.gossips()) {
      const host = gossip.shards.find((h) => h.shard === shard);
      if (host !== undefined && host.fencingToken > (best?.fencingToken ?? -1)) {
        best = { label: gossip.from, fencingToken: host.fencingToken };
      }
    }
    return best;
  }

  gossip(gossip: Gossip, timeout: number): void {
    const body = encodeRequest({ Gossip: gossip });
    for (const peer of this.peers.values()) {
      peer.client.call(body, timeout).catch(() => undefined);
    }
  }

  /**
   * Asks all peers at once; those that are silent for `timeout` are ignored, and so are, without a
   * question, those whose gossip has stopped: else each submission during a cut waits for the timeout.
   */
  async ask(
    spec: JobSpec,
    zone: string | null,
    tasks: number,
    timeout: number,
  ): Promise<(TurnaroundEstimate & { node: string })[]> {
    const body = encodeRequest({ Ask: { spec: encodeSpec(spec), zone, tasks } });
    const talking = [...this.peers.values()].filter(
      (p) => this.clock.now() - p.heard <= this.fresh * 0.4,
    );
    const calls = talking.map(async (peer) => {
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

  /** A late message may tell of a cancellation that was long given up. */
  isLate(at: number): boolean {
    return this.clock.wall() - at > this.fresh + 2 * this.skew;
  }

  /**
   * Tells all peers that a job is about to be cancelled. `note` takes their answers as they come and says
   * whether they are enough; false when they were not.
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
          // Out of reach: what it has is not known to have ended.
        }
      });
      void Promise.all(calls).then(() => {
        resolve(false);
      });
    });
  }

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
