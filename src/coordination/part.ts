/**
 * One part: its machines, its queue and what runs where. No I/O: reports come in, orders and changed
 * records go out, and the clock is passed in.
 */
import type { Random } from '../base/random.js';
import { DRIFT } from '../base/clock.js';
import { log } from '../base/log.js';
import type { MachineType } from '../protocol/cloud.js';
import { rankOrder } from '../protocol/job.js';
import type { Report, TaskReport } from '../protocol/worker.js';
import type { ChunkRecord, MachineRecord } from '../storage/records.js';
import { byOrder, Chunk, type Entry } from './chunk.js';
import type { RunTimes } from './estimate.js';
import { Machine, type Placed } from './machine.js';
import { allows, bestFit, holds, sampleHosts, shapeOf } from './placement.js';
import { Needs, type NeedsOptions } from './needs.js';
import { Preemption } from './preemption.js';
import {
  nothing,
  singlePartView,
  TeamUsage,
  type Amount,
  type ClusterView,
  type Starved,
} from './teamUsage.js';
import { WaitEstimates } from './waitEstimates.js';

export interface PartOptions extends NeedsOptions {
  lease: number;
  report: number;
  sample: number;
  zones: string[];
}

export class Part {
  readonly machines = new Map<string, Machine>();
  readonly chunks = new Map<string, Chunk>();
  /** Chunks that changed and are not stored yet. */
  readonly dirty = new Set<Chunk>();
  /** Machines that should be sent orders now. */
  readonly pendingCommands = new Set<Machine>();
  /** Chunks whose tasks are all done or, cancelled, all over. */
  readonly settled = new Set<Chunk>();
  private resumeAfter: string | null = null;
  /** When most of the machines were last silent: more likely a fault on our side than on theirs. */
  private mostSilentAt = -Infinity;
  /** Teams that were kept waiting by their share of the limit in the last round. */
  readonly throttled = new Set<string>();
  /** The first of each team that its limit has kept waiting for long. */
  readonly starving = new Map<string, Starved>();
  /** What should be rented for it, and what may be returned. */
  readonly needs: Needs;
  /** What teams' tasks use here. */
  readonly teams: TeamUsage;
  readonly estimates: WaitEstimates;
  private readonly preemption: Preemption;

  constructor(
    readonly label: string,
    private readonly options: PartOptions,
    private readonly types: () => Map<string, MachineType>,
    private readonly runTimes: RunTimes,
    private readonly random: Random,
    private readonly cluster: ClusterView = singlePartView,
  ) {
    this.teams = new TeamUsage(cluster);
    this.estimates = new WaitEstimates(this, runTimes, options.report);
    this.preemption = new Preemption(this, this.teams, options.report);
    this.needs = new Needs(this, options, types);
  }

  // ---- Machines ----

  /** `renewed`: until when another owner may have renewed the worker's lease. */
  addMachine(name: string, record: MachineRecord, now: number, renewed = now): Machine {
    const known = this.machines.get(name);
    if (known !== undefined) {
      known.learn(record);
      return known;
    }
    const machine = new Machine(name, record, this.types, now);
    machine.renewed = renewed;
    this.machines.set(name, machine);
    this.estimates.invalidate();
    return machine;
  }

  /** The machine is known to be gone, and everything on it. */
  removeMachine(name: string, now: number): void {
    const machine = this.machines.get(name);
    if (machine === undefined) return;
    this.machines.delete(name);
    this.estimates.invalidate();
    this.pendingCommands.delete(machine);
    for (const placed of [...machine.entries.values()]) this.release(machine, placed, now);
  }

