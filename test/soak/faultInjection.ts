/** Injects planned faults into a cluster of processes, and ends them. */
import { pause } from '../support/cluster.js';
import type { CancelledThenRefused, Fault, SoakPlan } from './plan.js';
import type { SoakCluster } from './soakCluster.js';

/** Of the transactions without an answer, those that are carried out at once. */
const AT_ONCE_SHARE = 0.5;

/** Time for a request to one of the stand-ins to arrive, in seconds. */
const REQUEST_TRAVEL_S = 0.1;

/** How long after a message a late copy may come, as a ratio to the worker's lease. */
const MOST_LATE = 1.2;

export class FaultInjector {
  private injectedCount = 0;
  private isOver = false;
  /** Processes that stand still; one that is killed meanwhile comes back awake. */
  private readonly paused = new Set<string>();

  constructor(
    private readonly cluster: SoakCluster,
    private readonly plan: SoakPlan,
    private readonly note: (text: string) => void,
    /** Has users cancel that many jobs now. */
    private readonly cancelNow: (count: number) => void,
  ) {}

  /** All faults of the plan, each at its time; resolves when the last one has ended and everything is up. */
  async injectAll(): Promise<void> {
    const began = performance.now();
    const running: Promise<void>[] = [];
    for (const { at, fault } of this.plan.faults) {
      const left = at - (performance.now() - began) / 1000;
      if (left > 0) await pause(left);
      if (this.isOver) return;
      this.note(`fault ${JSON.stringify(fault)}`);
      running.push(this.inject(fault));
    }
    await Promise.all(running);
    this.startAll();
  }

  stop(): void {
    this.isOver = true;
  }

  private startAll(): void {
    if (this.isOver) return;
    for (const controller of this.cluster.controllers.values()) controller.start();
  }

  private async inject(fault: Fault): Promise<void> {
    const { cluster } = this;
    const { state, fleet } = cluster;
    const mostLate = this.plan.lease * MOST_LATE;
    switch (fault.kind) {
      case 'kill':
        return this.kill([fault.node], fault.awaySeconds);
      case 'kill-all':
        return this.kill(this.plan.nodes, fault.awaySeconds);
      case 'pause':
        return this.pauseNode(fault.node, fault.seconds);
      case 'owners-in-series':
        return this.killInSeries(fault.nodes, fault.seconds);
      case 'state-refuses':
        return this.refuse(fault.node, fault.seconds);
      case 'cancel-now':
        this.cancelNow(fault.count);
        return;
      case 'cancelled-then-refused':
        return this.cancelThenRefuse(fault);
      case 'state-slow':
        await state.request({ kind: 'slow', client: fault.node, seconds: fault.delay });
        await pause(fault.seconds);
        await state.request({ kind: 'slow', client: fault.node, seconds: 0 });
        return;
      case 'answers-late':
        await state.request({ kind: 'late-answers', client: fault.node, maxDelay: fault.most });
        await pause(fault.seconds);
        await state.request({ kind: 'late-answers', client: fault.node, maxDelay: 0 });
        return;
      case 'answers-lost':
        return this.loseAnswers(fault.share, AT_ONCE_SHARE, fault.seconds);
      case 'peers-cut':
        return this.hold(
          fault.isBothWays
            ? [`${fault.from}>${fault.to}`, `${fault.to}>${fault.from}`]
            : [`${fault.from}>${fault.to}`],
          fault.seconds,
        );
      case 'peers-slow':
        return this.during([`${fault.from}>${fault.to}`], fault.seconds, {
          delaySeconds: fault.delay,
        });
      case 'node-apart':
        return this.setApart(fault.node, fault.seconds, fault.isHeld);
      case 'workers-cut':
        return this.hold([`workers>${fault.node}`], fault.seconds);
      case 'machines':
        return this.injectMachineFault(fault);
      case 'messages':
        await fleet.request({ ...fault, kind: 'message-faults', mostLate });
        await pause(fault.seconds);
        await fleet.request({
          kind: 'message-faults',
          lateCommands: 0,
          copiedReports: 0,
          mostLate,
        });
        return;
      case 'copies':
        await this.copyAnswered(fault.share);
        await pause(fault.seconds);
        await this.copyAnswered(0);
        return;
      case 'taken':
        await fleet.request({ kind: 'take', share: fault.share });
        return;
      case 'notice':
        await fleet.request(fault);
        await pause(fault.seconds);
        return;
      case 'cloud-refuses':
        return this.during(
          this.plan.nodes.map((node) => `${node}>cloud`),
          fault.seconds,
          { isRefusing: true },
        );
    }
  }

