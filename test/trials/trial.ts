/**
 * One randomised trial: a few controllers on stand-ins, two teams at their limits, users who ask at all nodes at once,
 * repeat submissions and cancel, and faults that overlap. What is drawn depends on the seed alone; what happens also
 * depends on how the machine schedules the processes, so that a seed repeats its faults but not every interleaving.
 */
import { seededRandom, type Random } from '../../src/base/random.js';
import type { Response } from '../../src/transport/httpClient.js';
import { Cluster, pause, submission } from '../support/cluster.js';
import { History, type Question, type Told } from '../support/history.js';

/** Processors that the teams' tasks may use at once: below what the jobs ask for. */
const LIMITS = new Map([
  ['crew', 12],
  ['guests', 6],
]);

const TEAMS = [...LIMITS]
  .map(([name, cpus]) => `[[settings.teams]]\nname = "${name}"\ncpus_max = ${cpus.toFixed(1)}`)
  .join('\n');

const NODES = 3;
const MACHINES = 24;
const CPUS_PER_TASK = 2;
/** Seconds with faults, and without them until every job must have got where it is going. */
const TROUBLED_S = 12;
const SETTLE_S = 30;
const JOBS_PER_S = 4;
const CANCELLED_SHARE = 0.25;
/** Of the jobs, those that are the first of a pipeline, and how many stages follow at the most. */
const PIPELINE_SHARE = 0.25;
const MOST_STAGES = 4;
/** Pipelines whose last stage is submitted only when the others are over. */
const LATE_SHARE = 0.2;
/** What the cluster's users are promised of cancellations, and time for an answer to arrive. */
const CANCEL_WITHIN_S = 5 + 1;

export interface TrialResult {
  seed: number;
  jobs: number;
  history: History;
  /** Accepted jobs of which no final state was told in time. */
  unfinished: string[];
}

/** What an answer says; null: nothing, ask again. */
function toldBy(response: Response): Told | null {
  if (response.status === 404) return 'unknown';
  if (response.status === 400 || response.status === 422) return 'refused';
  if (response.status >= 300) return null;
  const { Status: status } = response.body as { Status?: string };
  return status === 'done' || status === 'cancelled' ? status : 'open';
}

class Trial {
  private readonly random: Random;
  private readonly cluster: Cluster;
  private readonly history = new History(LIMITS, CANCEL_WITHIN_S);
  private readonly accepted = new Set<string>();
  private readonly over = new Set<string>();
  private isOver = false;

  constructor(private readonly seed: number) {
    this.random = seededRandom(seed);
    const lengths = seededRandom(seed + 1);
    this.cluster = new Cluster({
      nodes: NODES,
      teams: TEAMS,
      lease: 4,
      stateWrites: 200,
      runs: () => 0.2 + lengths() * 1.5,
    });
    this.cluster.cloud.capacity = MACHINES;
    this.cluster.cloud.watch = this.history;
  }

  async run(): Promise<TrialResult> {
    const users: Promise<void>[] = [];
    try {
      await this.cluster.start();
      const faults = this.strikeAll();
      const count = TROUBLED_S * JOBS_PER_S;
      for (let job = 0; job < count; job++) {
        const id = `wk-${String(this.seed * 1000 + job).padStart(6, '0')}`;
        users.push(this.random() < PIPELINE_SHARE ? this.pipeline(id) : this.user(id));
        await pause((0.5 + this.random()) / JOBS_PER_S);
      }
      await faults;
      const deadline = performance.now() + SETTLE_S * 1000;
      while (performance.now() < deadline && this.unfinished.length > 0) await pause(0.2);
      const { unfinished } = this;
      return { seed: this.seed, jobs: count, history: this.history, unfinished };
    } finally {
      this.isOver = true;
      this.cluster.close();
      await Promise.allSettled(users);
    }
  }

  private get unfinished(): string[] {
    return [...this.accepted].filter((id) => !this.over.has(id));
  }

  // ---- Users ----

  private nodeAt(index: number): string {
    return `drone-${index % NODES}`;
  }