  /**
   * Takes a worker's report. Most say nothing new, and nothing has to be decided anew for them: with
   * hundreds of machines that would be most of a node's work.
   */
  apply(machine: Machine, report: Report, now: number, from: Source): Told {
    if (!machine.isNewer(report)) return 'older';
    const before = machine.usable(now);
    const isHello = from !== 'answer';
    const newSession = report.session > machine.session && machine.heard !== null;
    // The first that is known stays: a late copy must not send orders elsewhere.
    if (machine.address === '') machine.address = report.address;
    machine.session = report.session;
    machine.tick = report.tick;
    machine.seenToken = Math.max(machine.seenToken, report.token);
    machine.heard = now;
    // At once, not with the next sweep: a machine that has just come up is waited for.
    if (isHello) [machine.reportedAt, machine.cutOff] = [now, false];
    if (from !== 'report') machine.noteReached(now);
    machine.goneBy = report.warning === null ? null : now + report.warning;
    const changed = machine.noteTasks(report.tasks);
    if (newSession) machine.leftovers.clear();
    for (const [task, leftover] of machine.leftovers) {
      const still = machine.tasks.get(task);
      if (still === undefined || still.attempt !== leftover.attempt) machine.leftovers.delete(task);
    }
    for (const placed of [...machine.entries.values()]) {
      this.settle(machine, placed, report.session, isHello, now);
    }
    this.claimOrphans(machine, now);
    if (machine.goneBy !== null) this.drain(machine, now);
    if (machine.entries.size > 0) machine.idleSince = now;
    const news = changed || newSession || before !== machine.usable(now);
    return news ? 'news' : 'as before';
  }

  /** What a newer report says of one attempt. */
  private settle(
    machine: Machine,
    placed: Placed,
    session: number,
    isHello: boolean,
    now: number,
  ): void {
    const { chunk, entry } = placed;
    if (session > entry.session) {
      // The worker killed everything when its lease ran out; nothing of that session comes back.
      this.release(machine, placed, now);
      return;
    }
    if (entry.doubt !== null && machine.seenToken > entry.doubt) entry.doubt = null;
    if (isHello) entry.sentInAnswer = false;
    const report = machine.tasks.get(chunk.taskName(entry.task));
    if (report?.attempt === entry.attempt) {
      this.progress(machine, placed, report, now);
      return;
    }
    const unsettled = entry.doubt !== null || entry.sentInAnswer;
    if (entry.seen ? entry.doubt === null : entry.stop !== null && !unsettled) {
      // It was here and is no more, or it never came and is not wanted any longer.
      this.release(machine, placed, now);
    }
  }

  private progress(machine: Machine, placed: Placed, report: TaskReport, now: number): void {
    const { chunk, entry } = placed;
    entry.seen = true;
    if (report.state !== 'ended') {
      if (report.state === 'running' && entry.state !== 'running') {
        entry.runningSince = now;
        machine.noteImage(chunk.spec.image, chunk.spec.imageGb);
      }
      entry.state = report.state;
      return;
    }
    if (report.cause === 'done') this.finish(machine, placed, now);
    else {
      if (report.cause === 'error') this.noteFailure(machine, chunk, now);
      if (report.cause === 'no_room' || report.cause === 'busy') {
        machine.shunnedUntil = now + this.options.report;
      }
      // The description is on its way, or the user never sent it: try again, but not at once.
      if (report.cause === 'unknown') this.backOff(chunk, now);
      this.release(machine, placed, now);
    }
    this.leave(machine, chunk, entry, now);
  }

  private finish(machine: Machine, placed: Placed, now: number): void {
    const { chunk, entry } = placed;
    if (entry.runningSince !== null) {
      const actual = now - entry.runningSince;
      const expected = this.runTimes.expected(chunk.spec.jobClass, chunk.spec.expect);
      this.runTimes.note(chunk.spec.jobClass, chunk.spec.expect, actual);
      // A machine's own pace, slowly followed; one odd task says little.
      if (expected > 0) {
        machine.slowness += 0.25 * (Math.min(8, actual / expected) - machine.slowness);
      }
    }
    machine.failedJobs.clear();
    chunk.failures = 0;
    chunk.failedOn.clear();
    chunk.done.add(entry.task);
    this.release(machine, placed, now);
  }

