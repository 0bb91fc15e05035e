/** Stand-ins for the cloud and its workers, served over HTTP. */
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
  /** Seconds between two heartbeats of a worker. */
  heartbeatInterval: number;
  /** Lease of the workers in seconds. */
  workerLease: number;
  /** Seconds that a task runs; Infinity for tasks of services, which run until they are stopped. */
  taskRunSeconds: (task: string) => number;
  /** Seconds that a stopped task takes to save its checkpoint; without it, tasks save none. */
  checkpointSeconds?: (task: string) => number;
  /** Whether requests to workers pass through links that can be cut. */
  isLinked?: boolean;
}

/** Answered commands that a worker stand-in keeps so that duplicates can be delivered. */
const MAX_KEPT_COMMANDS = 200;

const SERVER_OPTIONS = {
  bodyLimit: 1 << 20,
  maxConnections: 500,
  maxInFlight: 500,
  requestTimeout: 60,
  idleTimeout: 60,
};

/** Faults of the network between workers and controllers, drawn for each message independently. */
export interface MessageFaults {
  /** Share of the direct commands that get no answer and are executed once, after `delay`. */
  delayedCommandShare: number;
  /** Share of the heartbeats of which a duplicate is delivered after `delay`. */
  duplicatedHeartbeatShare: number;
  /** Returns a random delay in seconds. */
  delay: () => number;
  random: () => number;
}

export class WorkerStandIn {
  private readonly model: WorkerModel;
  private leaseTimer: NodeJS.Timeout | undefined;
  /** Timers of the moments at which attempts terminate. */
  private readonly endTimers = new Map<WorkerAttempt, NodeJS.Timeout>();
  /** Index of the controller that gets the next heartbeat. */
  private nodeIndex = 0;
  private isStopped = false;
  /** A hanging machine neither sends heartbeats nor executes commands. */
  hanging = false;
  /** Its heartbeats are received, but no answer, probe or command reaches it. */
  deaf = false;
  /** Direct commands are delayed until the flag is reset, while heartbeats, answers and probes pass. */
  holdsCommands = false;
  /** It sends no heartbeats, while direct commands and probes reach it. */
  cutOff = false;
  /** Carries requests of controllers to it; null: they connect directly. */
  private link: Link | null = null;
  /** All heartbeats that it has sent, as JSON. */
  readonly sentHeartbeats: string[] = [];
  /** The latest direct commands that it has executed and answered. */
  private readonly answeredCommands: CommandBody[] = [];
  /** Counts answers to heartbeats that it dropped because a command with a higher fencing token was received before them. */
  droppedAnswers = 0;
  private readonly server = new HttpServer((r) => this.answerRequest(r), SERVER_OPTIONS);
  address = '';

  constructor(
    readonly name: string,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
    private readonly nodes: () => Map<string, string>,
    private readonly cloud: CloudStandIn,
  ) {
    const currentAddress = (): string => this.address;
    const description = {
      ...{ name, type, zone, spot },
      get address(): string {
        return currentAddress();
      },
    };
    this.model = new WorkerModel(description, {
      onStarted: (attempt) => {
        this.runTask(attempt);
      },
      checkpointSeconds: ({ task }) => this.cloud.settings.checkpointSeconds?.(task) ?? 0,
      onCheckpoint: (attempt, seconds) => {
        this.saveCheckpoint(attempt, seconds);
      },
      onTerminated: (attempt) => {
        this.cloud.recordTermination(attempt.task, this.name);
      },
    });
  }

  async start(): Promise<void> {
    const ownAddress = `127.0.0.1:${await this.server.listen({ host: '127.0.0.1', port: 0 })}`;
    this.link = this.cloud.settings.isLinked === true ? new Link(() => ownAddress) : null;
    this.address = (await this.link?.listen()) ?? ownAddress;
    this.renewLease(performance.now());
    void this.sendHeartbeats();
  }

