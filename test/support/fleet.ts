/** Stand-ins for the cloud and its workers. */
import { HttpClient } from '../../src/transport/httpClient.js';
import { HttpServer, type Reply } from '../../src/transport/httpServer.js';
import type { HttpMessage } from '../../src/transport/httpParser.js';
import { Link } from './link.js';
import { maybeDeliverDuplicate, type MessageDuplication } from './messageDuplication.js';
import {
  WorkerModel,
  type CommandBody,
  type WorkerAttempt,
  type WorkerCommand,
} from './workerModel.js';

export interface FleetSettings {
  heartbeatInterval: number;
  workerLease: number;
  /** Seconds that a task runs, by the job's id; services never end. */
  taskRunSeconds: (task: string) => number;
  /** Seconds that a task takes to save its checkpoint when it is stopped; without it none does. */
  checkpointSeconds?: (task: string) => number;
  /** Whether requests to workers go through links that can be cut. */
  isLinked?: boolean;
}

/** Answered commands that a worker stand-in keeps for copies. */
const MOST_KEPT = 200;

const options = {
  bodyLimit: 1 << 20,
  maxConnections: 500,
  maxInFlight: 500,
  requestTimeout: 60,
  idleTimeout: 60,
};

/** Messages of a worker that the network treats badly: each is drawn by itself. */
export interface MessageFaults {
  /** Of the direct commands, those that are held up, get no answer, and are carried out once, late. */
  delayedCommandShare: number;
  /** Of the heartbeats, those of which a copy arrives again later. */
  duplicatedHeartbeatShare: number;
  /** Seconds that a message is late. */
  delay: () => number;
  random: () => number;
}

export class WorkerStandIn {
  private readonly model: WorkerModel;
  private leaseTimer: NodeJS.Timeout | undefined;
  private readonly ends = new Map<WorkerAttempt, NodeJS.Timeout>();
  private node = 0;
  private stopped = false;
  /** A hanging machine neither sends heartbeats nor carries anything out. */
  hanging = false;
  /** Its heartbeats arrive, but no answer, probe or command gets to it. */
  deaf = false;
  /** Direct commands are held up on their way, while heartbeats, answers and probes pass. */
  holdsCommands = false;
  /** It reaches no controller, while direct commands and questions reach it. */
  cutOff = false;
  /** Between the controllers and it; null: it is asked directly. */
  private link: Link | null = null;
  /** All heartbeats that it has sent. */
  readonly sentHeartbeats: string[] = [];
  /** The newest direct commands that it has carried out and answered. */
  private readonly answered: CommandBody[] = [];
  /** Answers to heartbeats that it had to drop: a command with a higher fencing token came before them. */
  droppedAnswers = 0;
  private readonly server = new HttpServer((r) => this.serve(r), options);
  address = '';

  constructor(
    readonly name: string,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
    private readonly nodes: () => Map<string, string>,
    private readonly fleet: CloudStandIn,
  ) {
    const describe = (): string => this.address;
    const description = {
      ...{ name, type, zone, spot },
      get address(): string {
        return describe();
      },
    };
    this.model = new WorkerModel(description, {
      onStarted: (attempt) => {
        this.begin(attempt);
      },
      checkpointSeconds: ({ task }) => this.fleet.settings.checkpointSeconds?.(task) ?? 0,
      onCheckpoint: (attempt, seconds) => {
        this.save(attempt, seconds);
      },
      onTerminated: (attempt) => {
        this.fleet.recordTermination(attempt.task, this.name);
      },
    });
  }

  async start(): Promise<void> {
    const own = `127.0.0.1:${await this.server.listen({ host: '127.0.0.1', port: 0 })}`;
    this.link = this.fleet.settings.isLinked === true ? new Link(() => own) : null;
    this.address = (await this.link?.listen()) ?? own;
    this.renewLease(performance.now());
    void this.loop();
  }