  private async ask(
    id: string,
    node: string,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<Told | null> {
    const question: Question = { job: id, node, sentAt: performance.now() / 1000 };
    try {
      const told = toldBy(await this.cluster.call(node, method, path, body));
      if (told === null || this.isOver) return null;
      this.history.answered(question, performance.now() / 1000, told);
      if (told === 'open') this.accepted.add(id);
      if (told === 'done' || told === 'cancelled') this.over.add(id);
      return told;
    } catch {
      return null;
    }
  }

  /** Submits, perhaps cancels, and asks until the job is over; each step at several nodes within milliseconds. */
  private async user(id: string, waitsOn: string[] = []): Promise<void> {
    const draw = this.random();
    const team = draw < 0.6 ? 'crew' : 'guests';
    const pieces = 1 + Math.floor(this.random() * 3);
    const cancelAfter = this.random() < CANCELLED_SHARE ? this.random() * 4 : Infinity;
    const first = Math.floor(this.random() * NODES);
    const work = { Owner: team, Pieces: pieces, Cores: CPUS_PER_TASK };
    const body = submission(id, waitsOn.length === 0 ? work : { ...work, WaitsOn: waitsOn });
    const began = performance.now();
    this.history.submitted(id, { team, cpus: CPUS_PER_TASK, tasks: pieces, waitsOn });
    for (let turn = first; !this.isOver && !this.over.has(id); turn++) {
      const seconds = (performance.now() - began) / 1000;
      const node = this.nodeAt(turn);
      if (!this.accepted.has(id)) await this.ask(id, node, 'POST', '/v1/jobs', body);
      else if (seconds > cancelAfter) {
        this.history.askedToCancel(id);
        await this.ask(id, node, 'POST', `/v1/jobs/${id}/withdraw`);
      }
      await this.askEverywhere(id, body);
      await pause(0.25);
    }
    for (let again = 0; again < 3 && !this.isOver; again++) {
      await this.askEverywhere(id, body);
      await pause(0.5);
    }
  }

  /** Jobs that need others, each submitted once those are accepted, by a user of its own. */
  private async pipeline(first: string): Promise<void> {
    const stages = 1 + Math.floor(this.random() * MOST_STAGES);
    const isLate = this.random() < LATE_SHARE;
    const submitted = [first];
    const users = [this.user(first)];
    for (let stage = 1; stage <= stages && !this.isOver; stage++) {
      const needs = submitted.filter((_, i) => i === submitted.length - 1 || this.random() < 0.3);
      const mayGoOn = (need: string): boolean =>
        this.over.has(need) || (this.accepted.has(need) && !(isLate && stage === stages));
      while (!this.isOver && !needs.every(mayGoOn)) await pause(0.05);
      const id = `${first}-${stage}`;
      submitted.push(id);
      users.push(this.user(id, needs));
    }
    await Promise.all(users);
  }

  private async askEverywhere(id: string, body: unknown): Promise<void> {
    const questions = Array.from({ length: NODES }, (_, index) =>
      this.ask(id, this.nodeAt(index), 'GET', `/v1/jobs/${id}`),
    );
    const repeated = this.accepted.has(id)
      ? [this.ask(id, this.nodeAt(id.charCodeAt(id.length - 1)), 'POST', '/v1/jobs', body)]
      : [];
    await Promise.all([...questions, ...repeated]);
  }

  // ---- Faults ----

  private async strikeAll(): Promise<void> {
    const ends = performance.now() + TROUBLED_S * 1000;
    const running: Promise<void>[] = [];
    while (performance.now() < ends) {
      const strike = FAULTS[Math.floor(this.random() * FAULTS.length)];
      const seconds = 0.2 + this.random() * 3;
      if (strike !== undefined) running.push(strike(this.cluster, this.random, seconds));
      await pause(0.3 + this.random() * 1.5);
    }
    await Promise.all(running);
    this.cluster.state.swallow = null;
    for (const index of Array.from({ length: NODES }, (_, i) => i)) {
      if (!this.cluster.nodes.has(this.nodeAt(index))) await this.cluster.boot(this.nodeAt(index));
    }
  }
}

type Fault = (cluster: Cluster, random: Random, seconds: number) => Promise<void>;

const someNode = (random: Random): string => `drone-${Math.floor(random() * NODES)}`;

/** Ends a node, and starts it again after a while. */
async function restart(cluster: Cluster, label: string, seconds: number): Promise<void> {
  if (!cluster.nodes.has(label)) return;
  cluster.crash(label);
  await pause(seconds);
  if (!cluster.nodes.has(label)) await cluster.boot(label);
}

/** Sets a flag of some machines for a while. */
function onMachines(flag: 'hanging' | 'deaf' | 'cutOff' | 'holdsCommands'): Fault {
  return async (cluster, random, seconds) => {
    const struck = [...cluster.cloud.workers.values()].filter(() => random() < 0.3);
    for (const worker of struck) worker[flag] = true;
    await pause(seconds);
    for (const worker of struck) worker[flag] = false;
  };
}

async function refuse(cluster: Cluster, client: string, seconds: number): Promise<void> {
  cluster.state.refused.add(client);
  await pause(seconds);
  cluster.state.refused.delete(client);
}

/** Some transactions get no answer; half of them are carried out at once, the others late. */
const loseTransactions: Fault = async (cluster, random, seconds) => {
  const { state } = cluster;
  state.swallow = (body) => {
    if (random() > 0.3) return false;
    if (random() < 0.5) state.apply(body);
    else setTimeout(() => state.apply(body), random() * 2000).unref();
    return true;
  };
  await pause(seconds);
  state.swallow = null;
};

const FAULTS: readonly Fault[] = [
  (cluster, random, seconds) => restart(cluster, someNode(random), seconds),
  (cluster, random) => restart(cluster, someNode(random), 0.05),
  async (cluster, _, seconds) => {
    const labels = Array.from({ length: NODES }, (__, index) => `drone-${index}`);
    await Promise.all(labels.map((label) => restart(cluster, label, seconds / 3)));
  },
  (cluster, random, seconds) => refuse(cluster, someNode(random), seconds),
  (cluster, _, seconds) => refuse(cluster, '*', seconds),
  async (cluster, random, seconds) => {
    const label = someNode(random);
    cluster.apart.add(label);
    await refuse(cluster, label, seconds);
    cluster.apart.delete(label);
  },
  loseTransactions,
  loseTransactions,
  onMachines('hanging'),
  onMachines('deaf'),
  onMachines('cutOff'),
  onMachines('holdsCommands'),
];

export const runTrial = (seed: number): Promise<TrialResult> => new Trial(seed).run();