  /**
   * Cuts inbound connections: bytes on open ones are held and delivered once the cut ends, and new ones are refused. The
   * worker's own heartbeats and their answers pass.
   */
  set cutIn(isCut: boolean) {
    this.link?.set({ holdsForward: isCut });
    if (isCut) this.link?.refuseNew();
    else void this.link?.acceptNew();
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.leaseTimer);
    this.link?.close();
    this.server.close();
    this.terminateAll();
  }

  get tasks(): string[] {
    return this.model.running.map(({ task }) => task);
  }

  /** The cloud announces the preemption of the machine, and reclaims it after that many seconds. */
  givePreemptionNotice(seconds: number): void {
    const reclaimedAt = performance.now() + seconds * 1000;
    this.model.warning = () => Math.max(0, (reclaimedAt - performance.now()) / 1000);
    setTimeout(() => {
      this.cloud.reclaim(this);
    }, seconds * 1000).unref();
  }

  /** Makes a running task fail. */
  failTask(task: string): void {
    const attempt = this.model.running.find((held) => held.task === task);
    if (attempt === undefined) return;
    clearTimeout(this.endTimers.get(attempt));
    this.model.terminate(attempt, 'error');
  }

  /** Makes it refuse all starts with this cause of PROTOCOL; null: it refuses none. */
  set refusalCause(cause: string | null) {
    this.model.refusalCause = cause;
  }

  /** Whether its heartbeats still list an attempt, in any state. */
  reportsAttempt(task: string, attemptNumber: number): boolean {
    return this.model.find(task, attemptNumber) !== undefined;
  }

  /** Delivers duplicates of the answered commands that carried this start; returns the status of each answer. */
  deliverDuplicateStarts(task: string, attemptNumber: number): number[] {
    const hasStart = ({ Orders }: CommandBody): boolean =>
      Orders.some(({ Verb, Piece, Try }) => {
        return Verb === 'start' && Piece === task && Try === attemptNumber;
      });
    return this.answeredCommands
      .filter(hasStart)
      .map((body) => this.model.handleCommand(body).status);
  }

  get highestFencingToken(): number {
    return this.model.highestFencingToken;
  }

  private runTask(attempt: WorkerAttempt): void {
    const { task } = attempt;
    this.cloud.recordStart(task, this.name);
    const seconds = this.cloud.settings.taskRunSeconds(task);
    if (!Number.isFinite(seconds)) return;
    const finish = (): void => {
      this.endTimers.delete(attempt);
      if (attempt.state === 'running') this.cloud.taskObserver?.onTaskCompleted?.(task);
      this.model.terminate(attempt, 'done');
    };
    this.endTimers.set(attempt, setTimeout(finish, seconds * 1000));
  }

  private saveCheckpoint(attempt: WorkerAttempt, seconds: number): void {
    clearTimeout(this.endTimers.get(attempt));
    const finish = (): void => {
      this.endTimers.delete(attempt);
      this.model.terminate(attempt, 'halted');
    };
    this.endTimers.set(attempt, setTimeout(finish, seconds * 1000));
  }

  private async answerRequest(request: HttpMessage): Promise<Reply> {
    const isHeld = (): boolean =>
      this.hanging || this.deaf || (this.holdsCommands && request.target !== '/inspect');
    while (isHeld() && !this.isStopped) await new Promise((r) => setTimeout(r, 20));
    // A machine that was released meanwhile executes none of its held commands: a start that the release let through would run
    // its task beside the attempt on the next machine.
    if (this.isStopped) return new Promise(() => undefined);
    if (request.target === '/inspect') return { status: 200, body: this.model.heartbeat() };
    const body = JSON.parse(request.body) as CommandBody;
    const faults = this.cloud.messageFaults;
    const executeLate = (): void => {
      if (!this.isStopped && !this.hanging) this.model.handleCommand(body);
    };
    if (faults === null || faults.random() >= faults.delayedCommandShare) {
      this.answeredCommands.push(body);
      if (this.answeredCommands.length > MAX_KEPT_COMMANDS) this.answeredCommands.shift();
      maybeDeliverDuplicate(this.cloud.duplication, executeLate);
      return this.model.handleCommand(body);
    }
    setTimeout(executeLate, faults.delay() * 1000).unref();
    return new Promise(() => undefined);
  }

  /**
   * The lease lasts from the sending of the answered heartbeat. A timer ends it exactly, also while a heartbeat is in flight: a
   * check between two heartbeats ended it up to a second late, and its tasks overlapped with those that the new leader started.
   */
  private renewLease(sentAt: number): void {
    clearTimeout(this.leaseTimer);
    const remaining = sentAt + this.cloud.settings.workerLease * 1000 - performance.now();
    this.leaseTimer = setTimeout(() => {
      this.terminateAll();
      this.renewLease(performance.now());
    }, remaining);
  }

  private terminateAll(): void {
    for (const timer of this.endTimers.values()) clearTimeout(timer);
    this.endTimers.clear();
    this.model.expireLease();
  }

  private async sendHeartbeats(): Promise<void> {
    const http = new HttpClient(10, 1);
    const { heartbeatInterval } = this.cloud.settings;
    while (!this.isStopped) {
      if (!this.hanging && !this.cutOff) await this.sendHeartbeat(http);
      await new Promise((r) => setTimeout(r, heartbeatInterval * 1000));
    }
  }

  private async sendHeartbeat(http: HttpClient): Promise<void> {
    const nodes = [...this.nodes()];
    const [, address] = nodes[this.nodeIndex % nodes.length] ?? ['', ''];
    const sentAt = performance.now();
    const { agentEpoch } = this.model;
    try {
      const heartbeat = this.model.heartbeat();
      this.sentHeartbeats.push(JSON.stringify(heartbeat));
      this.maybeDuplicate(http, address, heartbeat);
      const { heartbeatInterval } = this.cloud.settings;
      const timeout = Math.max(1, heartbeatInterval);
      const answer = await http.call(address, 'POST', '/hello', heartbeat, timeout);
      if (this.deaf) throw new Error('no answer came');
      const body = answer.body as { Baton?: number; Orders?: WorkerCommand[]; Foreman?: string };
      if (answer.status === 200 && (body.Baton ?? 0) < this.model.highestFencingToken)
        this.droppedAnswers++;
      if (
        answer.status === 200 &&
        body.Baton !== undefined &&
        body.Baton >= this.model.highestFencingToken
      ) {
        if (this.hanging || this.isStopped || agentEpoch !== this.model.agentEpoch) return;
        this.renewLease(sentAt);
        this.model.handleAnswer(agentEpoch, body);
        return;
      }
      const leaderIndex = nodes.findIndex(([label]) => label === body.Foreman);
      this.nodeIndex = leaderIndex >= 0 ? leaderIndex : this.nodeIndex + 1;
    } catch {
      this.nodeIndex++;
    }
  }

  /** May deliver a duplicate of a heartbeat later, to the same or to any other controller. */
  private maybeDuplicate(http: HttpClient, address: string, heartbeat: unknown): void {
    const faults = this.cloud.messageFaults;
    if (faults === null || faults.random() >= faults.duplicatedHeartbeatShare) return;
    const nodes = [...this.nodes().values()];
    const target =
      faults.random() < 0.5 ? address : nodes[Math.floor(faults.random() * nodes.length)];
    if (target === undefined) return;
    setTimeout(() => {
      if (!this.isStopped) http.call(target, 'POST', '/hello', heartbeat, 1).catch(() => undefined);
    }, faults.delay() * 1000).unref();
  }
}

