/** One node: what it hosts, and the loops that bring what is in line with what is wanted. */
import { sleep, type Clock } from '../base/clock.js';
import { describe, log } from '../base/log.js';
import type { Random } from '../base/random.js';
import type { Gossip } from '../protocol/peer.js';
import type { Settings, Tuning } from '../protocol/settings.js';
import { parseTypes, paths as cloudPaths, type MachineType } from '../protocol/cloud.js';
import type { Change } from '../protocol/state.js';
import {
  keys,
  ROOT,
  type GroupRecord,
  type JobRecord,
  type OwnerRecord,
  type ShelfRecord,
} from '../storage/records.js';
import { Fleet } from '../storage/fleet.js';
import { Replica } from '../storage/replica.js';
import { Shelves } from '../storage/shelves.js';
import { StateClient } from '../storage/stateClient.js';
import type { HttpClient } from '../transport/httpClient.js';
import { PeerClient } from '../transport/peerLink.js';
import { Chunk } from './chunk.js';
import { chunkRanges } from './chunks.js';
import { Commits } from './commits.js';
import { RunTimes } from './estimate.js';
import { hosting, type Hosted } from './hosted.js';
import type { Machine } from './machine.js';
import type { NeedsOptions } from './needs.js';
import { Orders } from './orders.js';
import { Ownership, PROVISIONER, type Held } from './ownership.js';
import { Part } from './part.js';
import { Peers } from './peers.js';
import { Provisioner } from './provisioner.js';
import { Quotas } from './quotas.js';
import { Sender } from './sender.js';
import { Shelf } from './shelf.js';
import type { Amount, Starved } from './teamUsage.js';
import { Withholding } from './withholding.js';

/** How long changes are gathered for one round of decisions, as a ratio to the time between reports. */
const GATHER = 1 / 200;

/**
 * How often peers are told of our parts, as a ratio to the time between reports. A message to each peer, with
 * all that waits worked out for it, is a tenth of a small controller's work at an eighth of a report.
 */
const GOSSIP = 1 / 5;

/**
 * Rest after a round, as a ratio to the time that it took: on a small machine rounds would else follow each
 * other without a break, and reports, users and renewals of the lease would wait for them.
 */
const REST = 3;

/** Connections of this node's own making. */
export interface Links {
  services: HttpClient;
  machines: HttpClient;
}

export class Controller {
  readonly hosted = new Map<string, Hosted>();
  readonly replica: Replica;
  readonly fleet = new Fleet();
  readonly shelves = new Shelves();
  readonly state: StateClient;
  readonly ownership: Ownership;
  readonly commits: Commits;
  readonly peers: Peers;
  readonly parts: string[];
  readonly runTimes = new RunTimes();
  types = new Map<string, MachineType>();
  /** Which node's zone each part is in. */
  readonly zoneOf = new Map<string, string>();
  readonly sender: Sender;
  readonly orders: Orders;
  readonly withholding: Withholding;
  private readonly quotas: Quotas;
  private readonly provisioner: Provisioner;
  private kicked = false;
  private lastRound = -Infinity;
  /** What the parts here lacked when the peers were last told of it. */
  demands: ReturnType<Part['needs']['demands']> = [];
  /** Seconds that the last round took, its waiting for the processor included. */
  private took = 0;
  /** Stored chunks without a counterpart here, seen once. */
  private readonly strays = new Set<string>();
  private stopped = false;
  private lastGossip = -Infinity;
  private gossiped = 0;