  /** The attempt's end stays in the worker's reports until it may be forgotten. */
  private leave(machine: Machine, chunk: Chunk, entry: Entry, now: number): void {
    const version = chunk.version;
    const { doubt, attempt, task } = entry;
    machine.leftovers.set(chunk.taskName(task), {
      attempt,
      since: now,
      // Its end must be stored first; and a start that may still come would run it once more.
      mayReap: () =>
        (chunk.stored >= version || chunk.dropped) &&
        (doubt === null || machine.seenToken > doubt) &&
        !entry.sentInAnswer,
    });
  }

  private noteFailure(machine: Machine, chunk: Chunk, now: number): void {
    machine.failedJobs.add(chunk.spec.id);
    chunk.failures++;
    chunk.failedOn.add(machine.name);
    // Several jobs failing on one machine point at the machine; one job failing on several machines
    // points at the job. Neither takes the other's good name with it.
    const jobIsBad = chunk.failedOn.size >= 3;
    if (jobIsBad) machine.failedJobs.delete(chunk.spec.id);
    if (machine.failedJobs.size >= 2) {
      machine.shunnedUntil = now + this.options.lease * machine.failedJobs.size;
    }
    this.backOff(chunk, now);
  }

  private backOff(chunk: Chunk, now: number): void {
    const steps = Math.min(5, chunk.failedOn.size);
    chunk.notBefore = now + (this.options.report / 4) * 2 ** steps;
  }

  /** A done attempt of ours that an earlier owner started and we hold no entry for. */
  private claimOrphans(machine: Machine, now: number): void {
    for (const [task, report] of machine.tasks) {
      if (report.state !== 'ended' || report.cause !== 'done') continue;
      if (machine.entries.has(task) || machine.leftovers.has(task)) continue;
      const slash = task.lastIndexOf('/');
      const number = Number(task.slice(slash + 1));
      for (const chunk of this.chunksOf(task.slice(0, slash))) {
        if (number < chunk.from || number >= chunk.to || chunk.done.has(number)) continue;
        if (chunk.entries.has(number)) continue;
        chunk.done.add(number);
        this.changed(chunk, now);
        const version = chunk.version;
        machine.leftovers.set(task, {
          attempt: report.attempt,
          since: now,
          mayReap: () => chunk.stored >= version || chunk.dropped,
        });
      }
    }
  }

  chunksOf(id: string): Chunk[] {
    const found: Chunk[] = [];
    for (let k = 0, misses = 0; misses < 1 || k === 0; k++) {
      const chunk = this.chunks.get(`${id}/${k}`);
      if (chunk === undefined) misses++;
      else found.push(chunk);
      if (k > 2 && misses > 0) break;
    }
    if (found.length > 0) return found;
    for (const chunk of this.chunks.values()) if (chunk.spec.id === id) found.push(chunk);
    return found;
  }

  private drain(machine: Machine, now: number): void {
    for (const { chunk, entry } of machine.entries.values()) {
      if (entry.stop !== null || chunk.unwanted) continue;
      const left = (machine.goneBy ?? now) - now;
      const { service, checkpoint, save } = chunk.spec;
      // Without a checkpoint stopping gains nothing, save that a replica's successor starts sooner.
      const worth = service || (checkpoint > 0 && left <= save + 2 * this.options.report);
      if (worth) this.stop(machine, entry, checkpoint > 0 ? save : 0);
    }
  }

  stop(machine: Machine, entry: Entry, wind: number): void {
    if (entry.stop !== null) return;
    entry.stop = { wind, sentAt: null };
    this.pendingCommands.add(machine);
  }

