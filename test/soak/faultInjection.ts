/** Injects the planned faults into a cluster of processes and removes each when its time is over. */
import { pause } from '../support/cluster.js';
import type { CancelledThenRefused, Fault, SoakPlan } from './plan.js';
import type { SoakCluster } from './soakCluster.js';

/** Share of the transactions with a withheld answer that are applied at once; the others are applied late. */
const APPLIED_AT_ONCE_SHARE = 0.5;

/** Time that a request to a stand-in process needs to arrive, in seconds. */
const REQUEST_TRAVEL_S = 0.1;

/** Maximum delay of late messages, late duplicates and late transactions, as a ratio to the worker's lease. */
const MAX_DELAY_RATIO = 1.2;

export class FaultInjector {
  private machineFaultCount = 0;
  private isStopped = false;
  /** Nodes whose process is paused (SIGSTOP). A process that is killed meanwhile runs normally after its restart. */
  private readonly paused = new Set<string>();

  constructor(
    private readonly cluster: SoakCluster,
    private readonly plan: SoakPlan,
    private readonly logFault: (text: string) => void,
    /** Makes users cancel that many jobs now. */
    private readonly cancelJobsNow: (count: number) => void,
  ) {}

  /** Injects all faults of the plan, each at its time. Resolves when all of them are over and all controllers are started. */
  async injectAll(): Promise<void> {
    const startedAt = performance.now();
    const running: Promise<void>[] = [];
    for (const { at, fault } of this.plan.faults) {
      const remainingSeconds = at - (performance.now() - startedAt) / 1000;
      if (remainingSeconds > 0) await pause(remainingSeconds);
      if (this.isStopped) return;
      this.logFault(`fault ${JSON.stringify(fault)}`);
      running.push(this.inject(fault));
    }
    await Promise.all(running);
    this.startAll();
  }

  stop(): void {
    this.isStopped = true;
  }

  private startAll(): void {
    if (this.isStopped) return;
    for (const controller of this.cluster.controllers.values()) controller.start();
  }

  private async inject(fault: Fault): Promise<void> {
    const { cluster } = this;
    const { state, fleet } = cluster;
    const maxDelay = this.plan.lease * MAX_DELAY_RATIO;
    switch (fault.kind) {
      case 'kill':
        return this.killNodes([fault.node], fault.awaySeconds);
      case 'kill-all':
        return this.killNodes(this.plan.nodes, fault.awaySeconds);
      case 'pause':
        return this.pauseNode(fault.node, fault.seconds);
      case 'owners-in-series':
        return this.killOneAfterAnother(fault.nodes, fault.seconds);
      case 'state-refuses':
        return this.refuseRequests(fault.node, fault.seconds);
      case 'cancel-now':
        this.cancelJobsNow(fault.count);
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
        return this.loseAnswers(fault.share, APPLIED_AT_ONCE_SHARE, fault.seconds);
      case 'peers-cut':
        return this.holdLinks(
          fault.isBothWays
            ? [`${fault.from}>${fault.to}`, `${fault.to}>${fault.from}`]
            : [`${fault.from}>${fault.to}`],
          fault.seconds,
        );
      case 'peers-slow':
        return this.changeLinksFor([`${fault.from}>${fault.to}`], fault.seconds, {
          delaySeconds: fault.delay,
        });
      case 'node-apart':
        return this.isolateNode(fault.node, fault.seconds, fault.isHeld);
      case 'workers-cut':
        return this.holdLinks([`workers>${fault.node}`], fault.seconds);
      case 'machines':
        return this.injectMachineFault(fault);
      case 'messages':
        await fleet.request({ ...fault, kind: 'message-faults', maxDelay });
        await pause(fault.seconds);
        await fleet.request({
          kind: 'message-faults',
          lateCommands: 0,
          copiedReports: 0,
          maxDelay,
        });
        return;
      case 'copies':
        await this.setDuplicationShare(fault.share);
        await pause(fault.seconds);
        await this.setDuplicationShare(0);
        return;
      case 'taken':
        await fleet.request({ kind: 'take', share: fault.share });
        return;
      case 'notice':
        await fleet.request(fault);
        await pause(fault.seconds);
        return;
      case 'cloud-refuses':
        return this.changeLinksFor(
          this.plan.nodes.map((node) => `${node}>cloud`),
          fault.seconds,
          { isRefusing: true },
        );
    }
  }