  constructor(
    readonly settings: Settings,
    readonly tuning: Tuning,
    readonly clock: Clock,
    readonly random: Random,
    readonly links: Links,
    readonly process: string,
  ) {
    this.parts = [settings.label, ...settings.peers.map((p) => p.label)].sort();
    this.zoneOf.set(settings.label, settings.zone);
    for (const peer of settings.peers) this.zoneOf.set(peer.label, peer.zone);
    this.state = new StateClient(links.services, clock, {
      endpoint: settings.stateEndpoint,
      rate: settings.stateRate,
      writeRate: settings.stateWriteRate,
      sharers: this.parts.length,
      // Long enough for a service that answers slowly: what gets no answer is asked for again, and makes it
      // slower still.
      timeout: this.stateTtl / 2,
    });
    // Watches may take a tenth of the requests.
    const pause = Math.max(0.05, this.parts.length / (settings.stateRate * 0.1));
    const watch = { hold: settings.report * 2, pause };
    this.replica = new Replica(this.state, ROOT, clock, watch, (change) => {
      this.onChange(change);
    });
    this.ownership = new Ownership(
      this.state,
      this.replica,
      clock,
      { label: settings.label, process, parts: this.parts, ttl: this.stateTtl, grace: this.grace },
      {
        gained: (part, held) => {
          this.gain(part, held);
        },
        lost: (part) => {
          this.lose(part);
        },
        quiet: async (part) => {
          while ((this.hosted.get(part)?.writing ?? 0) > 0) await sleep(0.01);
        },
        wantsBack: (node) => this.peers.steady(node, settings.report / 2),
      },
    );
    this.commits = new Commits(
      this.state,
      this.replica,
      this.shelves,
      clock,
      {
        hosted: this.hosted,
        withheld: (job) => this.withholding.has(job),
        valid: () => this.ownership.valid,
        doubt: (part) => this.ownership.doubt(part),
        stored: (host, chunks) => {
          this.orders.pokeFor(host, chunks);
        },
      },
      {
        txnOps: settings.txnOps,
        valueBytes: settings.valueBytes,
        linger: settings.report / 2,
        retry: settings.report / 15,
        process,
      },
    );
    this.peers = new Peers(
      clock,
      settings.report,
      settings.skew,
      settings.peers.map((p) => ({ ...p, client: new PeerClient(p.endpoint, 256) })),
    );
    this.sender = new Sender(this);
    this.orders = new Orders(this);
    this.withholding = new Withholding(this);
    this.quotas = new Quotas(this);
    this.provisioner = new Provisioner(this, process);
  }

  /** The lease at the state service: long against a renewal's delay, short against a worker's lease. */
  get stateTtl(): number {
    return Math.max(1, Math.min(this.settings.report * 1.5, this.settings.lease / 4));
  }

  /** How soon batch work should be through, and how far back its arrivals are looked at. */
  private get pace(): NeedsOptions {
    const promised = this.settings.objectives.filter((o) => o.kind === 'finished');
    const patience = Math.min(this.settings.lease * 4, ...promised.map((o) => o.within));
    const last = Math.max(patience, ...promised.map((o) => o.within));
    return { patience: patience / 2, dearPatience: last / 2, headroom: 1, window: patience };
  }

  /** How long after its own lease a node goes on answering its workers, so that an outage of the state
   * service does not end healthy tasks. An adopter waits this out for machines it can't reach. */
  get grace(): number {
    return this.settings.lease * 2;
  }

  /** Can take requests: its records are loaded, it knows the machine types and it can ask somebody. */
  get ready(): boolean {
    return this.replica.loaded && this.types.size > 0 && !this.isolated;
  }

  /**
   * Neither the state service nor any peer is in reach: users are better off at another node. In an
   * outage for all, peers still talk, and everybody stays ready for its end.
   */
  get isolated(): boolean {
    return (
      this.settings.peers.length > 0 && !this.ownership.valid && this.peers.gossips().length === 0
    );
  }

  start(): void {
    void this.ownership.run();
    void this.replica.run();
    void this.refreshTypes();
    void this.provisioner.run();
    void this.rounds();
    void this.every(this.settings.report / 3, () => {
      this.commits.review();
      this.withholding.sweep();
      this.adoptStrayShelves();
      this.sender.review();
      this.orders.sweep();
      void this.quotas.balance();
    });
  }

  /** Ends all loops; what is stored is enough to go on from. */
  stop(): void {
    this.stopped = true;
    this.ownership.stop();
    this.replica.stop();
    this.provisioner.stop();
    for (const host of this.hosted.values()) host.alive = false;
    this.hosted.clear();
    this.peers.close();
  }

  private async every(seconds: number, work: () => void): Promise<void> {
    while (!this.stopped) {
      try {
        work();
      } catch (error) {
        log.error(`loop: ${error instanceof Error ? (error.stack ?? '') : String(error)}`);
      }
      await sleep(seconds);
    }
  }

  private async refreshTypes(): Promise<void> {
    while (!this.stopped) {
      try {
        const { cloudEndpoint } = this.settings;
        const answer = await this.links.services.call(
          cloudEndpoint,
          'GET',
          cloudPaths.types,
          undefined,
          4,
        );
        const types = answer.status === 200 ? parseTypes(answer.body) : null;
        if (types !== null) this.types = new Map(types.map((t) => [t.name, t]));
      } catch (error) {
        log.debug(`machine types: ${describe(error)}`);
      }
      await sleep(this.types.size > 0 ? this.settings.listLag * 8 : 0.5);
    }
  }