  /** Ends an entry whose attempt is known to be over. */
  private release(machine: Machine, { chunk, entry }: Placed, now: number): void {
    if (chunk.entries.delete(entry.task) && !chunk.dropped) this.teams.add(chunk.spec, -1);
    machine.drop(chunk.taskName(entry.task));
    if (machine.entries.size === 0) machine.idleSince = now;
    this.changed(chunk, now);
    // One of a gang is over before its time: the others can do nothing without it, and start anew with it.
    if (!chunk.spec.gang || chunk.unwanted || chunk.done.has(entry.task)) return;
    for (const other of chunk.entries.values()) {
      const { checkpoint, save } = chunk.spec;
      const on = this.machines.get(other.machine);
      if (on !== undefined) this.stop(on, other, checkpoint > 0 ? save : 0);
    }
  }

  private changed(chunk: Chunk, now: number): void {
    chunk.touch(now);
    if (chunk.complete || (chunk.cancelled && chunk.entries.size === 0)) this.settled.add(chunk);
    else this.dirty.add(chunk);
  }

  /** Silent machines: what ran there is over once nobody can have renewed the lease that long. */
  sweep(now: number): void {
    for (const machine of this.machines.values()) {
      machine.cutOff = now - (machine.reportedAt ?? machine.created) > this.options.lease / 2;
      const limit = this.options.lease * (1 + DRIFT) + this.options.report / 2;
      if (machine.entries.size === 0 || now - machine.renewed <= limit) continue;
      machine.lost = true;
      for (const placed of [...machine.entries.values()]) this.release(machine, placed, now);
    }
  }

  /** One line for the log. */
  summary(now: number): string {
    const machines = [...this.machines.values()];
    const free = machines.filter((m) => m.usable(now)).reduce((n, m) => n + m.free.cpus, 0);
    const silent = machines
      .flatMap((m) => (m.up ? [] : [m.name]))
      .slice(0, 5)
      .join(' ');
    const count = (test: (m: Machine) => boolean): number => machines.filter(test).length;
    return (
      `part ${this.label}: ${machines.length} machines, ${count((m) => !m.up)} not up (${silent}), ` +
      `${count((m) => m.leaving)} leaving, ${count((m) => m.goneBy !== null)} noticed, ` +
      `${count((m) => m.shunnedUntil > now)} shunned, ${free} CPUs free, ${this.waiting} tasks wait`
    );
  }

  /**
   * Machines so long silent that they count as lost. Ending them is the quickest proof that their
   * tasks are over. When no other machine has answered since, the fault is more likely ours: a node
   * that lost its network once asked for the release of healthy machines, and the request was carried
   * out when the cut was over.
   */
  lostMachines(now: number, bootOf: (machine: Machine) => number, wall: number): string[] {
    const { report } = this.options;
    const lost: string[] = [];
    let asked = 0;
    let quiet = 0;
    for (const { reached, missed } of this.machines.values()) {
      if (reached === null && missed === 0) continue;
      asked++;
      if (missed > 0) quiet++;
    }
    if (quiet * 2 > asked) this.mostSilentAt = now;
    for (const machine of this.machines.values()) {
      // Its last owner may be alive and answer it: that we can't reach it says nothing of the machine.
      if (machine.reached === null && machine.renewed > now) continue;
      const since = machine.missedSince;
      if (machine.reached === null && since === null) {
        // Most are up within 1.5 times the boot time; one that isn't may never come, and is charged.
        // After a takeover every worker first has to find us; one that has tasks was up before.
        const age = wall - machine.rentedAt;
        const overdue = age > bootOf(machine) * 1.6 + report * 2;
        const watched = now - machine.created > report * 5;
        if (overdue && watched && machine.entries.size === 0) lost.push(machine.name);
        continue;
      }
      const last = machine.reached ?? machine.created;
      if (since === null || machine.missed < 2 || now - last < report * 0.8) continue;
      let silent = 0;
      let heard = 0;
      for (const other of this.machines.values()) {
        if (other === machine || other.lost) continue;
        if (other.reached !== null && other.reached > since) heard++;
        else if (other.missed > 0) silent++;
      }
      const alone = heard === 0 && silent === 0 && now - last > report * 3;
      // When a cut ends most answer at once. The others have not been asked since, and were released as lost.
      const askedSince = machine.askedAt >= this.mostSilentAt;
      if ((heard > silent && askedSince) || alone) lost.push(machine.name);
    }
    return lost;
  }

