/** What machines are told and asked: orders, questions to those that are silent, doubts settled. */
import { describe, log } from '../../base/log.js';
import {
  commandsRequest,
  parseHeartbeat,
  paths as workerPaths,
  type Command,
  type Heartbeat,
} from '../../protocol/workerProtocol.js';
import { TurnQueue } from '../../transport/turnQueue.js';
import { HttpCallError, type HttpClient } from '../../transport/httpClient.js';
import type { AuditTrail, CommandOutcome, CommandRoute } from '../audit/auditTrail.js';
import type { Authority } from '../leadership/authority.js';
import type { Chunk } from '../shard/chunk.js';
import { advanceFencingToken, type OwnedShard } from '../leadership/ownedShard.js';
import type { Machine } from '../shard/machine.js';
import type { ShardLeadership } from '../leadership/shardLeadership.js';
import type { Settings } from '../../protocol/settings.js';
import type { Clock } from '../../base/clock.js';

/** Machines that one core may ask in a second without noticing it. */
const PROBES_PER_CORE = 120;

/** How long an ended attempt whose start is in doubt stays in reports, as a ratio to the time between reports. */
const UNACKNOWLEDGED_END_INTERVALS = 4;

/** A round may have commands for hundreds of machines; sent at once they would keep reports waiting. */
const COMMANDS_PER_TURN = 4;

/** What is needed of a node. */
export interface CommandDispatcherContext {
  settings: Pick<Settings, 'report' | 'cores' | 'maxSockets'>;
  clock: Pick<Clock, 'now'>;
  links: { machines: Pick<HttpClient, 'call'> };
  ownership: Pick<ShardLeadership, 'valid' | 'raise' | 'until'>;
  authority: Pick<Authority, 'mayAct' | 'mayEnd'>;
  audit: AuditTrail;
  ownedParts: ReadonlyMap<string, OwnedShard>;
  requestRound(): void;
}

const formatCommands = (orders: Command[]): string =>
  orders.map(({ verb, task, attempt }) => `${verb} ${task}#${attempt}`).join(',');

/** Carried out (200), certainly not (409), or perhaps. */
function outcomeOf(status: number): CommandOutcome {
  if (status === 200) return 'executed';
  return status === 409 ? 'refused' : 'unanswered';
}

export class CommandDispatcher {
  /** Questions on their way to machines that have left one without an answer. */
  private toSilent = 0;

  constructor(
    private readonly node: CommandDispatcherContext,
    private readonly turns = new TurnQueue({ urgent: COMMANDS_PER_TURN, ordinary: 0 }),
  ) {}

  queueStarts(host: OwnedShard, chunks: Chunk[]): void {
    for (const chunk of chunks) {
      for (const entry of chunk.entries.values()) {
        if (entry.seen) continue;
        const machine = host.part.machines.get(entry.machine);
        if (machine !== undefined) host.part.pendingCommands.add(machine);
      }
    }
    this.send();
    this.node.requestRound();
  }

  send(): void {
    for (const host of this.node.ownedParts.values()) {
      for (const machine of host.part.pendingCommands) {
        if (machine.inFlight || machine.address === '') continue;
        host.part.pendingCommands.delete(machine);
        // Questions go on until it answers one; orders meanwhile would only hold sockets.
        if (machine.isUnresponsive || !this.isDue(host, machine)) continue;
        this.turns.add(() => {
          void this.command(host, machine);
        }, true);
      }
    }
  }

  /** Without a valid lease only the ends that users have asked for may be sent: those can't be wrong. */
  private isDue(host: OwnedShard, machine: Machine): boolean {
    if (!this.node.authority.mayEnd(host)) return false;
    if (!this.node.authority.mayAct(host)) return machine.endings().length > 0;
    return machine.needsCommand(this.node.clock.now(), this.node.settings.report * 1.5);
  }

