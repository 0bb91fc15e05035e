/** Stand-ins for the cloud and its machines, as PROTOCOL describes them. */
import http from 'node:http';
import { JsonServer, MAX_BODY, request, type JsonReply, type JsonRequest } from './http.js';
import { sleep, type Recorder } from './record.js';

/** A machine type, as `GET /machine_types` lists it. */
export interface Flavour {
  Label: string;
  Cores: number;
  Accelerators: number;
  MemoryGb: number;
  LocalGb: number;
  PullGbPerS: number;
  Hourly: number;
  SpotPrice: number;
  BootS: number;
  Yards: string[];
}

/** What the machines need to know of the site. */
export interface FleetOptions {
  reportS: number;
  leaseS: number;
  listLagS: number;
  cloudRps: number;
  flavours: Flavour[];
  /** Machines that exist at most. */
  capacity: number;
  /** Addresses of the controllers for workers, by label. */
  controllers: () => Map<string, string>;
}

/** What a task takes and how long it runs, as its user has described it. */
export interface TaskDescription {
  cores: number;
  memoryGb: number;
  /** Seconds that a task runs; Infinity for a replica. */
  runS: number;
  pullGb: number;
  bundle: string;
}

interface Order {
  Verb: string;
  Piece: string;
  Try: number;
  WindDownS?: number;
}

interface Attempt {
  piece: string;
  number: number;
  status: 'fetching' | 'running' | 'ended';
  cause: string | null;
  timer: NodeJS.Timeout | null;
}

const jobOf = (piece: string): string => piece.slice(0, piece.lastIndexOf('/'));

/** All machines, and what ran on them. */
export class Fleet {
  readonly machines = new Map<string, Worker>();
  /** Jobs that users have uploaded, by id. */
  readonly jobs = new Map<string, TaskDescription>();
  /** Results of completed tasks are kept. */
  readonly completed = new Set<string>();
  /** Machines that have the task with its image, by task. */
  readonly holders = new Map<string, Set<string>>();
  readonly ranTwice: string[] = [];
  starts = 0;
  private readonly server: JsonServer;
  private readonly rentals = new Map<string, string[]>();
  private nextName = 1;
  private tokens: number;
  private tokensAt = performance.now();

  constructor(
    readonly options: FleetOptions,
    readonly record: Recorder,
  ) {
    this.server = new JsonServer((call) => this.answer(call));
    this.tokens = options.cloudRps * 2;
  }

  /** Opens the cloud's interface. */
  async listen(): Promise<string> {
    return `127.0.0.1:${await this.server.listen()}`;
  }

  /** Ends everything. */
  close(): void {
    this.server.close();
    for (const machine of this.machines.values()) machine.end();
  }

  /** Adds a machine; it is up after `bootS` seconds. */
  rent(flavour: Flavour, yard: string, isSpot: boolean, bootS: number): string {
    const name = `n-${String(this.nextName++).padStart(6, '0')}`;
    const machine = new Worker(name, flavour, yard, isSpot, this);
    this.machines.set(name, machine);
    this.record.note(`cloud: ${name} (${flavour.Label}) rented, up in ${bootS.toFixed(1)} s`);
    void machine.boot(bootS);
    return name;
  }

  /** The task has its image on the machine. */
  noteStarted(piece: string, machine: string): void {
    this.starts++;
    const holders = this.holders.get(piece) ?? new Set<string>();
    this.holders.set(piece, holders);
    for (const other of holders) {
      if (other !== machine) this.ranTwice.push(`${piece} on ${machine} while on ${other}`);
    }
    holders.add(machine);
  }

  /** The task is no longer on the machine. */
  noteLeft(piece: string, machine: string): void {
    this.holders.get(piece)?.delete(machine);
  }

  /** Number of a job's tasks that are on machines. */
  onMachines(job: string): number {
    let count = 0;
    for (const [piece, holders] of this.holders) {
      if (holders.size > 0 && jobOf(piece) === job) count++;
    }
    return count;
  }