  // ---- Chunks ----

  addChunk(chunk: Chunk, now: number): void {
    this.chunks.set(chunk.id, chunk);
    this.needs.noteArrival(chunk, 1, now);
    if (chunk.complete) this.settled.add(chunk);
  }

  /** Takes in a chunk whose job is stored, and which is not yet itself. */
  accept(chunk: Chunk, now: number): void {
    chunk.accepted = true;
    this.addChunk(chunk, now);
    this.dirty.add(chunk);
    chunk.dirtySince ??= now;
  }

  /** Takes up a stored chunk, with all that its last owner may have started. */
  loadChunk(index: number, record: ChunkRecord, token: number, now: number): Chunk {
    const chunk = Chunk.load(index, record, now);
    for (const e of record.entries) {
      const machine = this.machines.get(e.machine);
      // Its machine's record is deleted only after the machine is gone.
      if (machine === undefined) continue;
      const entry: Entry = {
        ...e,
        version: 0,
        seen: false,
        state: 'fetching',
        placedAt: now,
        runningSince: null,
        // Whatever the last owner sent is settled once the worker has seen our token.
        doubt: token - 1,
        sentInAnswer: false,
        stop: null,
      };
      chunk.entries.set(e.task, entry);
      this.teams.add(chunk.spec, 1);
      machine.put({ chunk, entry });
      this.estimates.invalidate();
    }
    if (chunk.entries.size < record.entries.length) this.dirty.add(chunk);
    this.addChunk(chunk, now);
    return chunk;
  }

  /** It goes to another part, and so does the work that had arrived with it. */
  sendAway(chunk: Chunk, now: number): void {
    this.needs.noteArrival(chunk, -1, now);
    this.dropChunk(chunk);
  }

  dropChunk(chunk: Chunk): void {
    if (!chunk.dropped) this.teams.add(chunk.spec, -chunk.entries.size);
    chunk.dropped = true;
    chunk.bucket?.remove(chunk);
    this.chunks.delete(chunk.id);
    this.dirty.delete(chunk);
    this.settled.delete(chunk);
    for (const entry of chunk.entries.values()) {
      this.machines.get(entry.machine)?.drop(chunk.taskName(entry.task));
    }
  }

  /**
   * Its home has counted it as over. An adopter may have taken it up from a record that did not say so
   * yet; what it has started of it meanwhile is of no use.
   */
  overtake(chunk: Chunk, now: number): void {
    if (chunk.complete || chunk.entries.size === 0) this.dropChunk(chunk);
    else this.cancel(chunk, now);
  }

  cancel(chunk: Chunk, now: number): void {
    if (chunk.cancelled) return;
    chunk.cancelled = true;
    this.endAll(chunk, now);
    this.changed(chunk, now);
  }

  /**
   * Its user has asked to cancel it, and that is about to be stored: nothing of it starts or runs from now
   * on. This must not wait for the record, which may be stored where this node can't read it any more.
   */
  prepareCancel(chunk: Chunk, now: number): void {
    if (chunk.cancelPreparedAt === null && !chunk.cancelled) this.endAll(chunk, now);
    chunk.cancelPreparedAt = now;
  }

  /** The cancellation did not come about. */
  resume(chunk: Chunk): void {
    chunk.cancelPreparedAt = null;
  }

  private endAll(chunk: Chunk, now: number): void {
    for (const entry of [...chunk.entries.values()]) {
      const machine = this.machines.get(entry.machine);
      if (machine === undefined) continue;
      this.stop(machine, entry, 0);
      entry.stop = { wind: 0, sentAt: null };
      // Never sent, so nothing can come of it.
      if (!entry.seen && entry.doubt === null && !entry.sentInAnswer && !machine.inFlight) {
        this.release(machine, { chunk, entry }, now);
      }
    }
  }

