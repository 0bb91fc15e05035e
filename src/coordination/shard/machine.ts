import type { Command, Heartbeat, ReportedAttempt } from '../../protocol/workerProtocol.js';
import type { MachineType } from '../../protocol/cloudProtocol.js';
import type { MachineRecord } from '../../storage/records.js';
import type { Chunk, Attempt } from './chunk.js';
import {
  subtractResources,
  type CandidateMachine,
  type Resources,
} from '../scheduling/placement.js';
import { ReportedAttempts } from './reportedAttempts.js';

/** An ended attempt that the worker still reports, and from when on it may be forgotten. */
export interface EndedAttempt {
  /** Steady time at which its end was heard of. */
  since: number;
  /** A start of it rides in the answer to a report: the worker's next report settles that. */
  sentInAnswer: boolean;
  mayReap: () => boolean;
  /** A start of it may still be carried out. */
  isInDoubt: () => boolean;
}

/** One attempt of one task. */
export const attemptKey = (task: string, attempt: number): string => `${task}#${attempt}`;

export interface Placement {
  chunk: Chunk;
  entry: Attempt;
}

interface Occupancy {
  shape: MachineType | undefined;
  free: Resources;
  live: number;
  taken: number;
}

const NO_RESOURCES: Resources = { cpus: 0, gpus: 0, memory: 0 };

/** One machine of a part, as its worker last reported it. */
export class Machine implements CandidateMachine {
  address = '';
  session = 0;
  tick = -1;
  seenToken = 0;
  /** Steady time of the last report; null before the first one. */
  heard: number | null = null;
  /**
   * Steady time of the last proof that something of ours arrived there. Being heard is not being
   * reachable: a report may be a late copy, or come from a machine that gets no answer.
   */
  reached: number | null = null;
  /** Until when, at most, its worker's lease may have been renewed by an answer: ours or another's. */
  renewed: number;
  /** Steady time at which the cloud will take it; null without a notice. */
  goneBy: number | null = null;
  private reported = new ReportedAttempts();
  private readonly placed = new Map<string, Placement>();
  /** What `free` and `live` were last worked out from; placement asks for them far more often than they change. */
  private room: Occupancy | null = null;
  /** By `attemptKey`: a task may have ended here more than once. */
  readonly leftovers = new Map<string, EndedAttempt>();
  /** Images seen here, oldest use first. */
  private readonly images = new Map<string, number>();
  slowness = 1;
  /** Distinct jobs whose tasks failed here in a row. */
  readonly failedJobs = new Set<string>();
  /** Nothing is placed before this time. */
  shunnedUntil = 0;
  /** Offered back to the cloud: nothing is placed here any more. */
  leaving = false;
  /** Given up as lost; release is asked for. */
  lost = false;
  /** That its release is asked for was noted in the audit trail. */
  isGivenUp = false;
  idleSince: number;
  inFlight = false;
  /** Steady time of the last report that its worker sent by itself. */
  reportedAt: number | null = null;
  /**
   * It answers, but its worker reaches no controller: answers do not renew its lease, so whatever starts there
   * is killed within one.
   */
  cutOff = false;
  /** Questions in a row that it has not answered. */
  missed = 0;
  /** When the first of them was sent. */
  missedSince: number | null = null;
  probing = false;
  /** When it was last asked a question. */
  askedAt = -Infinity;
  /** Since when a start sent here is without an answer. */
  inDoubtSince: number | null = null;

  constructor(
    readonly name: string,
    private record: MachineRecord,
    private readonly types: () => Map<string, MachineType>,
    now: number,
    /** Whether a start of the task may leave. */
    private readonly mayStart: (task: string, now: number) => boolean = () => true,
  ) {
    this.renewed = now;
    this.address = record.address ?? '';
    this.idleSince = now;
    this.created = now;
  }

  readonly created: number;

  /** Time of day at which it was rented, or first heard of. */
  get rentedAt(): number {
    return this.record.at;
  }

  /** Its record has changed: an address has come. */
  learn(record: MachineRecord): void {
    this.record = record;
    if (this.address === '') this.address = record.address ?? '';
  }

  /**
   * Looked up each time: after a restart machines are loaded before the cloud has told its types, and
   * a machine that kept "unknown" would never be given work again.
   */
  get shape(): MachineType | undefined {
    return this.types().get(this.record.type);
  }