  /** Something changed: a round of decisions soon, gathered with what else comes meanwhile. */
  kick(): void {
    if (this.kicked) return;
    this.kicked = true;
    setTimeout(
      () => {
        this.kicked = false;
        this.round();
      },
      Math.max(this.settings.report * GATHER, this.restLeft) * 1000,
    );
  }

  /** Seconds until the next round may begin, whoever asks for it. */
  private get restLeft(): number {
    return this.lastRound + this.took * REST - this.clock.now();
  }

  /** A round now and then without a reason: time alone changes what is due. */
  private async rounds(): Promise<void> {
    const pause = this.settings.report / 30;
    while (!this.stopped) {
      if (this.clock.now() - this.lastRound >= pause && this.restLeft <= 0) {
        try {
          this.round();
        } catch (error) {
          log.error(`round: ${error instanceof Error ? (error.stack ?? '') : String(error)}`);
        }
      }
      await sleep(Math.max(pause, this.restLeft));
    }
  }

  private round(): void {
    if (this.stopped) return;
    const began = this.clock.now();
    this.decide();
    this.orders.send();
    this.gossip();
    this.lastRound = this.clock.now();
    this.took = this.lastRound - began;
  }

  private decide(): void {
    if (this.ownership.valid) {
      const now = this.clock.now();
      const deadline = now + this.tuning.roundBudget;
      for (const host of this.hosted.values()) {
        host.part.decide(now, () => this.clock.now() > deadline);
      }
      this.commits.pass();
    }
  }

  /** Gossip goes out at a steady pace, and sooner when a demand has come up. */
  private gossip(): void {
    const now = this.clock.now();
    if (now - this.lastGossip < this.settings.report * GOSSIP) return;
    this.lastGossip = now;
    this.state.share(this.peers.needs());
    const hosts = [...this.hosted.values()].map((h) => ({
      part: h.part.label,
      token: h.token,
      utilisation: h.part.utilisation,
      waiting: h.part.waiting,
      liveRoom: h.part.needs.liveRoom(),
    }));
    const reports = [...this.hosted.values()].map((h) => h.part);
    this.peers.gossip(
      {
        from: this.settings.label,
        process: this.process,
        sequence: ++this.gossiped,
        at: this.clock.wall(),
        need: this.state.need,
        served: this.ownership.valid,
        hosts,
        demands: this.ownership.valid ? (this.demands = this.localDemands()) : [],
        spare: this.ownership.valid ? this.localSpare() : [],
        lost: this.ownership.valid ? this.localLost() : [],
        used: this.settings.teams
          .filter((t) => t.cpus > 0 || t.gpus > 0)
          .map(({ name: team }) => {
            const amounts = reports.map((p) => p.teams.usedBy(team));
            const cpus = amounts.reduce((n, a) => n + a.cpus, 0);
            return { team, cpus, gpus: amounts.reduce((n, a) => n + a.gpus, 0) };
          }),
        hungry: [...new Set(reports.flatMap((p) => [...p.hungry]))],
        starving: reports.flatMap((p) => [...p.starving.values()]),
      },
      this.settings.report / 2,
    );
  }

  /** What a peer tells. Where it owns a part with a token above ours, ours has ended, whatever we believe. */
  hear(gossip: Gossip): void {
    this.peers.note(gossip);
    for (const { part, token } of gossip.hosts) this.ownership.forfeit(part, token);
  }

  private usedElsewhere(team: string, except: string): Amount {
    const used = { cpus: 0, gpus: 0 };
    const add = (amount: Amount): void => {
      used.cpus += amount.cpus;
      used.gpus += amount.gpus;
    };
    for (const { part } of this.hosted.values())
      if (part.label !== except) add(part.teams.usedBy(team));
    for (const { used: entries } of this.peers.gossips()) {
      for (const entry of entries) if (entry.team === team) add(entry);
    }
    return used;
  }

  /** The first in the queue's order, of all parts but one. */
  private starvedElsewhere(team: string, except: string): Starved | null {
    const here = [...this.hosted.values()].flatMap(({ part }) =>
      part.label === except ? [] : [...part.starving.values()],
    );
    const all = [...here, ...this.peers.gossips().flatMap((g) => g.starving)];
    let first: Starved | null = null;
    for (const one of all) {
      if (one.team !== team) continue;
      const ahead =
        first === null || one.rank > first.rank || (one.rank === first.rank && one.at < first.at);
      if (ahead) first = one;
    }
    return first;
  }