  // ---- Decisions ----

  /** What waits, in the order in which it is looked at. */
  queue(): Chunk[] {
    const waiting = [...this.chunks.values()].filter((c) => c.pending > 0);
    const entitled = new Set(waiting.filter((c) => this.teams.isEntitled(c.spec)));
    return waiting.sort(
      (a, b) =>
        b.rank - a.rank || Number(entitled.has(b)) - Number(entitled.has(a)) || byOrder(a, b),
    );
  }

  get waiting(): number {
    let count = 0;
    for (const chunk of this.chunks.values()) count += chunk.pending;
    return count;
  }

  get utilisation(): number {
    let all = 0;
    let used = 0;
    for (const machine of this.machines.values()) {
      if (!machine.up) continue;
      all += machine.size.cpus;
      used += machine.taken;
    }
    return all === 0 ? 1 : used / all;
  }

  get cpus(): number {
    let all = 0;
    for (const machine of this.machines.values()) all += machine.size.cpus;
    return all;
  }

  /**
   * One round: places what fits, first come first served within a rank, later work filling in
   * behind. Stops at the deadline; the next round goes on where this one stopped.
   */
  decide(now: number, outOfTime: () => boolean): void {
    const queue = this.queue();
    this.throttled.clear();
    const start = queue.findIndex((c) => c.id === this.resumeAfter);
    this.resumeAfter = null;
    this.starving.clear();
    const round: Round = {
      withRoom: this.machinesWithRoom(now),
      reserved: null,
      full: new Set(),
      hopeless: new Set(),
      capped: new Set(),
      starved: new Map(),
    };
    const blocked: Chunk[] = [];
    for (let i = 0; i < queue.length; i++) {
      const chunk = queue[i];
      if (chunk === undefined) continue;
      // Live services are always looked at first; batch goes on where the last round stopped.
      if (chunk.rank < rankOrder.prod && start > 0 && i < start) continue;
      if (outOfTime()) {
        this.resumeAfter = chunk.id;
        break;
      }
      if (chunk.notBefore > now) continue;
      if (chunk.spec.service && this.preemption.makeRoomAtImage(chunk, now)) continue;
      const before = chunk.entries.size;
      const waits = this.placeChunk(chunk, round, now);
      if (chunk.spec.gang && chunk.entries.size > before) chunk.next++;
      if (!waits) {
        chunk.blockedSince = null;
        continue;
      }
      chunk.blockedSince ??= now;
      // Room would be kept in vain for one that its team's limit holds up.
      if (round.capped.has(chunk.spec.team)) continue;
      blocked.push(chunk);
      const shape = shapeOf(chunk.spec, chunk.zone);
      if (round.reserved === null && !round.hopeless.has(shape)) {
        round.reserved = this.shadow(chunk, now);
        if (round.reserved === null) round.hopeless.add(shape);
      }
    }
    this.preemption.makeRoom(blocked, now, outOfTime);
  }

  /** Rooms only shrink within a round, so the machines that are full at its start need not be looked at again. */
  private machinesWithRoom(now: number): Machine[] {
    const found: Machine[] = [];
    for (const machine of this.machines.values()) {
      // Every task takes some processor, but not every one takes memory.
      if (machine.free.cpus > 0 && machine.usable(now)) found.push(machine);
    }
    return found;
  }