  private async refuseRequests(client: string, seconds: number): Promise<void> {
    const { state } = this.cluster;
    await state.request({ kind: 'refuse', client, isOn: true });
    await pause(seconds);
    await state.request({ kind: 'refuse', client, isOn: false });
  }

  private async loseAnswers(share: number, atOnce: number, seconds: number): Promise<void> {
    const { state } = this.cluster;
    const maxDelay = this.plan.lease * MAX_DELAY_RATIO;
    await state.request({ kind: 'lose-answers', share, atOnce, maxDelay });
    await pause(seconds);
    await state.request({ kind: 'lose-answers', share: 0, atOnce, maxDelay });
  }

  private async setDuplicationShare(share: number): Promise<void> {
    const request = { kind: 'copies', share, maxDelay: this.plan.lease * MAX_DELAY_RATIO } as const;
    await Promise.all([this.cluster.state.request(request), this.cluster.fleet.request(request)]);
  }

  private async cancelThenRefuse(fault: CancelledThenRefused): Promise<void> {
    const { node, count, lostSeconds, atOnce, waitSeconds, aloneSeconds } = fault;
    const remainingSeconds = fault.seconds - waitSeconds;
    const isLost = lostSeconds > 0;
    const answersLost = isLost ? this.loseAnswers(1, atOnce, lostSeconds) : Promise.resolve();
    if (isLost) await pause(REQUEST_TRAVEL_S);
    this.cancelJobsNow(count);
    await pause(waitSeconds);
    const nodeCutOff = fault.isApart
      ? this.isolateNode(node, remainingSeconds, false)
      : this.refuseRequests(node, remainingSeconds);
    await pause(aloneSeconds);
    await this.refuseRequests('*', remainingSeconds - aloneSeconds);
    await Promise.all([answersLost, nodeCutOff]);
  }

  private async killNodes(nodes: readonly string[], seconds: number): Promise<void> {
    for (const node of nodes) this.cluster.controller(node).kill();
    await pause(seconds);
    if (this.isStopped) return;
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

  /** Kills the nodes at equal intervals, so that the next node has time to take over the shard before it is killed too. */
  private async killOneAfterAnother(nodes: readonly string[], seconds: number): Promise<void> {
    const interval = seconds / nodes.length;
    await Promise.all(
      nodes.map(async (node, index) => {
        await pause(index * interval);
        await this.killNodes([node], seconds - index * interval);
      }),
    );
  }

  private async injectMachineFault({
    flag,
    share,
    seconds,
  }: Extract<Fault, { kind: 'machines' }>): Promise<void> {
    const id = ++this.machineFaultCount;
    await this.cluster.fleet.request({ kind: 'flag', id, flag, share });
    await pause(seconds);
    await this.cluster.fleet.request({ kind: 'unflag', id });
  }

  private holdLinks(links: readonly string[], seconds: number): Promise<void> {
    return this.changeLinksFor(links, seconds, { holdsForward: true, holdsBackward: true });
  }

  private async isolateNode(node: string, seconds: number, isHeld: boolean): Promise<void> {
    const others = this.plan.nodes.filter((other) => other !== node);
    const links = [
      `${node}>state`,
      ...others.flatMap((other) => [`${node}>${other}`, `${other}>${node}`]),
    ];
    if (isHeld) return this.holdLinks(links, seconds);
    return this.changeLinksFor(links, seconds, { isRefusing: true });
  }

  private async changeLinksFor(
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