  get type(): string {
    return this.record.type;
  }
  get zone(): string {
    return this.record.zone;
  }
  get spot(): boolean {
    return this.record.spot;
  }
  get up(): boolean {
    return this.reached !== null && !this.lost;
  }
  /** It reports, perhaps, but does not answer: its lease is running out, and it gets no work. */
  get isUnresponsive(): boolean {
    return this.missed >= 2;
  }

  get size(): Resources {
    return this.shape ?? NO_RESOURCES;
  }

  /** The attempts of ours that are, or may be, here. */
  get entries(): ReadonlyMap<string, Placement> {
    return this.placed;
  }

  put(placed: Placement): void {
    this.placed.set(placed.chunk.taskName(placed.entry.task), placed);
    this.room = null;
  }

  drop(task: string): void {
    this.placed.delete(task);
    this.room = null;
  }

  /** All tasks that the worker last reported. */
  get tasks(): ReportedAttempts {
    return this.reported;
  }

  /** Gives false when nothing has changed, as in most reports. */
  noteTasks(tasks: ReportedAttempt[]): boolean {
    if (this.reported.isSameAs(tasks)) return false;
    this.reported = new ReportedAttempts(tasks);
    this.room = null;
    return true;
  }

  /** Room left beside everything that is or may still be here. */
  get free(): Readonly<Resources> {
    return this.occupancy.free;
  }

  /** Processors that live services have here. */
  get live(): number {
    return this.occupancy.live;
  }

  /** Processors that tasks of ours have here. */
  get taken(): number {
    return this.occupancy.taken;
  }

  private get occupancy(): Occupancy {
    const { shape } = this;
    if (this.room !== null && this.room.shape === shape) return this.room;
    let free = { ...this.size };
    let live = 0;
    let taken = 0;
    for (const { chunk } of this.placed.values()) {
      subtractResources(free, chunk.spec);
      taken += chunk.spec.cpus;
      if (chunk.spec.service) live += chunk.spec.cpus;
    }
    // A stranger (an attempt we know nothing of) takes room that we can't measure.
    if (this.reported.all.some((report) => this.isStranger(report))) free = NO_RESOURCES;
    this.room = { shape, free, live, taken };
    return this.room;
  }

  /**
   * Something can't go on before the doubt of a start here is settled: an attempt that no report shows can't be given up,
   * or one that ended before `leftSince` can't be reaped.
   */
  waitsForDoubt(leftSince: number): boolean {
    for (const [task, { entry }] of this.placed) {
      const isGone = this.tasks.find(task, entry.attempt) === undefined;
      if (!isGone || (!entry.seen && entry.stop === null)) continue;
      if (entry.doubt.isOpen(this.seenToken)) return true;
    }
    for (const leftover of this.leftovers.values()) {
      if (leftover.since < leftSince && leftover.isInDoubt()) return true;
    }
    return false;
  }

  /** Attempts that run here, and of which the part knows nothing. */
  get strangers(): ReportedAttempt[] {
    return this.reported.all.filter((report) => this.isStranger(report));
  }

  /** An attempt that is there, and not by our word. */
  private isStranger({ task, attempt, state }: ReportedAttempt): boolean {
    return state !== 'ended' && this.placed.get(task)?.entry.attempt !== attempt;
  }

  /** Something of ours has arrived there: it is trusted, whatever was thought of it. */
  noteReached(now: number): void {
    this.reached = now;
    this.lost = false;
    this.isGivenUp = false;
    this.missed = 0;
    this.missedSince = null;
  }

  usable(now: number): boolean {
    const able = this.up && !this.isUnresponsive && !this.cutOff && !this.leaving;
    return able && this.goneBy === null && this.shunnedUntil <= now;
  }

  hasImage(image: string): boolean {
    return this.images.has(image);
  }

  noteImage(image: string, gb: number): void {
    this.images.delete(image);
    this.images.set(image, gb);
    let total = 0;
    for (const size of this.images.values()) total += size;
    for (const [old, size] of this.images) {
      if (total <= (this.shape?.cache ?? Infinity) || this.images.size === 1) break;
      this.images.delete(old);
      total -= size;
    }
  }

  isNewer(report: Heartbeat): boolean {
    return (
      report.session > this.session || (report.session === this.session && report.tick > this.tick)
    );
  }