  /** Gives true when tasks of it are left without room. */
  private placeChunk(chunk: Chunk, round: Round, now: number): boolean {
    const { spec } = chunk;
    const run = this.runTimes.expected(spec.jobClass, spec.expect);
    if (this.mustYield(chunk, round)) return true;
    if (spec.gang && !this.gangFits(chunk, round, now)) return true;
    // Backfilling must not delay the first that waits.
    const delays = spec.service || now + run > (round.reserved?.at ?? Infinity);
    const kept = delays && !spec.gang ? round.reserved?.machine : undefined;
    // Rooms only shrink within a round: what found none leaves none for others of its shape.
    const shape = shapeOf(spec, chunk.zone);
    const behind = `${shape} behind`;
    const choosy = chunk.failedOn.size > 0 && chunk.failedOn.size < this.machines.size;
    if (round.full.has(shape) || (kept !== undefined && round.full.has(behind))) return true;
    let hosts: Machine[] | null = null;
    while (chunk.pending > 0) {
      if (!this.teams.withinAllowance(spec)) {
        this.noteCapped(chunk, round, now);
        return true;
      }
      if (hosts === null) {
        hosts = [];
        for (const machine of round.withRoom) {
          if (machine === kept || !holds(machine.free, spec)) continue;
          if (!allows(spec, chunk.zone, machine)) continue;
          if (choosy && chunk.failedOn.has(machine.name)) continue;
          hosts.push(machine);
        }
      }
      const sampled = sampleHosts(hosts, spec.image, this.options.sample, this.random);
      const machine = bestFit(sampled, spec);
      if (machine === null) {
        if (!choosy) round.full.add(kept === undefined ? shape : behind);
        return true;
      }
      const task = chunk.nextPending();
      if (task === null) return false;
      this.place(chunk, task, machine, now);
      if (!holds(machine.free, spec)) hosts.splice(hosts.indexOf(machine), 1);
    }
    return false;
  }

  /**
   * At its limit a team's work goes on strictly in order: small tasks that took up each bit of the limit
   * as it came free would keep a large one waiting for good, here or at another part.
   */
  private mustYield(chunk: Chunk, round: Round): boolean {
    const { team } = chunk.spec;
    if (chunk.pending === 0) return false;
    if (round.capped.has(team)) return true;
    let first = round.starved.get(team);
    if (first === undefined) round.starved.set(team, (first = this.cluster.starvedElsewhere(team)));
    if (!this.isBehind(chunk, first)) return false;
    round.capped.add(team);
    return true;
  }

  private isBehind(chunk: Chunk, first: Starved | null): boolean {
    if (first === null || chunk.rank > first.rank) return false;
    return chunk.rank < first.rank || chunk.at > first.at;
  }

  /**
   * What waits here of a team and may have a share of its limit. What yields to a job at another part may
   * not: a share kept for it would be the one that the other waits for.
   */
  wanted(team: string): Amount {
    const want = nothing();
    const first = this.cluster.starvedElsewhere(team);
    for (const chunk of this.chunks.values()) {
      if (chunk.spec.team !== team || this.isBehind(chunk, first)) continue;
      want.cpus += chunk.pending * chunk.spec.cpus;
      want.gpus += chunk.pending * chunk.spec.gpus;
    }
    return want;
  }

  private noteCapped(chunk: Chunk, round: Round, now: number): void {
    const { team } = chunk.spec;
    this.throttled.add(team);
    round.capped.add(team);
    const since = chunk.blockedSince ?? now;
    if (now - since > this.options.report * 2) {
      this.starving.set(team, { team, at: chunk.at, rank: chunk.rank });
    }
  }

  /** A gang starts whole: nothing of it is left running, and there is room for all that is not done. */
  private gangFits(chunk: Chunk, round: Round, now: number): boolean {
    if (chunk.entries.size > 0) return false;
    const { spec } = chunk;
    const allowance = this.cluster.allowance(spec.team);
    const used = this.teams.usedBy(spec.team);
    if (allowance !== null) {
      const short =
        used.cpus + chunk.pending * spec.cpus > allowance.cpus + 1e-6 ||
        used.gpus + chunk.pending * spec.gpus > allowance.gpus + 1e-6;
      if (short) this.noteCapped(chunk, round, now);
      if (short) return false;
    }
    let left = chunk.pending;
    for (const machine of this.machines.values()) {
      if (!machine.usable(now) || !allows(spec, chunk.zone, machine)) continue;
      if (chunk.failedOn.has(machine.name) && chunk.failedOn.size < this.machines.size) continue;
      const room = { ...machine.free };
      while (left > 0 && holds(room, spec)) {
        left--;
        room.cpus -= spec.cpus;
        room.gpus -= spec.gpus;
        room.memory -= spec.memory;
      }
    }
    return left === 0;
  }