  private isLimited(): boolean {
    const { cloudRps } = this.options;
    const now = performance.now();
    const refill = ((now - this.tokensAt) / 1000) * cloudRps;
    this.tokens = Math.min(cloudRps * 2, this.tokens + refill);
    this.tokensAt = now;
    if (this.tokens < 1) return true;
    this.tokens--;
    return false;
  }

  private async answer({ url, method, text }: JsonRequest): Promise<JsonReply> {
    await sleep(0.05);
    if (this.isLimited()) return { status: 429, body: { error: 'too many' } };
    if (url.pathname === '/machine_types') {
      return { status: 200, body: { Flavours: this.options.flavours } };
    }
    if (url.pathname === '/rentals' && method === 'GET') return this.list(url);
    if (url.pathname === '/rentals') return this.rentFor(text);
    if (url.pathname === '/rentals/release') return this.release(text);
    return { status: 404, body: {} };
  }

  private list(url: URL): JsonReply {
    const from = url.searchParams.get('From') ?? '';
    const page = Math.min(500, Number(url.searchParams.get('Page') ?? 500));
    const shown = [...this.machines.values()].filter(
      ({ name, ageS }) => name > from && ageS > this.options.listLagS,
    );
    const rows = shown.slice(0, page).map((machine) => ({
      Uid: machine.name,
      Address: machine.address,
      Flavour: machine.flavour.Label,
      Yard: machine.yard,
      Loaners: machine.isSpot,
      Status: machine.isUp ? 'running' : 'starting',
      AgeS: machine.ageS,
    }));
    return { status: 200, body: { Drones: rows, More: shown.length > page } };
  }

  private rentFor(text: string): JsonReply {
    const {
      Ask,
      Flavour,
      Yard,
      Loaners,
      Number: count,
    } = JSON.parse(text) as {
      Ask: string;
      Flavour: string;
      Yard: string;
      Loaners: boolean;
      Number: number;
    };
    const flavour = this.options.flavours.find(({ Label }) => Label === Flavour);
    if (flavour === undefined) return { status: 400, body: { error: 'no such type' } };
    let names = this.rentals.get(Ask);
    if (names === undefined) {
      const free = this.options.capacity - this.machines.size;
      if (free <= 0) return { status: 503, body: { error: 'no capacity' } };
      names = [];
      for (let i = 0; i < Math.min(count, free, 50); i++) {
        names.push(this.rent(flavour, Yard, Loaners, flavour.BootS));
      }
      this.rentals.set(Ask, names);
    }
    return { status: 200, body: { Drones: names } };
  }

  private release(text: string): JsonReply {
    for (const name of (JSON.parse(text) as { Drones: string[] }).Drones) {
      const machine = this.machines.get(name);
      if (machine === undefined) continue;
      this.record.note(`cloud: ${name} released with ${machine.running} tasks`);
      machine.end();
      this.machines.delete(name);
    }
    return { status: 200, body: {} };
  }
}

/** One machine with its worker. */
export class Worker {
  address = '';
  isUp = false;
  private readonly rentedAt = performance.now();
  private readonly server: JsonServer;
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  private shift = 1;
  private tick = 0;
  private baton = 0;
  private readonly attempts = new Map<string, Attempt>();
  private readonly images = new Set<string>();
  private leaseTimer: NodeJS.Timeout | null = null;
  private isEnded = false;
  private controller = '';
  private lastReportAt = 0;
  private hasNews = false;
  /** Bodies of `/orders` beyond 64 KiB, and answers to reports with a longer line. */
  refusedOrders = 0;
  droppedAnswers = 0;

  constructor(
    readonly name: string,
    readonly flavour: Flavour,
    readonly yard: string,
    readonly isSpot: boolean,
    private readonly fleet: Fleet,
  ) {
    this.server = new JsonServer((call) => this.answer(call));
    this.server.onTooLarge = (target, bytes) => {
      this.refusedOrders++;
      this.fleet.record.note(`${name}: ${target} with a body of ${bytes} bytes answered 413`);
    };
  }