  private async command(host: OwnedShard, machine: Machine): Promise<void> {
    if (machine.inFlight) {
      host.part.pendingCommands.add(machine);
      return;
    }
    const { report } = this.node.settings;
    if (!this.isDue(host, machine)) return;
    const orders: Command[] = this.node.authority.mayAct(host)
      ? machine.orders(true, this.node.clock.now(), report * 1.5)
      : machine.endings();
    const { token } = host;
    const started = orders.flatMap((o) => {
      const placed = o.verb === 'start' ? machine.entries.get(o.task) : undefined;
      return placed === undefined ? [] : [placed.entry];
    });
    // In doubt from now on: without an answer it may be carried out minutes later.
    for (const entry of started) entry.doubt.noteSent(token);
    this.noteSent(host, machine, orders, 'command');
    machine.inFlight = true;
    const { outcome, report: answered } = await this.exchange(host, machine, orders);
    machine.inFlight = false;
    for (const entry of started) entry.doubt.noteOutcome(token, outcome);
    this.noteOutcome(host, token, machine, orders, outcome);
    const now = this.node.clock.now();
    if (outcome === 'unanswered' && started.length > 0) machine.inDoubtSince ??= now;
    if (answered !== null && host.alive) {
      const told = host.part.reports.apply(machine, answered, now, 'answer');
      if (told === 'news') this.node.requestRound();
    }
    if (this.isDue(host, machine)) {
      setTimeout(
        () => {
          host.part.pendingCommands.add(machine);
          this.node.requestRound();
        },
        (report / 6) * 1000,
      );
    }
  }

  /** Sends orders; what became of them, and the report that came back. */
  private async exchange(
    host: OwnedShard,
    { address, session, name }: Machine,
    orders: Command[],
  ): Promise<{ outcome: CommandOutcome; report: Heartbeat | null }> {
    const { links, settings, authority } = this.node;
    const body = commandsRequest(host.token, session, orders);
    const startsWork = orders.some(({ verb }) => verb === 'start');
    const mayLeave = (): boolean => (startsWork ? authority.mayAct(host) : authority.mayEnd(host));
    const target = workerPaths.orders;
    try {
      const patience = settings.report / 2;
      const answer = await links.machines.call(
        ...[address, 'POST', target, body, patience, mayLeave],
      );
      return { outcome: outcomeOf(answer.status), report: parseHeartbeat(answer.body) };
    } catch (error) {
      log.debug(`orders to ${name}: ${describe(error)}`);
      const isUnsent = error instanceof HttpCallError && error.unsent;
      return { outcome: isUnsent ? 'unsent' : 'unanswered', report: null };
    }
  }

  /** Notes orders that are about to leave, and under which right. */
  noteSent(host: OwnedShard, machine: Machine, orders: Command[], route: CommandRoute): void {
    const { ownership, clock } = this.node;
    this.node.audit.note({
      event: 'orders-sent',
      part: host.part.label,
      token: host.token,
      machine: machine.name,
      session: machine.session,
      route,
      orders: formatCommands(orders),
      leaseLeft: ownership.until - clock.now(),
    });
  }

  private noteOutcome(
    host: OwnedShard,
    token: number,
    machine: Machine,
    orders: Command[],
    outcome: CommandOutcome,
  ): void {
    this.node.audit.note({
      event: 'orders-outcome',
      part: host.part.label,
      token,
      machine: machine.name,
      outcome,
      orders: formatCommands(orders),
    });
  }

  /** Asks a machine whose report is overdue: a hanging one is told from one that can't reach us. */
  async probe(host: OwnedShard, machine: Machine): Promise<void> {
    if (machine.probing || machine.address === '') return;
    const silent = machine.missed > 0;
    // A question to a silent machine holds its socket until its time is up. When a zone is cut off they
    // are hundreds, and those that answer still must be asked: half of the sockets are left for them.
    if (silent && this.toSilent >= this.node.settings.maxSockets / 12) return;
    machine.probing = true;
    const sent = this.node.clock.now();
    machine.askedAt = sent;
    if (silent) this.toSilent++;
    const { address } = machine;
    const timeout = this.node.settings.report / 3;
    try {
      const answer = await this.node.links.machines.call(
        address,
        'GET',
        workerPaths.inspect,
        undefined,
        timeout,
      );
      const report = parseHeartbeat(answer.body);
      if (report !== null && host.alive && machine.address === address) {
        machine.noteReached(this.node.clock.now());
        const told = host.part.reports.apply(machine, report, this.node.clock.now(), 'answer');
        if (told === 'news') this.node.requestRound();
      }
    } catch (error) {
      // Not asked for want of sockets: healthy machines would be taken for silent ones.
      if (!(error instanceof HttpCallError && error.local)) {
        machine.missed++;
        machine.missedSince ??= sent;
      }
    } finally {
      machine.probing = false;
      if (silent) this.toSilent--;
    }
    // Where time was lost with waiting, the second question goes at once, not with the next round.
    const waited = this.node.clock.now() - sent >= timeout / 2;
    if (waited && machine.missed === 1 && host.alive) void this.probe(host, machine);
  }

