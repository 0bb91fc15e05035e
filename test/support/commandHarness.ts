/**
 * A shard with its command dispatcher on a simulated clock, and workers that follow PROTOCOL behind a scripted network:
 * commands are delivered, delayed beyond their sender's timeout, or never sent. It records tasks that ran on two machines at
 * once.
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

/** Fate of a command: it is delivered; it is held until `deliverHeldCommands` while its sender times out; or it is never sent. */
export type DeliveryOutcome = 'arrives' | 'held' | 'no socket' | 'connection refused';

const HEARTBEAT_INTERVAL_S = 3;

/** Maximum bytes of a request's body (PROTOCOL). */
const MAX_BODY_BYTES = 64 * 1024;

export class CommandHarness {
  readonly fixture = new ShardFixture();
  readonly ownedShard: OwnedShard;
  readonly dispatcher: CommandDispatcher;
  /** Tasks that were started on a machine while they ran on another one. */
  readonly concurrentStarts: string[] = [];
  /** Results of successive attempts to advance the fencing token; once they are used up, advancing fails. */
  readonly tokenAdvanceResults: (Leadership | null)[] = [];
  /** Fates of the next commands, in order; once they are used up, all commands are delivered. */
  readonly deliveryOutcomes: DeliveryOutcome[] = [];
  /** Whether this node may start tasks. */
  mayAct = true;
  /** Number of commands that workers refused since their message was too large. */
  refusedForSize = 0;
  /** Bytes of each answer to a heartbeat. */
  readonly answerBytes: number[] = [];
  private readonly workers = new Map<string, WorkerModel>();
  /** Callbacks that deliver the held commands, in order. */
  private readonly heldDeliveries: (() => void)[] = [];
  /** Callbacks that deliver a duplicate of each command that was executed and answered, in order. */
  private readonly duplicateDeliveries: (() => number)[] = [];
  private readonly machinesByTask = new Map<string, Set<string>>();

  constructor() {
    const { fixture: bench } = this;
    this.ownedShard = createOwnedShard(
      bench.shard,
      { fencingToken: FENCING_TOKEN, revision: 1 },
      bench.now,
    );
    const node: CommandDispatcherContext = {
      settings: { heartbeatInterval: HEARTBEAT_INTERVAL_S, cores: 1, maxSockets: 100 },
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

  /** Adds a machine whose worker has sent a heartbeat. */
  addMachine(name: string, reportOrder: ReportOrder = 'oldest first'): Machine {
    const record = { shard: 'p', type: 'm8', zone: 'a', spot: false, launchedAt: 0, address: name };
    const machine = this.fixture.shard.addMachine(name, record, this.fixture.now);
    const description = { name, address: name, type: 'm8', zone: 'a', spot: false };
    const observer = {
      onStarted: ({ task }: { task: string }) => {
        this.recordStart(task, name);
      },
      onTerminated: ({ task }: { task: string }) => {
        this.machinesByTask.get(task)?.delete(name);
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

  /** The machine's worker sends a heartbeat; the answer carries no commands. */
  sendHeartbeat(machine: Machine): void {
    const heartbeat = parseHeartbeat(this.worker(machine).heartbeat());
    if (heartbeat === null) throw new Error('malformed heartbeat');
    this.fixture.shard.heartbeats.apply(machine, heartbeat, this.fixture.now, 'follow-up');
    machine.leaseRenewedAt = this.fixture.now;
  }

  /** One heartbeat interval later, the worker sends a heartbeat and gets the due commands with the answer. */
  sendHeartbeatForCommands(machine: Machine): void {
    this.fixture.now += HEARTBEAT_INTERVAL_S;
    this.sendHeartbeat(machine);
    const worker = this.worker(machine);
    const due = commandsForAnswer(
      machine,
      this.fixture.now,
      HEARTBEAT_INTERVAL_S * 1.5,
      HEARTBEAT_INTERVAL_S,
    );
    const seenToken = machine.highestFencingToken;
    const { fencingTokens: tokens } = this.ownedShard.shard;
    const message = machine.commandTokens.assignToken(due, tokens, { seenToken, mayRaise: true });
    const answer = heartbeatAnswer(message.token, message.commands);
    this.answerBytes.push(Buffer.byteLength(JSON.stringify(answer)));
    worker.handleAnswer(worker.agentEpoch, answer);
  }

  /** Places waiting tasks, and marks the chunk as stored. */
  placeAndStore(chunk: Chunk): void {
    this.fixture.runSchedulingRound();
    this.fixture.markStored(chunk);
  }

  /** Sends the due commands of a machine and waits for the outcome. */
  async sendCommands(machine: Machine): Promise<void> {
    this.fixture.now += HEARTBEAT_INTERVAL_S / 6;
    this.fixture.shard.machinesWithDueCommands.add(machine);
    this.dispatcher.send();
    for (let turn = 0; turn < 4; turn++) await new Promise((resolve) => setImmediate(resolve));
  }

  /** Delivers the held commands, in order. */
  deliverHeldCommands(): void {
    for (const deliver of this.heldDeliveries.splice(0)) deliver();
  }

  /** Delivers a duplicate of each answered command; returns the status of each answer. */
  deliverDuplicates(): number[] {
    return this.duplicateDeliveries.splice(0).map((deliver) => deliver());
  }

  private call(endpoint: string, body: unknown): Promise<Response> {
    const worker = this.workers.get(endpoint);
    if (worker === undefined) return Promise.reject(new HttpCallError('no such machine', true));
    const text = JSON.stringify(body);
    if (Buffer.byteLength(text) > MAX_BODY_BYTES) {
      this.refusedForSize++;
      return Promise.resolve({ status: 413, body: null, retryAfter: null });
    }
    // A copy: the dispatcher may change its objects after the command was sent.
    const sent = JSON.parse(text) as CommandBody;
    switch (this.deliveryOutcomes.shift() ?? 'arrives') {
      case 'arrives':
        this.duplicateDeliveries.push(() => worker.handleCommand(sent).status);
        return Promise.resolve({ ...worker.handleCommand(sent), retryAfter: null });
      case 'held':
        this.heldDeliveries.push(() => {
          worker.handleCommand(sent);
        });
        return Promise.reject(new HttpCallError('timed out', false));
      case 'no socket':
        return Promise.reject(new HttpCallError('too many open connections', true, true));
      case 'connection refused':
        return Promise.reject(new HttpCallError('connect ECONNREFUSED', true));
    }
  }

  private recordStart(task: string, machine: string): void {
    const machines = this.machinesByTask.get(task) ?? new Set<string>();
    this.machinesByTask.set(task, machines);
    if (machines.size > 0)
      this.concurrentStarts.push(`${task} on ${[...machines].join(' ')} and ${machine}`);
    machines.add(machine);
  }
}