  /**
   * Its way in is cut: what is sent on open connections is held and delivered at the end, no new connection comes up. Its
   * own heartbeats and their answers pass.
   */
  set cutIn(isCut: boolean) {
    this.link?.set({ holdsForward: isCut });
    if (isCut) this.link?.refuseNew();
    else void this.link?.acceptNew();
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.leaseTimer);
    this.link?.close();
    this.server.close();
    this.endSession();
  }

  get tasks(): string[] {
    return this.model.running.map(({ task }) => task);
  }

  /** The cloud gives notice, and takes the machine after so many seconds. */
  givePreemptionNotice(seconds: number): void {
    const goneAt = performance.now() + seconds * 1000;
    this.model.warning = () => Math.max(0, (goneAt - performance.now()) / 1000);
    setTimeout(() => {
      this.fleet.reclaim(this);
    }, seconds * 1000).unref();
  }

  /** A task on it fails. */
  failTask(task: string): void {
    const attempt = this.model.running.find((held) => held.task === task);
    if (attempt === undefined) return;
    clearTimeout(this.ends.get(attempt));
    this.model.terminate(attempt, 'error');
  }

  /** Why it refuses all starts, as PROTOCOL names the cause; null: it refuses none. */
  set refusalCause(cause: string | null) {
    this.model.refusalCause = cause;
  }

  /** Whether it still reports an attempt, in whatever state. */
  reportsAttempt(task: string, attemptNumber: number): boolean {
    return this.model.find(task, attemptNumber) !== undefined;
  }

  /** Copies of the answered commands that carried this start arrive; the statuses that they get. */
  deliverDuplicateStarts(task: string, attemptNumber: number): number[] {
    const hasStart = ({ Orders }: CommandBody): boolean =>
      Orders.some(({ Verb, Piece, Try }) => {
        return Verb === 'start' && Piece === task && Try === attemptNumber;
      });
    return this.answered.filter(hasStart).map((body) => this.model.handleCommand(body).status);
  }

  /** The highest fencing token that it has seen. */
  get highestFencingToken(): number {
    return this.model.highestFencingToken;
  }

  private begin(attempt: WorkerAttempt): void {
    const { task } = attempt;
    this.fleet.recordStart(task, this.name);
    const seconds = this.fleet.settings.taskRunSeconds(task);
    if (!Number.isFinite(seconds)) return;
    const finish = (): void => {
      this.ends.delete(attempt);
      if (attempt.state === 'running') this.fleet.taskObserver?.onTaskCompleted?.(task);
      this.model.terminate(attempt, 'done');
    };
    this.ends.set(attempt, setTimeout(finish, seconds * 1000));
  }

  private save(attempt: WorkerAttempt, seconds: number): void {
    clearTimeout(this.ends.get(attempt));
    const finish = (): void => {
      this.ends.delete(attempt);
      this.model.terminate(attempt, 'halted');
    };
    this.ends.set(attempt, setTimeout(finish, seconds * 1000));
  }

  private async serve(request: HttpMessage): Promise<Reply> {
    const isHeld = (): boolean =>
      this.hanging || this.deaf || (this.holdsCommands && request.target !== '/inspect');
    while (isHeld() && !this.stopped) await new Promise((r) => setTimeout(r, 20));
    // A machine that was released meanwhile is gone: what was held back for it is carried out nowhere. A
    // command that was let through by the release started its task beside the next machine's.
    if (this.stopped) return new Promise(() => undefined);
    if (request.target === '/inspect') return { status: 200, body: this.model.heartbeat() };
    const body = JSON.parse(request.body) as CommandBody;
    const faults = this.fleet.messageFaults;
    const carryOutLate = (): void => {
      if (!this.stopped && !this.hanging) this.model.handleCommand(body);
    };
    if (faults === null || faults.random() >= faults.delayedCommandShare) {
      this.answered.push(body);
      if (this.answered.length > MOST_KEPT) this.answered.shift();
      maybeDeliverDuplicate(this.fleet.duplication, carryOutLate);
      return this.model.handleCommand(body);
    }
    setTimeout(carryOutLate, faults.delay() * 1000).unref();
    return new Promise(() => undefined);
  }

  /**
   * The lease counts from when the answered heartbeat was sent and ends at its moment, also while a heartbeat is on
   * its way: a check between two heartbeats came up to a second late, and the new leader was blamed for that.
   */
  private renewLease(sent: number): void {
    clearTimeout(this.leaseTimer);
    const left = sent + this.fleet.settings.workerLease * 1000 - performance.now();
    this.leaseTimer = setTimeout(() => {
      this.endSession();
      this.renewLease(performance.now());
    }, left);
  }

  private endSession(): void {
    for (const timer of this.ends.values()) clearTimeout(timer);
    this.ends.clear();
    this.model.expireLease();
  }

  private async loop(): Promise<void> {
    const http = new HttpClient(10, 1);
    const { heartbeatInterval: report } = this.fleet.settings;
    while (!this.stopped) {
      if (!this.hanging && !this.cutOff) await this.tell(http);
      await new Promise((r) => setTimeout(r, report * 1000));
    }
  }

  private async tell(http: HttpClient): Promise<void> {
    const nodes = [...this.nodes()];
    const [, address] = nodes[this.node % nodes.length] ?? ['', ''];
    const sent = performance.now();
    const { agentEpoch: session } = this.model;
    try {
      const report = this.model.heartbeat();
      this.sentHeartbeats.push(JSON.stringify(report));
      this.copyLater(http, address, report);
      const { heartbeatInterval: reportTime } = this.fleet.settings;
      const patience = Math.max(1, reportTime);
      const answer = await http.call(address, 'POST', '/hello', report, patience);
      if (this.deaf) throw new Error('no answer came');
      const body = answer.body as { Baton?: number; Orders?: WorkerCommand[]; Foreman?: string };
      if (answer.status === 200 && (body.Baton ?? 0) < this.model.highestFencingToken)
        this.droppedAnswers++;
      if (
        answer.status === 200 &&
        body.Baton !== undefined &&
        body.Baton >= this.model.highestFencingToken
      ) {
        if (this.hanging || this.stopped || session !== this.model.agentEpoch) return;
        this.renewLease(sent);
        this.model.handleAnswer(session, body);
        return;
      }
      const named = nodes.findIndex(([label]) => label === body.Foreman);
      this.node = named >= 0 ? named : this.node + 1;
    } catch {
      this.node++;
    }
  }

  /** A copy of a heartbeat arrives again, perhaps at the next leader. */
  private copyLater(http: HttpClient, address: string, report: unknown): void {
    const faults = this.fleet.messageFaults;
    if (faults === null || faults.random() >= faults.duplicatedHeartbeatShare) return;
    const nodes = [...this.nodes().values()];
    const at = faults.random() < 0.5 ? address : nodes[Math.floor(faults.random() * nodes.length)];
    if (at === undefined) return;
    setTimeout(() => {
      if (!this.stopped) http.call(at, 'POST', '/hello', report, 1).catch(() => undefined);
    }, faults.delay() * 1000).unref();
  }
}