  /** Room for live services in a zone's parts, by our own count and the peers' last word. */
  liveRoomIn(zone: string): number {
    const counts = (part: string): boolean => this.zoneOf.get(part) === zone;
    let cpus = 0;
    for (const { part } of this.hosted.values())
      if (counts(part.label)) cpus += part.needs.liveRoom();
    for (const gossip of this.peers.gossips()) {
      for (const host of gossip.hosts) {
        if (counts(host.part) && !this.hosted.has(host.part)) cpus += host.liveRoom;
      }
    }
    return cpus;
  }

  private localDemands(): ReturnType<Part['needs']['demands']> {
    const now = this.clock.now();
    return [...this.hosted.values()].flatMap((h) => h.part.needs.demands(now));
  }

  // ---- Ownership ----

  private gain(label: string, held: Held): void {
    if (label === PROVISIONER) {
      this.provisioner.elected();
      return;
    }
    const now = this.clock.now();
    const { report, lease, zones, skew } = this.settings;
    const part = new Part(
      label,
      { lease, report, sample: this.tuning.sample, zones, ...this.pace },
      () => this.types,
      this.runTimes,
      this.random,
      {
        allowance: (team) => this.quotas.allowance(label, team),
        guarantee: (name) => {
          const team = this.settings.teams.find((t) => t.name === name);
          return { cpus: team?.cpus ?? 0, gpus: team?.gpus ?? 0 };
        },
        usedElsewhere: (team) => this.usedElsewhere(team, label),
        starvedElsewhere: (team) => this.starvedElsewhere(team, label),
      },
    );
    // Another node may go on answering its workers for its grace; ourselves, before a restart, not. Counted
    // from when that node lost the part, which may have been before our last restart.
    const renewed = now + Math.max(0, held.lostAt + this.grace + 2 * skew - this.clock.wall());
    const host = hosting(part, held, now, renewed);
    for (const [name, record] of this.fleet.of(label)) part.addMachine(name, record, now, renewed);
    for (const [key, { value, stamp }] of this.replica.under(keys.runs(label))) {
      this.loadShelf(host, key.slice(keys.runs(label).length), value as ShelfRecord, stamp);
    }
    for (const [key, { value, stamp }] of this.replica.under('b/job/')) {
      const record = value as JobRecord;
      const id = key.slice('b/job/'.length);
      if (record.state !== 'open' || record.home !== label) continue;
      host.jobs.set(id, { id, record, stamp, busy: false });
      this.loadUnstored(host, record, now);
    }
    part.needs.seedArrivals(now);
    this.hosted.set(label, host);
    this.kick();
  }

  /** Takes up one shelf of a part, but for chunks that are over; those go with its next change. */
  private loadShelf(host: Hosted, name: string, value: ShelfRecord, stamp: number): void {
    const now = this.clock.now();
    const shelf = new Shelf(name, stamp);
    host.shelves.set(name, shelf);
    for (const [id, record] of Object.entries(value.chunks)) {
      const index = Number(id.slice(id.lastIndexOf('/') + 1));
      const job = this.replica.get(keys.job(record.spec.id))?.value as JobRecord | undefined;
      const over = job?.state === 'done' || job?.finished.includes(index) === true;
      if (over || host.part.chunks.has(id)) {
        shelf.stale = true;
        continue;
      }
      const chunk = host.part.loadChunk(index, record, host.token, now);
      shelf.add(chunk);
      this.withholding.apply(host, chunk);
      if (job?.state === 'cancelled') host.part.cancel(chunk, now);
    }
    if (shelf.chunks.size === 0) shelf.stale = true;
  }

  /** Chunks of a home job that nobody has stored yet: nothing of them was started. */
  private loadUnstored(host: Hosted, record: JobRecord, now: number): void {
    const { spec, size, zones, cut, finished, away, at, home } = record;
    if (spec === null) return;
    const ranges = chunkRanges(spec.tasks, size, zones);
    for (let k = 0; k < cut; k++) {
      const range = ranges[k];
      const elsewhere = finished.includes(k) || away.includes(k);
      if (range === undefined || elsewhere || host.part.chunks.has(`${spec.id}/${k}`)) continue;
      const { from, to, zone } = range;
      const chunk = new Chunk(spec, k, home, at, from, to, zone, now);
      host.part.accept(chunk, now);
      this.withholding.apply(host, chunk);
    }
  }

