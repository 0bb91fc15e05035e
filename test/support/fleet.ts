/** Stand-ins for the cloud and its workers. */
import { HttpClient } from '../../src/transport/httpClient.js';
import { HttpServer, type Reply } from '../../src/transport/httpServer.js';
import type { HttpMessage } from '../../src/transport/httpParser.js';

interface Order {
  Verb: 'start' | 'halt' | 'reap';
  Piece: string;
  Try: number;
}
interface Piece {
  Piece: string;
  Try: number;
  Status: 'running' | 'ended';
  Cause?: string;
  timer?: NodeJS.Timeout;
}

export interface FleetSettings {
  report: number;
  lease: number;
  /** Seconds that a task runs, by the job's id; services never end. */
  runs: (task: string) => number;
}

const options = {
  bodyLimit: 1 << 20,
  maxConnections: 500,
  maxInFlight: 500,
  requestTimeout: 60,
  idleTimeout: 60,
};

export class WorkerStandIn {
  private session = 1;
  private tick = 0;
  private token = 0;
  private leaseTimer: NodeJS.Timeout | undefined;
  private readonly pieces = new Map<string, Piece>();
  private node = 0;
  private stopped = false;
  /** A hanging machine neither reports nor carries anything out. */
  hanging = false;
  /** Its reports arrive, but no answer, question or order gets to it. */
  deaf = false;
  /** Direct commands are held up on their way, while reports, answers and questions pass. */
  holdsCommands = false;
  /** It reaches no controller, while direct commands and questions reach it. */
  cutOff = false;
  /** All reports that it has sent. */
  readonly sent: string[] = [];
  private readonly server = new HttpServer((r) => this.serve(r), options);
  address = '';

  constructor(
    readonly name: string,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
    private readonly nodes: () => Map<string, string>,
    private readonly fleet: CloudStandIn,
  ) {}

  async start(): Promise<void> {
    this.address = `127.0.0.1:${await this.server.listen({ host: '127.0.0.1', port: 0 })}`;
    this.renewLease(performance.now());
    void this.loop();
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.leaseTimer);
    this.server.close();
    this.killAll();
  }

  get tasks(): string[] {
    return [...this.pieces.values()].filter((p) => p.Status === 'running').map((p) => p.Piece);
  }

  /** The highest token that it has seen. */
  get seenToken(): number {
    return this.token;
  }

  private killAll(): void {
    for (const piece of this.pieces.values()) this.end(piece, 'killed');
    this.pieces.clear();
  }

  private end(piece: Piece, cause: string): void {
    if (piece.Status === 'running') this.fleet.left(piece.Piece, this.name);
    clearTimeout(piece.timer);
    piece.Status = 'ended';
    piece.Cause = cause;
  }

  report(): Record<string, unknown> {
    return {
      Drone: this.name,
      Address: this.address,
      Flavour: this.type,
      Yard: this.zone,
      Loaners: this.spot,
      Shift: this.session,
      Tick: ++this.tick,
      Baton: this.token,
      WarningS: null,
      Pieces: [...this.pieces.values()].map(({ Piece, Try, Status, Cause }) => ({
        Piece,
        Try,
        Status,
        Cause,
      })),
    };
  }

  private carryOut(orders: Order[]): void {
    for (const { Verb, Piece: name, Try } of orders) {
      const known = this.pieces.get(name);
      if (Verb === 'start') {
        if (known?.Try === Try || (known !== undefined && known.Status === 'running')) continue;
        const piece: Piece = { Piece: name, Try, Status: 'running' };
        this.pieces.set(name, piece);
        this.fleet.started(name, this.name);
        const seconds = this.fleet.settings.runs(name);
        if (Number.isFinite(seconds)) {
          piece.timer = setTimeout(() => {
            if (piece.Status === 'running') this.fleet.watch?.done?.(name);
            this.end(piece, 'done');
          }, seconds * 1000);
        }
      } else if (known?.Try === Try && Verb === 'halt') this.end(known, 'halted');
      else if (known?.Try === Try && known.Status === 'ended') this.pieces.delete(name);
    }
  }

  private async serve(request: HttpMessage): Promise<Reply> {
    const isHeld = (): boolean =>
      this.hanging || this.deaf || (this.holdsCommands && request.target !== '/inspect');
    while (isHeld() && !this.stopped) await new Promise((r) => setTimeout(r, 20));
    // A machine that was released meanwhile is gone: what was held back for it is carried out nowhere. A
    // command that was let through by the release started its task beside the next machine's.
    if (this.stopped) return new Promise(() => undefined);
    if (request.target === '/inspect') return { status: 200, body: this.report() };
    const body = JSON.parse(request.body) as { Baton: number; Shift: number; Orders: Order[] };
    if (body.Baton < this.token || body.Shift !== this.session) {
      return { status: 409, body: this.report() };
    }
    this.token = body.Baton;
    this.carryOut(body.Orders);
    return { status: 200, body: this.report() };
  }

  /**
   * The lease counts from when the answered report was sent and ends at its moment, also while a report is on
   * its way: a check between two reports came up to a second late, and the new owner was blamed for that.
   */
  private renewLease(sent: number): void {
    clearTimeout(this.leaseTimer);
    const left = sent + this.fleet.settings.lease * 1000 - performance.now();
    this.leaseTimer = setTimeout(() => {
      this.endSession();
    }, left);
  }

  private endSession(): void {
    this.killAll();
    this.session++;
    this.renewLease(performance.now());
  }

  private async loop(): Promise<void> {
    const http = new HttpClient(10, 1);
    const { report } = this.fleet.settings;
    while (!this.stopped) {
      if (!this.hanging && !this.cutOff) await this.tell(http);
      await new Promise((r) => setTimeout(r, report * 1000));
    }
  }

  private async tell(http: HttpClient): Promise<void> {
    const nodes = [...this.nodes()];
    const [, address] = nodes[this.node % nodes.length] ?? ['', ''];
    const sent = performance.now();
    const session = this.session;
    try {
      const report = this.report();
      this.sent.push(JSON.stringify(report));
      const answer = await http.call(address, 'POST', '/hello', report, 1);
      if (this.deaf) throw new Error('no answer came');
      const body = answer.body as { Baton?: number; Orders?: Order[]; Foreman?: string };
      if (answer.status === 200 && body.Baton !== undefined && body.Baton >= this.token) {
        if (this.hanging || this.stopped || session !== this.session) return;
        this.token = body.Baton;
        this.renewLease(sent);
        this.carryOut(body.Orders ?? []);
        return;
      }
      const named = nodes.findIndex(([label]) => label === body.Foreman);
      this.node = named >= 0 ? named : this.node + 1;
    } catch {
      this.node++;
    }
  }
}

