/** Carries out planned strikes on a cluster of processes, and ends them. */
import { pause } from '../support/cluster.js';
import type { SoakPlan, Strike } from './plan.js';
import type { SoakCluster } from './soakCluster.js';

/** How long after a message a late copy may come, as a ratio to the worker's lease. */
const MOST_LATE = 1.2;

export class Strikes {
  private strokes = 0;
  private isOver = false;
  /** Processes that stand still; one that is killed meanwhile comes back awake. */
  private readonly paused = new Set<string>();

  constructor(
    private readonly cluster: SoakCluster,
    private readonly plan: SoakPlan,
    private readonly note: (text: string) => void,
  ) {}

  /** All strikes of the plan, each at its time; resolves when the last one has ended and everything is up. */
  async play(): Promise<void> {
    const began = performance.now();
    const running: Promise<void>[] = [];
    for (const { at, strike } of this.plan.strikes) {
      const left = at - (performance.now() - began) / 1000;
      if (left > 0) await pause(left);
      if (this.isOver) return;
      this.note(`strike ${JSON.stringify(strike)}`);
      running.push(this.strike(strike));
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

  private async strike(strike: Strike): Promise<void> {
    const { cluster } = this;
    const { state, fleet } = cluster;
    const mostLate = this.plan.lease * MOST_LATE;
    switch (strike.kind) {
      case 'kill':
        return this.kill([strike.node], strike.awaySeconds);
      case 'kill-all':
        return this.kill(this.plan.nodes, strike.awaySeconds);
      case 'pause':
        return this.pauseNode(strike.node, strike.seconds);
      case 'owners-in-series':
        return this.killInSeries(strike.nodes, strike.seconds);
      case 'state-refuses':
        await state.ask({ kind: 'refuse', client: strike.node, isOn: true });
        await pause(strike.seconds);
        await state.ask({ kind: 'refuse', client: strike.node, isOn: false });
        return;
      case 'state-slow':
        await state.ask({ kind: 'slow', client: strike.node, seconds: strike.delay });
        await pause(strike.seconds);
        await state.ask({ kind: 'slow', client: strike.node, seconds: 0 });
        return;
      case 'answers-lost':
        await state.ask({ kind: 'lose-answers', share: strike.share, mostLate });
        await pause(strike.seconds);
        await state.ask({ kind: 'lose-answers', share: 0, mostLate });
        return;
      case 'peers-cut':
        return this.hold(
          strike.isBothWays
            ? [`${strike.from}>${strike.to}`, `${strike.to}>${strike.from}`]
            : [`${strike.from}>${strike.to}`],
          strike.seconds,
        );
      case 'peers-slow':
        return this.during([`${strike.from}>${strike.to}`], strike.seconds, {
          delaySeconds: strike.delay,
        });
      case 'node-apart':
        return this.setApart(strike.node, strike.seconds, strike.isHeld);
      case 'workers-cut':
        return this.hold([`workers>${strike.node}`], strike.seconds);
      case 'machines':
        return this.strikeMachines(strike);
      case 'messages':
        await fleet.ask({ ...strike, kind: 'message-faults', mostLate });
        await pause(strike.seconds);
        await fleet.ask({ kind: 'message-faults', lateCommands: 0, copiedReports: 0, mostLate });
        return;
      case 'taken':
        await fleet.ask({ kind: 'take', share: strike.share });
        return;
      case 'notice':
        await fleet.ask(strike);
        await pause(strike.seconds);
        return;
      case 'cloud-refuses':
        return this.during(
          this.plan.nodes.map((node) => `${node}>cloud`),
          strike.seconds,
          { isRefusing: true },
        );
    }
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
    controller.wake();
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

  private async strikeMachines({
    flag,
    share,
    seconds,
  }: Extract<Strike, { kind: 'machines' }>): Promise<void> {
    const id = ++this.strokes;
    await this.cluster.fleet.ask({ kind: 'flag', id, flag, share });
    await pause(seconds);
    await this.cluster.fleet.ask({ kind: 'unflag', id });
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
    const struck = links.flatMap((name) => this.cluster.links.get(name) ?? []);
    for (const link of struck) link.set(change);
    await pause(seconds);
    for (const link of struck) link.heal();
  }
}