  private lose(label: string): void {
    if (label === PROVISIONER) {
      this.provisioner.retired();
      return;
    }
    const host = this.hosted.get(label);
    if (host === undefined) return;
    host.alive = false;
    this.hosted.delete(label);
  }

  /** Follows the stored records. */
  private onChange(change: Change): void {
    const [, kind, name = '', shelf = ''] = change.key.split('/');
    if (change.key === keys.types && this.types.size === 0) {
      // Restarted while the cloud is down: what it told before will do.
      this.types = new Map((change.value as MachineType[]).map((t) => [t.name, t]));
    } else if (kind === 'fleet') this.onGroup(name, change);
    else if (kind === 'job' && !change.removed) this.onJob(name, change.value as JobRecord);
    else if (kind === 'run') {
      const value = change.value as ShelfRecord | null;
      this.shelves.note(name, shelf, value);
      const host = this.hosted.get(name);
      if (host === undefined || value === null || host.shelves.has(shelf)) return;
      // Only what was just sent here: nothing of it can have been started by this part's owners.
      const chunks = Object.values(value.chunks);
      if (!chunks.every((c) => c.moves > 0 && c.entries.length === 0)) return;
      this.loadShelf(host, shelf, value, change.stamp);
      this.kick();
    }
  }

  private onJob(id: string, record: JobRecord): void {
    const now = this.clock.now();
    if (record.state === 'open' && record.finished.length === 0) return;
    for (const host of this.hosted.values()) {
      for (const chunk of host.part.chunksOf(id)) {
        if (record.state === 'cancelled') host.part.cancel(chunk, now);
        // Its home has counted it as over.
        else if (record.state === 'done' || record.finished.includes(chunk.index)) {
          host.part.overtake(chunk, now);
        }
      }
    }
    this.kick();
  }

  /** Shelves of our parts that we hold nothing of: a change that the watch has missed. */
  private adoptStrayShelves(): void {
    if (!this.ownership.valid) return;
    for (const host of this.hosted.values()) {
      const prefix = keys.runs(host.part.label);
      for (const [key] of this.replica.under(prefix)) {
        const name = key.slice(prefix.length);
        if (host.shelves.has(name)) this.strays.delete(key);
        else if (this.strays.has(key)) void this.adoptShelf(host, key, name);
        else this.strays.add(key);
      }
    }
  }

  private async adoptShelf(host: Hosted, key: string, name: string): Promise<void> {
    this.strays.delete(key);
    try {
      const item = await this.state.get(key);
      if (!host.alive || host.shelves.has(name)) return;
      if (item === null) {
        this.replica.noteRemoved(key, Infinity);
        return;
      }
      log.info(`taking up what ${key} holds`);
      this.loadShelf(host, name, item.value as ShelfRecord, item.stamp);
      this.kick();
    } catch (error) {
      log.debug(`stored shelf: ${describe(error)}`);
    }
  }

  private onGroup(group: string, change: Change): void {
    const now = this.clock.now();
    const { present, gone } = this.fleet.note(group, change.value as GroupRecord | null);
    for (const host of this.hosted.values()) {
      // The record goes only after the cloud has said that the machine is gone.
      for (const name of gone) host.part.removeMachine(name, now);
      for (const [name, record] of present) {
        if (record.part === host.part.label) host.part.addMachine(name, record, now);
      }
    }
    this.kick();
  }

  ownerOf(part: string): string | null {
    const stored = this.replica.get(keys.owner(part))?.value as OwnerRecord | undefined;
    const told = this.peers.hostOf(part);
    if (told !== null && told.token > (stored?.token ?? 0)) return told.label;
    return stored?.node ?? told?.label ?? null;
  }

  // ---- Machines for the provisioner ----

  /** Machines that may be returned. */
  localSpare(): string[] {
    const now = this.clock.now();
    return [...this.hosted.values()].flatMap((h) => h.part.needs.spare(now, this.tuning.idleRatio));
  }

  localLost(): string[] {
    const now = this.clock.now();
    const boot = (machine: Machine): number => machine.shape?.boot ?? this.settings.lease;
    // Without a word from the state service the network may have left us, and everybody seems lost.
    if (now - this.state.lastServed > this.stateTtl / 2) return [];
    return [...this.hosted.values()].flatMap((h) =>
      h.part.lostMachines(now, boot, this.clock.wall()),
    );
  }
}