export interface TaskObserver {
  onTaskStarted(task: string, machine: string): void;
  /** It has run to its end. */
  onTaskCompleted?(task: string): void;
  onTaskTerminated(task: string, machine: string): void;
}

export class CloudStandIn {
  readonly workers = new Map<string, WorkerStandIn>();
  /** task -> machines that run it now; more than one is a broken rule. */
  private readonly running = new Map<string, Set<string>>();
  readonly startedTasks: string[] = [];
  /** The zone of the machine, for each of them. */
  readonly startZones: (string | undefined)[] = [];
  readonly concurrentStarts: string[] = [];
  readonly releasedMachines: string[] = [];
  private next = 1;
  private readonly asks = new Map<string, string[]>();
  private readonly server = new HttpServer((r) => this.answer(r), options);
  capacity = Infinity;
  /** What the network does to messages of and to all workers; null: nothing. */
  messageFaults: MessageFaults | null = null;
  /** Copies of answered commands, rentals and releases; null: there are none. */
  duplication: MessageDuplication | null = null;
  /** Requests for which this says yes are carried out, and their answers get lost. */
  losesAnswer: ((path: string) => boolean) | null = null;

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
  taskObserver: TaskObserver | null = null;

  recordStart(task: string, machine: string): void {
    this.taskObserver?.onTaskStarted(task, machine);
    this.startedTasks.push(task);
    this.startZones.push(this.workers.get(machine)?.zone);
    const on = this.running.get(task) ?? new Set();
    this.running.set(task, on);
    if (on.size > 0 && !on.has(machine)) this.concurrentStarts.push(task);
    on.add(machine);
  }

  recordTermination(task: string, machine: string): void {
    this.taskObserver?.onTaskTerminated(task, machine);
    this.running.get(task)?.delete(machine);
  }

  /** The machine loses its power, and is listed no more. */
  reclaim(worker: WorkerStandIn): void {
    worker.stop();
    this.workers.delete(worker.name);
  }

  async launch(type: string, zone: string, spot: boolean): Promise<string> {
    const name = `n-${String(this.next++).padStart(6, '0')}`;
    const worker = new WorkerStandIn(name, type, zone, spot, this.nodes, this);
    this.workers.set(name, worker);
    await worker.start();
    return name;
  }

  private async answer(request: HttpMessage): Promise<Reply> {
    const reply = await this.carryOut(request);
    if (request.method === 'POST')
      maybeDeliverDuplicate(this.duplication, () => this.carryOut(request));
    if (this.losesAnswer?.(`${request.method} ${request.target.split('?')[0] ?? ''}`) !== true)
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
          names.push(await this.launch(ask.Flavour, ask.Yard, ask.Loaners));
        }
        if (names.length === 0) return { status: 503, body: { error: 'no capacity' } };
        this.asks.set(ask.Ask, names);
      }
      return { status: 200, body: { Drones: names } };
    }
    const { Drones } = JSON.parse(request.body) as { Drones: string[] };
    for (const name of Drones) {
      this.releasedMachines.push(name);
      this.workers.get(name)?.stop();
      this.workers.delete(name);
    }
    return { status: 200, body: {} };
  }
}