  /** Seconds since it was rented. */
  get ageS(): number {
    return (performance.now() - this.rentedAt) / 1000;
  }

  /** Number of tasks that have not ended. */
  get running(): number {
    let count = 0;
    for (const { status } of this.attempts.values()) if (status !== 'ended') count++;
    return count;
  }

  /** Boots, and reports from then on. */
  async boot(seconds: number): Promise<void> {
    this.address = `127.0.0.1:${await this.server.listen()}`;
    await sleep(seconds);
    if (this.isEnded) return;
    this.isUp = true;
    this.renewLease(performance.now());
    await this.report();
  }

  /** Ends the machine and everything on it. */
  end(): void {
    this.isEnded = true;
    if (this.leaseTimer !== null) clearTimeout(this.leaseTimer);
    this.server.close();
    this.agent.destroy();
    this.killAll();
  }

  private killAll(): void {
    for (const attempt of this.attempts.values()) this.finish(attempt, 'killed');
    this.attempts.clear();
  }

  private renewLease(sentAt: number): void {
    if (this.leaseTimer !== null) clearTimeout(this.leaseTimer);
    const left = sentAt + this.fleet.options.leaseS * 1000 - performance.now();
    this.leaseTimer = setTimeout(() => {
      this.fleet.record.note(`${this.name}: lease over, ${this.running} tasks killed`);
      this.killAll();
      this.shift++;
      this.hasNews = true;
      this.renewLease(performance.now());
    }, left);
  }

  private describe(): Record<string, unknown> {
    return {
      Drone: this.name,
      Address: this.address,
      Flavour: this.flavour.Label,
      Yard: this.yard,
      Loaners: this.isSpot,
      Shift: this.shift,
      Tick: ++this.tick,
      Baton: this.baton,
      WarningS: null,
      Pieces: [...this.attempts.values()].map(({ piece, number, status, cause }) => ({
        Piece: piece,
        Try: number,
        Status: status,
        ...(cause === null ? {} : { Cause: cause }),
      })),
    };
  }

  private async report(): Promise<void> {
    const { reportS } = this.fleet.options;
    while (!this.isEnded) {
      const pause = reportS * (0.75 + Math.random() * 0.5);
      const until = performance.now() + pause * 1000;
      while (!this.isEnded && performance.now() < until) {
        if (this.hasNews && performance.now() - this.lastReportAt >= 500) break;
        await sleep(0.05);
      }
      if (!this.isEnded) await this.sendReport();
    }
  }

  private nextController(): void {
    const labels = [...this.fleet.options.controllers().keys()];
    this.controller = labels[(labels.indexOf(this.controller) + 1) % labels.length] ?? '';
  }

  private async sendReport(): Promise<void> {
    const controllers = this.fleet.options.controllers();
    if (!controllers.has(this.controller)) this.nextController();
    const endpoint = controllers.get(this.controller) ?? '';
    this.hasNews = false;
    this.lastReportAt = performance.now();
    const { shift, lastReportAt: sentAt } = this;
    const answer = await request(this.agent, endpoint, 'POST', '/hello', this.describe(), 4);
    if (this.isEnded) return;
    const foreman = (answer?.body as { Foreman?: string } | null)?.Foreman;
    if (answer?.status === 200) {
      const isLineTooLong = answer.text.split('\n').some((line) => line.length > MAX_BODY);
      if (isLineTooLong) {
        this.droppedAnswers++;
        this.fleet.record.note(`${this.name}: an answer with a line of over 64 KiB dropped`);
      } else {
        this.accept(shift, sentAt, answer.body);
        return;
      }
    } else if (
      answer?.status === 421 &&
      foreman !== undefined &&
      foreman !== this.controller &&
      controllers.has(foreman)
    ) {
      this.controller = foreman;
      this.hasNews = true;
      return;
    }
    await sleep(1);
    this.nextController();
    this.hasNews = true;
  }