  sweep(): void {
    const now = this.node.clock.now();
    if (!this.node.ownership.valid) {
      this.queueEndings();
      return;
    }
    for (const host of this.node.ownedParts.values()) {
      host.part.liveness.sweep(now);
      if (log.getLevel() <= log.levels.DEBUG) log.debug(host.part.summary(now));
      this.settleDoubts(host, now);
      this.probeUnreached(host);
      this.probeOverdue(host, now);
    }
    this.node.requestRound();
  }

  /** Questions a second that this node can afford for each part: more would take the processor from users. */
  private get affordableProbes(): number {
    return (PROBES_PER_CORE * this.node.settings.cores) / this.node.ownedParts.size;
  }

  /**
   * Machines stored by an earlier owner are asked directly, since their workers may never come. After a
   * takeover they are hundreds: those with live services go first, and most of the others report meanwhile.
   */
  private probeUnreached(host: OwnedShard): void {
    const unreached: Machine[] = [];
    for (const machine of host.part.machines.values()) {
      if (machine.reached === null && machine.address !== '') unreached.push(machine);
    }
    unreached.sort((a, b) => a.askedAt - b.askedAt || b.live - a.live);
    const most = Math.ceil(this.affordableProbes * this.node.settings.report);
    for (const machine of unreached.slice(0, most)) void this.probe(host, machine);
  }

  /** Machines that were in reach and have said nothing for too long. */
  private probeOverdue(host: OwnedShard, now: number): void {
    const { report } = this.node.settings;
    const machines = [...host.part.machines.values()].filter((machine) => machine.up);
    // Those that were asked longest ago go first, since not all may get their turn.
    machines.sort((a, b) => a.askedAt - b.askedAt);
    const doubtful = [...host.part.machines.values()].some((machine) => machine.missed > 0);
    // Only those with live services are asked so often: in a large part they are the fewer.
    const live = machines.reduce((n, machine) => n + (machine.live > 0 ? 1 : 0), 0);
    const watchful = Math.min(1.3, Math.max(0.3, live / this.affordableProbes / report));
    for (const machine of machines) {
      if (machine.reached === null) continue;
      host.part.pendingCommands.add(machine);
      // Where live services run, silence is noticed within a second or two; elsewhere when a report
      // is overdue.
      // When one does not answer, all are asked: others that answer show that the fault is not ours.
      const patience = machine.live > 0 || doubtful ? watchful : 1.3;
      if (now - machine.reached > report * patience) void this.probe(host, machine);
    }
  }

  /** Without a valid lease: only what users have asked to cancel is seen to. */
  private queueEndings(): void {
    for (const { part } of this.node.ownedParts.values()) {
      for (const machine of part.machines.values()) {
        if (machine.endings().length > 0) part.pendingCommands.add(machine);
      }
    }
    this.send();
  }

  /**
   * A start stays in doubt until its worker has seen a higher token: get one when something has to wait for that. All
   * workers report a higher token at once, so a task that just runs, its start in doubt or not, is no reason for one.
   */
  private settleDoubts(host: OwnedShard, now: number): void {
    const { report } = this.node.settings;
    if (now - host.raisedAt < report) return;
    const stuck = [...host.part.machines.values()].filter((machine) => {
      const { inDoubtSince, reached } = machine;
      // One that our answers do not reach would not see the new token either.
      const isHeard = reached !== null && now - reached < report * 2;
      if (inDoubtSince === null || !isHeard || now - inDoubtSince <= report) return false;
      return machine.waitsForDoubt(now - report * UNACKNOWLEDGED_END_INTERVALS);
    });
    if (stuck.length === 0) return;
    host.raisedAt = now;
    void advanceFencingToken(this.node.ownership, host)
      .then((isRaised) => {
        if (!isRaised) return;
        for (const machine of stuck) machine.inDoubtSince = null;
      })
      .catch((error: unknown) => {
        log.debug(`raise: ${describe(error)}`);
      });
  }
}