/** Observes the tasks of all workers. */
export interface TaskObserver {
  onTaskStarted(task: string, machine: string): void;
  /** The task has completed its work; its termination on the machine is observed separately. */
  onTaskCompleted?(task: string): void;
  onTaskTerminated(task: string, machine: string): void;
}

export class CloudStandIn {
  readonly workers = new Map<string, WorkerStandIn>();
  /** Machines that run a task at present, by task; more than one violates the protocol. */
  private readonly machinesByTask = new Map<string, Set<string>>();
  /** The task of each start, in order. */
  readonly startedTasks: string[] = [];
  /** Zones of the machines of these starts. */
  readonly startZones: (string | undefined)[] = [];
  /** Tasks that were started on a machine while they ran on another one. */
  readonly concurrentStarts: string[] = [];
  readonly releasedMachines: string[] = [];
  private nextMachine = 1;
  /** Machines launched for each rental request, by request id: a repeated request gets the same ones. */
  private readonly launchedByRequest = new Map<string, string[]>();
  private readonly server = new HttpServer((r) => this.answer(r), SERVER_OPTIONS);
  /** No machine is launched beyond this number. */
  capacity = Infinity;
  /** Faults of messages from and to all workers; null: none. */
  messageFaults: MessageFaults | null = null;
  /** Delivers duplicates of answered commands, rentals and releases; null: none. */
  duplication: MessageDuplication | null = null;
  /** Requests, as `METHOD path`, that are executed but whose answers are lost; null: none. */
  losesAnswer: ((request: string) => boolean) | null = null;

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

  /** Observes every task that starts or terminates. */
  taskObserver: TaskObserver | null = null;

  recordStart(task: string, machine: string): void {
    this.taskObserver?.onTaskStarted(task, machine);
    this.startedTasks.push(task);
    this.startZones.push(this.workers.get(machine)?.zone);
    const machines = this.machinesByTask.get(task) ?? new Set();
    this.machinesByTask.set(task, machines);
    if (machines.size > 0 && !machines.has(machine)) this.concurrentStarts.push(task);
    machines.add(machine);
  }

  recordTermination(task: string, machine: string): void {
    this.taskObserver?.onTaskTerminated(task, machine);
    this.machinesByTask.get(task)?.delete(machine);
  }

  /** Ends the machine, and removes it from the list of rentals. */
  reclaim(worker: WorkerStandIn): void {
    worker.stop();
    this.workers.delete(worker.name);
  }

  async launch(type: string, zone: string, spot: boolean): Promise<string> {
    const name = `n-${String(this.nextMachine++).padStart(6, '0')}`;
    const worker = new WorkerStandIn(name, type, zone, spot, this.nodes, this);
    this.workers.set(name, worker);
    await worker.start();
    return name;
  }

  private async answer(request: HttpMessage): Promise<Reply> {
    const reply = await this.execute(request);
    if (request.method === 'POST')
      maybeDeliverDuplicate(this.duplication, () => this.execute(request));
    if (this.losesAnswer?.(`${request.method} ${request.target.split('?')[0] ?? ''}`) !== true)
      return reply;
    return new Promise(() => undefined);
  }

  private async execute(request: HttpMessage): Promise<Reply> {
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
      const rental = JSON.parse(request.body) as {
        Ask: string;
        Flavour: string;
        Yard: string;
        Loaners: boolean;
        Number: number;
      };
      let names = this.launchedByRequest.get(rental.Ask);
      if (names === undefined) {
        names = [];
        for (let i = 0; i < rental.Number && this.workers.size < this.capacity; i++) {
          names.push(await this.launch(rental.Flavour, rental.Yard, rental.Loaners));
        }
        if (names.length === 0) return { status: 503, body: { error: 'no capacity' } };
        this.launchedByRequest.set(rental.Ask, names);
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
