/**
 * A part and its orders on a clock of its own, with workers that follow PROTOCOL behind a network that a test scripts:
 * commands arrive, are held and arrive late, or are never sent. It tells which tasks were on two machines at once.
 */
import { commandsForAnswer } from '../../src/coordination/model/dueCommands.js';
import { AuditTrail } from '../../src/coordination/audit/auditTrail.js';
import type { Chunk } from '../../src/coordination/model/chunk.js';
import type { Machine } from '../../src/coordination/model/machine.js';
import {
  CommandDispatcher,
  type CommandDispatcherContext,
} from '../../src/coordination/commands/commandDispatcher.js';
import type { Leadership } from '../../src/coordination/leadership/shardLeadership.js';
import { createOwnedShard, type OwnedShard } from '../../src/coordination/leadership/ownedShard.js';
import { heartbeatAnswer, parseHeartbeat } from '../../src/protocol/workerProtocol.js';
import { HttpCallError, type Response } from '../../src/transport/httpClient.js';
import { TurnQueue } from '../../src/transport/turnQueue.js';
import { ShardFixture, FENCING_TOKEN } from './shardFixture.js';
import { WorkerModel, type CommandBody, type ReportOrder } from './workerModel.js';

/** What becomes of the next command: it arrives; it is held, and its sender gives up; or it never leaves. */
export type DeliveryOutcome = 'arrives' | 'held' | 'no socket' | 'connection refused';

const REPORT_S = 3;

export class CommandHarness {
  readonly fixture = new ShardFixture();
  readonly ownedShard: OwnedShard;
  readonly dispatcher: CommandDispatcher;
  /** Tasks that were started on a machine while they were on another. */
  readonly concurrentStarts: string[] = [];
  /** What asking for a higher token gives, one time after the other; after that it can't be had. */
  readonly tokenAdvanceResults: (Leadership | null)[] = [];
  /** What becomes of the commands to come, one after the other; after that all arrive. */
  readonly deliveryOutcomes: DeliveryOutcome[] = [];
  /** Whether this node may start work. */
  mayAct = true;
  private readonly workers = new Map<string, WorkerModel>();
  private readonly held: (() => void)[] = [];
  /** Commands that were carried out and answered, in their order. */
  private readonly answered: (() => number)[] = [];
  private readonly machinesOf = new Map<string, Set<string>>();

  constructor() {
    const { fixture: bench } = this;
    this.ownedShard = createOwnedShard(
      bench.shard,
      { fencingToken: FENCING_TOKEN, revision: 1 },
      bench.now,
    );
    const node: CommandDispatcherContext = {
      settings: { heartbeatInterval: REPORT_S, cores: 1, maxSockets: 100 },
      clock: { now: () => bench.now },
      links: { machines: { call: (...request) => this.call(request[0], request[3]) } },
      leadership: {
        isLeaseValid: true,
        leaseExpiresAt: Infinity,
        advanceFencingToken: () => Promise.resolve(this.tokenAdvanceResults.shift() ?? null),
      },
      authority: { mayAct: () => this.mayAct, mayStopCancelledTasks: () => true },
      audit: new AuditTrail('drone-0', () => bench.now),
      ownedShards: new Map([['p', this.ownedShard]]),
      requestSchedulingRound: () => undefined,
    };
    const turns = new TurnQueue({ urgent: 4, ordinary: 0 }, (turn) => {
      turn();
    });
    this.dispatcher = new CommandDispatcher(node, turns);
  }

  /** A machine that has reported. */
  addMachine(name: string, reportOrder: ReportOrder = 'oldest first'): Machine {
    const record = { shard: 'p', type: 'm8', zone: 'a', spot: false, launchedAt: 0, address: name };
    const machine = this.fixture.shard.addMachine(name, record, this.fixture.now);
    const description = { name, address: name, type: 'm8', zone: 'a', spot: false };
    const observer = {
      onStarted: ({ task }: { task: string }) => {
        this.noteStarted(task, name);
      },
      onTerminated: ({ task }: { task: string }) => {
        this.machinesOf.get(task)?.delete(name);
      },
    };
    this.workers.set(name, new WorkerModel(description, observer, Infinity, reportOrder));
    this.sendHeartbeat(machine);
    return machine;
  }

  worker(machine: Machine): WorkerModel {
    const worker = this.workers.get(machine.name);
    if (worker === undefined) throw new Error(`no worker ${machine.name}`);
    return worker;
  }

  /** Its worker reports; the answer carries no orders. */
  sendHeartbeat(machine: Machine): void {
    const report = parseHeartbeat(this.worker(machine).heartbeat());
    if (report === null) throw new Error('malformed report');
    this.fixture.shard.heartbeats.apply(machine, report, this.fixture.now, 'follow-up');
    machine.leaseRenewedAt = this.fixture.now;
  }

  /** Its worker reports, a report's time later, and gets what is due with the answer. */
  sendHeartbeatForCommands(machine: Machine): void {
    this.fixture.now += REPORT_S;
    this.sendHeartbeat(machine);
    const worker = this.worker(machine);
    const due = commandsForAnswer(machine, this.fixture.now, REPORT_S * 1.5, REPORT_S);
    const seenToken = machine.highestFencingToken;
    const { fencingTokens: tokens } = this.ownedShard.shard;
    const message = machine.commandTokens.assignToken(due, tokens, { seenToken, mayRaise: true });
    worker.handleAnswer(worker.agentEpoch, heartbeatAnswer(message.token, message.commands));
  }

  /** Places what waits, and stores it. */
  placeAndStore(chunk: Chunk): void {
    this.fixture.runSchedulingRound();
    this.fixture.markStored(chunk);
  }

  /** Sends what is due to a machine and waits for what becomes of it. */
  async sendCommands(machine: Machine): Promise<void> {
    this.fixture.now += REPORT_S / 6;
    this.fixture.shard.machinesWithDueCommands.add(machine);
    this.dispatcher.send();
    for (let turn = 0; turn < 4; turn++) await new Promise((resolve) => setImmediate(resolve));
  }

  /** Commands that were held arrive, in their order. */
  deliverHeldCommands(): void {
    for (const deliver of this.held.splice(0)) deliver();
  }

  /** A copy of each answered command arrives; the statuses that they get. */
  deliverDuplicates(): number[] {
    return this.answered.splice(0).map((deliver) => deliver());
  }

  private call(endpoint: string, body: unknown): Promise<Response> {
    const worker = this.workers.get(endpoint);
    if (worker === undefined) return Promise.reject(new HttpCallError('no such machine', true));
    // What travels is what was sent, whatever becomes of its parts later.
    const sent = JSON.parse(JSON.stringify(body)) as CommandBody;
    switch (this.deliveryOutcomes.shift() ?? 'arrives') {
      case 'arrives':
        this.answered.push(() => worker.handleCommand(sent).status);
        return Promise.resolve({ ...worker.handleCommand(sent), retryAfter: null });
      case 'held':
        this.held.push(() => {
          worker.handleCommand(sent);
        });
        return Promise.reject(new HttpCallError('timed out', false));
      case 'no socket':
        return Promise.reject(new HttpCallError('too many open connections', true, true));
      case 'connection refused':
        return Promise.reject(new HttpCallError('connect ECONNREFUSED', true));
    }
  }

  private noteStarted(task: string, machine: string): void {
    const on = this.machinesOf.get(task) ?? new Set<string>();
    this.machinesOf.set(task, on);
    if (on.size > 0) this.concurrentStarts.push(`${task} on ${[...on].join(' ')} and ${machine}`);
    on.add(machine);
  }
}