  private place(chunk: Chunk, task: number, machine: Machine, now: number): void {
    const entry: Entry = {
      task,
      // The tasks of a gang know each other by a common attempt.
      attempt: chunk.spec.gang ? chunk.next : chunk.next++,
      machine: machine.name,
      session: machine.session,
      version: chunk.version + 1,
      seen: false,
      state: 'fetching',
      placedAt: now,
      runningSince: null,
      doubt: null,
      sentInAnswer: false,
      stop: null,
    };
    chunk.entries.set(task, entry);
    this.teams.add(chunk.spec, 1);
    machine.put({ chunk, entry });
    this.estimates.invalidate();
    log.debug(
      `${this.label} places ${chunk.taskName(task)} (${chunk.spec.jobClass}) on ${machine.name}, ` +
        `image ${machine.hasImage(chunk.spec.image) ? 'there' : 'missing'}, ` +
        `after ${(now - chunk.queuedAt).toFixed(1)} s`,
    );
    this.changed(chunk, now);
  }

  /** Where and when the first that waits will find room: that room is kept for it. */
  private shadow(chunk: Chunk, now: number): { machine: Machine; at: number } | null {
    let best: { machine: Machine; at: number } | null = null;
    for (const machine of this.machines.values()) {
      if (!machine.usable(now) || !allows(chunk.spec, chunk.zone, machine)) continue;
      if (!holds(machine.size, chunk.spec)) continue;
      // Nothing ends there sooner than what is found already: most machines are passed over so.
      const roomNow = holds(machine.free, chunk.spec);
      if (best !== null && !roomNow && this.soonest(machine, now) >= best.at) continue;
      const room = { ...machine.free };
      const ends = [...machine.entries.values()]
        .map((p) => ({ at: this.estimates.endOf(p, now), need: p.chunk.spec }))
        .sort((a, b) => a.at - b.at);
      let at = now;
      for (const end of ends) {
        if (holds(room, chunk.spec)) break;
        room.cpus += end.need.cpus;
        room.gpus += end.need.gpus;
        room.memory += end.need.memory;
        at = end.at;
      }
      if (holds(room, chunk.spec) && at < (best?.at ?? Infinity)) best = { machine, at };
    }
    return best;
  }

  private soonest(machine: Machine, now: number): number {
    let first = Infinity;
    for (const placed of machine.entries.values())
      first = Math.min(first, this.estimates.endOf(placed, now));
    return first;
  }
}

/**
 * Where a report comes from: a worker's own, which may be late or get no answer; one that follows an
 * answer of ours on the same connection; the answer to a question or command of ours.
 */
export type Source = 'report' | 'follow' | 'answer';

/** What a report says: nothing, since it is older than what is known; nothing new; or something new. */
export type Told = 'older' | 'as before' | 'news';

interface Round {
  /** Machines that may take work and had room when the round began. */
  withRoom: Machine[];
  /** The machine that is kept for the first that waits, and from when on it will have room. */
  reserved: { machine: Machine; at: number } | null;
  /** Shapes of work for which no machine has room. */
  full: Set<string>;
  /** Shapes of work that no machine will ever have room for. */
  hopeless: Set<string>;
  /** Teams whose limit holds up the first of their work. */
  capped: Set<string>;
  /** What was found out of each team's work that starves at other parts. */
  starved: Map<string, Starved | null>;
}