  private accept(shift: number, sentAt: number, body: unknown): void {
    const { Baton, Orders = [] } = body as { Baton?: number; Orders?: Order[] };
    if (shift !== this.shift || Baton === undefined || Baton < this.baton) return;
    if (Baton > this.baton) this.hasNews = true;
    this.baton = Baton;
    this.renewLease(sentAt);
    for (const order of Orders) this.execute(order);
  }

  private answer({ url, text }: JsonRequest): JsonReply {
    if (!this.isUp || this.isEnded) return null;
    if (url.pathname === '/inspect') return { status: 200, body: this.describe() };
    const { Baton, Shift, Orders } = JSON.parse(text) as {
      Baton?: number;
      Shift?: number;
      Orders?: Order[];
    };
    if (Baton === undefined || Shift === undefined) return { status: 400, body: {} };
    if (Baton < this.baton || Shift !== this.shift) return { status: 409, body: this.describe() };
    if (Baton > this.baton) this.hasNews = true;
    this.baton = Baton;
    for (const order of Orders ?? []) this.execute(order);
    return { status: 200, body: this.describe() };
  }

  private execute({ Verb, Piece, Try }: Order): void {
    const key = `${Piece}#${Try}`;
    const known = this.attempts.get(key);
    if (Verb === 'start' && known === undefined) this.start(key, Piece, Try);
    else if (Verb === 'halt' && known !== undefined) this.finish(known, 'halted');
    else if (Verb === 'reap' && known?.status === 'ended') {
      this.attempts.delete(key);
      this.hasNews = true;
    }
  }

  private refusal(piece: string): string | null {
    const task = this.fleet.jobs.get(jobOf(piece));
    if (task === undefined) return 'unknown';
    let { Cores, MemoryGb } = this.flavour;
    for (const attempt of this.attempts.values()) {
      if (attempt.status === 'ended') continue;
      if (attempt.piece === piece) return 'busy';
      const other = this.fleet.jobs.get(jobOf(attempt.piece));
      Cores -= other?.cores ?? 0;
      MemoryGb -= other?.memoryGb ?? 0;
    }
    return Cores < task.cores - 1e-6 || MemoryGb < task.memoryGb - 1e-6 ? 'no_room' : null;
  }

  private start(key: string, piece: string, number: number): void {
    const cause = this.refusal(piece);
    const status = cause === null ? 'fetching' : 'ended';
    const attempt: Attempt = { piece, number, status, cause, timer: null };
    this.attempts.set(key, attempt);
    this.hasNews = true;
    const task = this.fleet.jobs.get(jobOf(piece));
    if (cause !== null || task === undefined) return;
    const fetchS = this.images.has(task.bundle) ? 0 : task.pullGb / this.flavour.PullGbPerS;
    attempt.timer = setTimeout(() => {
      this.images.add(task.bundle);
      this.run(attempt, task);
    }, fetchS * 1000);
  }

  private run(attempt: Attempt, task: TaskDescription): void {
    attempt.status = 'running';
    attempt.timer = null;
    this.hasNews = true;
    this.fleet.noteStarted(attempt.piece, this.name);
    const runS = this.fleet.completed.has(attempt.piece) ? 0 : task.runS;
    if (!Number.isFinite(runS)) return;
    attempt.timer = setTimeout(() => {
      this.fleet.completed.add(attempt.piece);
      this.finish(attempt, 'done');
    }, runS * 1000);
  }

  private finish(attempt: Attempt, cause: string): void {
    if (attempt.status === 'ended') return;
    if (attempt.timer !== null) clearTimeout(attempt.timer);
    attempt.status = 'ended';
    attempt.cause = cause;
    this.hasNews = true;
    this.fleet.noteLeft(attempt.piece, this.name);
  }
}