export interface TaskWatch {
  started(task: string, machine: string): void;
  /** It has run to its end. */
  done?(task: string): void;
  left(task: string, machine: string): void;
}

export class CloudStandIn {
  readonly workers = new Map<string, WorkerStandIn>();
  /** task -> machines that run it now; more than one is a broken rule. */
  private readonly running = new Map<string, Set<string>>();
  readonly starts: string[] = [];
  /** The zone of the machine, for each of them. */
  readonly startZones: (string | undefined)[] = [];
  readonly twice: string[] = [];
  readonly released: string[] = [];
  private next = 1;
  private readonly asks = new Map<string, string[]>();
  private readonly server = new HttpServer((r) => this.answer(r), options);
  capacity = Infinity;
  /** Requests for which this says yes are carried out, and their answers get lost. */
  lose: ((path: string) => boolean) | null = null;

  constructor(
    readonly settings: FleetSettings,
    private readonly nodes: () => Map<string, string>,
    private readonly zones: string[],
  ) {}

  async listen(): Promise<string> {
    return `127.0.0.1:${await this.server.listen({ host: '127.0.0.1', port: 0 })}`;
  }

  close(): void {
    for (const worker of this.workers.values()) worker.stop();
    this.server.close();
  }

  /** Told of every task that comes to a machine or leaves it. */
  watch: TaskWatch | null = null;

  started(task: string, machine: string): void {
    this.watch?.started(task, machine);
    this.starts.push(task);
    this.startZones.push(this.workers.get(machine)?.zone);
    const on = this.running.get(task) ?? new Set();
    this.running.set(task, on);
    if (on.size > 0 && !on.has(machine)) this.twice.push(task);
    on.add(machine);
  }

  left(task: string, machine: string): void {
    this.watch?.left(task, machine);
    this.running.get(task)?.delete(machine);
  }

  async add(type: string, zone: string, spot: boolean): Promise<string> {
    const name = `n-${String(this.next++).padStart(6, '0')}`;
    const worker = new WorkerStandIn(name, type, zone, spot, this.nodes, this);
    this.workers.set(name, worker);
    await worker.start();
    return name;
  }

  private async answer(request: HttpMessage): Promise<Reply> {
    const reply = await this.carryOut(request);
    if (this.lose?.(`${request.method} ${request.target.split('?')[0] ?? ''}`) !== true)
      return reply;
    return new Promise(() => undefined);
  }

  private async carryOut(request: HttpMessage): Promise<Reply> {
    const path = request.target.split('?')[0];
    if (path === '/machine_types') {
      const type = {
        Label: 'm8',
        Cores: 8,
        Accelerators: 0,
        MemoryGb: 32,
        LocalGb: 50,
        PullGbPerS: 1,
        Hourly: 1,
        SpotPrice: 0.4,
        BootS: 1,
        Yards: this.zones,
      };
      return { status: 200, body: { Flavours: [type] } };
    }
    if (path === '/rentals' && request.method === 'GET') {
      const machines = [...this.workers.values()].map((w) => ({
        Uid: w.name,
        Flavour: w.type,
        Yard: w.zone,
        Loaners: w.spot,
        Status: 'running',
        Address: w.address,
        AgeS: 100,
      }));
      return { status: 200, body: { Drones: machines, More: false } };
    }
    if (path === '/rentals') {
      const ask = JSON.parse(request.body) as {
        Ask: string;
        Flavour: string;
        Yard: string;
        Loaners: boolean;
        Number: number;
      };
      let names = this.asks.get(ask.Ask);
      if (names === undefined) {
        names = [];
        for (let i = 0; i < ask.Number && this.workers.size < this.capacity; i++) {
          names.push(await this.add(ask.Flavour, ask.Yard, ask.Loaners));
        }
        if (names.length === 0) return { status: 503, body: { error: 'no capacity' } };
        this.asks.set(ask.Ask, names);
      }
      return { status: 200, body: { Drones: names } };
    }
    const { Drones } = JSON.parse(request.body) as { Drones: string[] };
    for (const name of Drones) {
      this.released.push(name);
      this.workers.get(name)?.stop();
      this.workers.delete(name);
    }
    return { status: 200, body: {} };
  }
}
