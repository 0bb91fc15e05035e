/** One node: what it hosts, and the loops that bring what is in line with what is wanted. */
import { sleep, type Clock } from '../base/clock.js';
import { describe, log } from '../base/log.js';
import type { Random } from '../base/random.js';
import type { Settings, Tuning } from '../protocol/settings.js';
import { parseTypes, paths as cloudPaths, type MachineType } from '../protocol/cloud.js';
import { ordersRequest, parseReport, paths as workerPaths } from '../protocol/worker.js';
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
import { CallFailed, HttpClient } from '../transport/httpClient.js';
import { PeerClient } from '../transport/peerLink.js';
import { Chunk } from './chunk.js';
import { chunkRanges } from './chunks.js';
import { Commits } from './commits.js';
import { RunTimes } from './estimate.js';
import type { Hosted } from './hosted.js';
import type { Machine } from './machine.js';
import { Ownership, PROVISIONER, type Held } from './ownership.js';
import { Part, type Amount, type Starved } from './part.js';
import { Peers } from './peers.js';
import { Provisioner } from './provisioner.js';
import { Quotas } from './quotas.js';
import { Sender } from './sender.js';
import { Shelf } from './shelf.js';

/** How long changes are gathered for one round of decisions, as a ratio to the time between reports. */
const GATHER = 1 / 200;