  private async refuse(client: string, seconds: number): Promise<void> {
    const { state } = this.cluster;
    await state.request({ kind: 'refuse', client, isOn: true });
    await pause(seconds);
    await state.request({ kind: 'refuse', client, isOn: false });
  }

  private async loseAnswers(share: number, atOnce: number, seconds: number): Promise<void> {
    const { state } = this.cluster;
    const mostLate = this.plan.lease * MOST_LATE;
    await state.request({ kind: 'lose-answers', share, atOnce, mostLate });
    await pause(seconds);
    await state.request({ kind: 'lose-answers', share: 0, atOnce, mostLate });
  }

  private async copyAnswered(share: number): Promise<void> {
    const request = { kind: 'copies', share, mostLate: this.plan.lease * MOST_LATE } as const;
    await Promise.all([this.cluster.state.request(request), this.cluster.fleet.request(request)]);
  }

  private async cancelThenRefuse(fault: CancelledThenRefused): Promise<void> {
    const { node, count, lostSeconds, atOnce, waitSeconds, aloneSeconds } = fault;
    const left = fault.seconds - waitSeconds;
    const isLost = lostSeconds > 0;
    const lost = isLost ? this.loseAnswers(1, atOnce, lostSeconds) : Promise.resolve();
    if (isLost) await pause(REQUEST_TRAVEL_S);
    this.cancelNow(count);
    await pause(waitSeconds);
    const alone = fault.isApart ? this.setApart(node, left, false) : this.refuse(node, left);
    await pause(aloneSeconds);
    await this.refuse('*', left - aloneSeconds);
    await Promise.all([lost, alone]);
  }

  private async kill(nodes: readonly string[], seconds: number): Promise<void> {
    for (const node of nodes) this.cluster.controller(node).kill();
    await pause(seconds);
    if (this.isOver) return;
    for (const node of nodes) this.cluster.controller(node).start();
  }

  private async pauseNode(node: string, seconds: number): Promise<void> {
    if (this.paused.has(node)) return;
    const controller = this.cluster.controller(node);
    this.paused.add(node);
    controller.pause();
    await pause(seconds);
    controller.resume();
    this.paused.delete(node);
  }

  /** The second ends once it has had time to adopt what the first one left. */
  private async killInSeries(nodes: readonly string[], seconds: number): Promise<void> {
    const turn = seconds / nodes.length;
    await Promise.all(
      nodes.map(async (node, index) => {
        await pause(index * turn);
        await this.kill([node], seconds - index * turn);
      }),
    );
  }

  private async injectMachineFault({
    flag,
    share,
    seconds,
  }: Extract<Fault, { kind: 'machines' }>): Promise<void> {
    const id = ++this.injectedCount;
    await this.cluster.fleet.request({ kind: 'flag', id, flag, share });
    await pause(seconds);
    await this.cluster.fleet.request({ kind: 'unflag', id });
  }

  private hold(links: readonly string[], seconds: number): Promise<void> {
    return this.during(links, seconds, { holdsForward: true, holdsBackward: true });
  }

  private async setApart(node: string, seconds: number, isHeld: boolean): Promise<void> {
    const others = this.plan.nodes.filter((other) => other !== node);
    const links = [
      `${node}>state`,
      ...others.flatMap((other) => [`${node}>${other}`, `${other}>${node}`]),
    ];
    if (isHeld) return this.hold(links, seconds);
    return this.during(links, seconds, { isRefusing: true });
  }

  private async during(
    links: readonly string[],
    seconds: number,
    change: Parameters<ReturnType<SoakCluster['linkBetween']>['set']>[0],
  ): Promise<void> {
    const affected = links.flatMap((name) => this.cluster.links.get(name) ?? []);
    for (const link of affected) link.set(change);
    await pause(seconds);
    for (const link of affected) link.heal();
  }
}