  /**
   * Ends of tasks whose users have asked to cancel them. Whoever answers the worker gives these, with every
   * answer, whatever else it may not do: an answer without them would only keep such tasks alive.
   */
  endings(): Command[] {
    const orders: Command[] = [];
    for (const [task, { chunk, entry }] of this.entries) {
      const { attempt } = entry;
      const report = this.tasks.find(task, attempt);
      if (!chunk.unwanted || report === undefined) continue;
      if (report.state !== 'ended') orders.push({ verb: 'halt', task, attempt, wind: 0 });
    }
    return orders;
  }

  /**
   * Whether something should be sent to the worker at once. Reaps are not worth a command of their own: they
   * go along with others or with the answer to a report.
   */
  needsCommand(now: number, again: number): boolean {
    return this.commands(now, again).next().done !== true;
  }

  /**
   * Orders for the answer to a report. A reap changes what the worker reports, so one that has no company costs
   * another report: reaps wait for other orders, but no longer than `patience`.
   */
  answerOrders(now: number, again: number, patience: number): Command[] {
    const orders = this.orders(true, now, again);
    if (orders.some((order) => order.verb !== 'reap')) return orders;
    const isOld = ({ task, attempt }: Command): boolean => {
      const leftover = this.leftovers.get(attemptKey(task, attempt));
      return leftover === undefined || now - leftover.since >= patience;
    };
    return orders.some(isOld) ? orders : [];
  }

  /** Stops, starts and reaps that the worker should carry out now. Stops count as sent. */
  orders(mayStart: boolean, now: number, again: number): Command[] {
    const commands = [...this.commands(now, again)].filter(
      ({ order }) => mayStart || order.verb !== 'start',
    );
    for (const { firstStop } of commands) if (firstStop !== null) firstStop.sentAt = now;
    return [...this.reaps(), ...commands.map(({ order }) => order)];
  }

  /** Ended attempts that the worker may forget. */
  private *reaps(): Generator<Command> {
    for (const { task, state, attempt } of this.tasks.all) {
      if (state !== 'ended') continue;
      const leftover = this.leftovers.get(attemptKey(task, attempt));
      // Nothing of ours: an attempt that was given up before; nobody waits for it.
      const mayReap = leftover?.mayReap() ?? this.entries.get(task)?.entry.attempt !== attempt;
      if (mayReap) yield { verb: 'reap', task, attempt };
    }
  }

  /** Ends of what is not ours, stops and starts that are due; one without effect is repeated after `again`. */
  private *commands(now: number, again: number): Generator<DueCommand> {
    for (const report of this.tasks.all) {
      if (!this.isStranger(report)) continue;
      const { task, attempt } = report;
      yield { order: { verb: 'halt', task, attempt, wind: 0 }, firstStop: null };
    }
    for (const [task, { chunk, entry }] of this.entries) {
      const { attempt, stop } = entry;
      const here = this.tasks.find(task, attempt);
      if (stop !== null) {
        const due = dueStop(stop, here, now, again);
        if (due === null) continue;
        const order: Command = { verb: 'halt', task, attempt, wind: due.wind };
        yield { order, firstStop: due.isLate ? null : stop };
      } else if (here === undefined && isStartDue(chunk, entry) && this.mayStart(task, now)) {
        yield { order: { verb: 'start', task, attempt }, firstStop: null };
      }
    }
  }
}

type PendingStop = NonNullable<Attempt['stop']>;

/** It is stored, and by us; no report has shown it yet. */
const isStartDue = (chunk: Chunk, entry: Attempt): boolean =>
  chunk.isDurable(entry) && !entry.seen && !entry.isAdopted;

/** An order that is due now. */
interface DueCommand {
  order: Command;
  /** The stop that counts as sent with it; the end of a task that saves for too long is sent with each message. */
  firstStop: PendingStop | null;
}

/** How a task is to be stopped now; null while no stop is due. */
function dueStop(
  stop: PendingStop,
  here: ReportedAttempt | undefined,
  now: number,
  again: number,
): { wind: number; isLate: boolean } | null {
  if (here === undefined || here.state === 'ended') return null;
  const { sentAt, wind } = stop;
  if (here.state === 'saving') {
    // A second halt would end a task that is still saving; only after its time is up.
    const isLate = sentAt !== null && now - sentAt > wind + again;
    return isLate ? { wind: 0, isLate } : null;
  }
  const isDue = sentAt === null || now - sentAt > again;
  return isDue ? { wind, isLate: false } : null;
}