/** Machines that one core may ask in a second without noticing it. */
const PROBES_PER_CORE = 60;

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
  private readonly quotas: Quotas;
  private readonly provisioner: Provisioner;
  private kicked = false;
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
      timeout: this.stateTtl / 3,
    });
    // Watches may take a tenth of the requests.
    const pause = Math.max(0.05, this.parts.length / (settings.stateRate * 0.1));
    this.replica = new Replica(this.state, ROOT, { hold: settings.report * 2, pause }, (change) => {
      this.onChange(change);
    });
    this.ownership = new Ownership(
      this.state,
      this.replica,
      clock,
      { label: settings.label, process, parts: this.parts, ttl: this.stateTtl },
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
        valid: () => this.ownership.valid,
        doubt: (part) => this.ownership.doubt(part),
        stored: (host, chunks) => {
          this.pokeFor(host, chunks);
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
    this.quotas = new Quotas(this);
    this.provisioner = new Provisioner(this, process);
  }

  /** The lease at the state service: long against a renewal's delay, short against a worker's lease. */
  get stateTtl(): number {
    return Math.max(1, Math.min(this.settings.report * 1.5, this.settings.lease / 4));
  }

  /** How soon batch work should be through, and how far back its arrivals are looked at. */
  private get pace(): { patience: number; headroom: number; window: number } {
    const promised = this.settings.objectives.filter((o) => o.kind === 'finished');
    const patience = Math.min(this.settings.lease * 4, ...promised.map((o) => o.within));
    return { patience: patience / 2, headroom: 1, window: patience };
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
    void this.every(this.settings.report / 30, () => {
      this.round();
    });
    void this.every(this.settings.report / 3, () => {
      this.commits.review();
      this.adoptStrayShelves();
      this.sender.review();
      this.sweep();
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
      this.settings.report * GATHER * 1000,
    );
  }

  private round(): void {
    if (this.stopped) return;
    if (this.ownership.valid) {
      const now = this.clock.now();
      const deadline = now + this.tuning.roundBudget;
      for (const host of this.hosted.values()) {
        host.part.decide(now, () => this.clock.now() > deadline);
      }
      this.commits.pass();
    }
    this.sendOrders();
    this.gossip();
  }

  /** Gossip goes out at a steady pace, and sooner when a demand has come up. */
  private gossip(): void {
    const now = this.clock.now();
    if (now - this.lastGossip < this.settings.report / 8) return;
    this.lastGossip = now;
    this.state.share(this.peers.needs());
    const hosts = [...this.hosted.values()].map((h) => ({
      part: h.part.label,
      token: h.token,
      utilisation: h.part.utilisation,
      waiting: h.part.waiting,
      liveRoom: h.part.liveRoom(),
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
        demands: this.ownership.valid ? this.localDemands() : [],
        spare: this.ownership.valid ? this.localSpare() : [],
        lost: this.ownership.valid ? this.localLost() : [],
        used: this.settings.teams
          .filter((t) => t.cpus > 0 || t.gpus > 0)
          .map(({ name: team }) => {
            const amounts = reports.map((p) => p.usedBy(team));
            const cpus = amounts.reduce((n, a) => n + a.cpus, 0);
            return { team, cpus, gpus: amounts.reduce((n, a) => n + a.gpus, 0) };
          }),
        hungry: [...new Set(reports.flatMap((p) => [...p.hungry]))],
        starving: reports.flatMap((p) => [...p.starving.values()]),
      },
      this.settings.report / 2,
    );
  }

  private usedElsewhere(team: string, except: string): Amount {
    const used = { cpus: 0, gpus: 0 };
    const add = (amount: Amount): void => {
      used.cpus += amount.cpus;
      used.gpus += amount.gpus;
    };
    for (const { part } of this.hosted.values()) if (part.label !== except) add(part.usedBy(team));
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
    for (const { part } of this.hosted.values()) if (counts(part.label)) cpus += part.liveRoom();
    for (const gossip of this.peers.gossips()) {
      for (const host of gossip.hosts) {
        if (counts(host.part) && !this.hosted.has(host.part)) cpus += host.liveRoom;
      }
    }
    return cpus;
  }

  localDemands(): ReturnType<Part['demands']> {
    const now = this.clock.now();
    return [...this.hosted.values()].flatMap((h) => h.part.demands(now));
  }

  // ---- Ownership ----

  private gain(label: string, held: Held): void {
    if (label === PROVISIONER) {
      this.provisioner.elected();
      return;
    }
    const now = this.clock.now();
    const { report, lease, zones } = this.settings;
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
        elsewhere: (team) => this.usedElsewhere(team, label),
        starved: (team) => this.starvedElsewhere(team, label),
      },
    );
    const host: Hosted = {
      part,
      token: held.token,
      stamp: held.stamp,
      alive: true,
      jobs: new Map(),
      shelves: new Map(),
      gatherUntil: 0,
      writing: 0,
      raisedAt: now,
    };
    // Another node may go on answering its workers for its grace; ourselves, before a restart, not.
    const renewed = held.adopted ? now + this.grace : now;
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
    part.seedArrivals(now);
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
      if (job?.state === 'cancelled') host.part.cancel(chunk, now);
    }
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
      host.part.accept(new Chunk(spec, k, home, at, from, to, zone, now), now);
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

  // ---- Orders ----

  private pokeFor(host: Hosted, chunks: Chunk[]): void {
    for (const chunk of chunks) {
      for (const entry of chunk.entries.values()) {
        if (entry.seen) continue;
        const machine = host.part.machines.get(entry.machine);
        if (machine !== undefined) host.part.pokes.add(machine);
      }
    }
    this.sendOrders();
    this.kick();
  }

  private sendOrders(): void {
    if (!this.ownership.valid) return;
    for (const host of this.hosted.values()) {
      for (const machine of host.part.pokes) {
        if (machine.inFlight || machine.address === '') continue;
        host.part.pokes.delete(machine);
        // Questions go on until it answers one; orders meanwhile would only hold sockets.
        if (machine.deaf) continue;
        void this.command(host, machine);
      }
    }
  }

  private async command(host: Hosted, machine: Machine): Promise<void> {
    const { report } = this.settings;
    const orders = machine.orders(true, this.clock.now(), report * 1.5);
    if (orders.length === 0) return;
    const { token } = host;
    const started = orders.flatMap((o) => {
      const placed = o.verb === 'start' ? machine.entries.get(o.task) : undefined;
      return placed === undefined ? [] : [placed.entry];
    });
    // In doubt from now on: without an answer it may be carried out minutes later.
    for (const entry of started) entry.doubt = Math.max(token, entry.doubt ?? 0);
    for (const order of orders)
      log.debug(`${order.verb} ${order.task} ${order.attempt} at ${machine.name}`);
    machine.inFlight = true;
    try {
      const body = ordersRequest(token, machine.session, orders);
      const target = workerPaths.orders;
      const answer = await this.links.machines.call(
        machine.address,
        'POST',
        target,
        body,
        report / 2,
      );
      // Carried out (200) or certainly not (409).
      if (answer.status === 200 || answer.status === 409) {
        for (const entry of started) if (entry.doubt === token) entry.doubt = null;
      }
      const parsed = parseReport(answer.body);
      if (parsed !== null && host.alive) {
        host.part.apply(machine, parsed, this.clock.now(), 'answer');
        this.kick();
      }
    } catch (error) {
      if (error instanceof CallFailed && error.unsent) {
        for (const entry of started) if (entry.doubt === token) entry.doubt = null;
      } else if (started.length > 0) machine.doubtSince ??= this.clock.now();
      log.debug(`orders to ${machine.name}: ${describe(error)}`);
    } finally {
      machine.inFlight = false;
    }
    if (host.alive && machine.orders(true, this.clock.now(), report * 1.5).length > 0) {
      setTimeout(
        () => {
          host.part.pokes.add(machine);
          this.kick();
        },
        (report / 6) * 1000,
      );
    }
  }

  /** Asks a machine whose report is overdue: a hanging one is told from one that can't reach us. */
  async probe(host: Hosted, machine: Machine): Promise<void> {
    if (machine.probing || machine.address === '') return;
    machine.probing = true;
    const sent = this.clock.now();
    const { address } = machine;
    const timeout = this.settings.report / 3;
    try {
      const answer = await this.links.machines.call(
        address,
        'GET',
        workerPaths.inspect,
        undefined,
        timeout,
      );
      const report = parseReport(answer.body);
      if (report !== null && host.alive && machine.address === address) {
        machine.noteReached(this.clock.now());
        host.part.apply(machine, report, this.clock.now(), 'answer');
      }
    } catch {
      machine.missed++;
      machine.missedSince ??= sent;
    } finally {
      machine.probing = false;
    }
  }

  private sweep(): void {
    const now = this.clock.now();
    const { report } = this.settings;
    if (!this.ownership.valid) return;
    for (const host of this.hosted.values()) {
      host.part.sweep(now);
      if (log.getLevel() <= log.levels.DEBUG) log.debug(host.part.summary(now));
      this.settleDoubts(host, now);
      // Questions to many machines would take the processor from users: so many a second at the most.
      const affordable = (PROBES_PER_CORE * this.settings.cores) / this.hosted.size;
      const watchful = Math.min(1.3, Math.max(0.3, host.part.machines.size / affordable / report));
      const doubtful = [...host.part.machines.values()].some((m) => m.missed > 0);
      for (const machine of host.part.machines.values()) {
        if (machine.reached === null) {
          // Stored by an earlier owner: asked directly, since its worker may never come.
          if (machine.address !== '') void this.probe(host, machine);
          continue;
        }
        if (!machine.up) continue;
        host.part.pokes.add(machine);
        // Where live services run, silence is noticed within a second or two; elsewhere when a report
        // is overdue.
        // When one does not answer, all are asked: others that answer show that the fault is not ours.
        const patience = machine.live > 0 || doubtful ? watchful : 1.3;
        if (now - machine.reached > report * patience) void this.probe(host, machine);
      }
    }
    this.kick();
  }

  /** A start stays in doubt until its worker has seen a higher token: get one when it drags on. */
  private settleDoubts(host: Hosted, now: number): void {
    const { report } = this.settings;
    let stuck = false;
    for (const machine of host.part.machines.values()) {
      if (machine.doubtSince === null) continue;
      // One that our answers do not reach would not see the new token either.
      const heard = machine.reached !== null && now - machine.reached < report * 2;
      if (heard && now - machine.doubtSince > report) stuck = true;
      machine.doubtSince = heard && now - machine.doubtSince > report ? null : machine.doubtSince;
    }
    if (!stuck || now - host.raisedAt < report) return;
    host.raisedAt = now;
    void this.ownership
      .raise(host.part.label)
      .then((held) => {
        if (held === null || !host.alive) return;
        host.token = held.token;
        host.stamp = held.stamp;
      })
      .catch((error: unknown) => {
        log.debug(`raise: ${describe(error)}`);
      });
  }

  // ---- Machines for the provisioner ----

  /** Machines that may be returned. */
  localSpare(): string[] {
    const now = this.clock.now();
    return [...this.hosted.values()].flatMap((h) => h.part.spare(now, this.tuning.idleRatio));
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
