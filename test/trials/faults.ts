/** Faults that are injected into a cluster of a trial for a while. */
import type { Random } from '../../src/base/random.js';
import { pause, type Cluster } from '../support/cluster.js';

export const NODE_COUNT = 3;

export type Fault = (cluster: Cluster, random: Random, seconds: number) => Promise<void>;

export const randomNode = (random: Random): string => `drone-${Math.floor(random() * NODE_COUNT)}`;

/** Ends a node, and starts it again after a while. */
export async function restart(cluster: Cluster, label: string, seconds: number): Promise<void> {
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
  cluster.state.refusedClients.add(client);
  await pause(seconds);
  cluster.state.refusedClients.delete(client);
}

/** Some transactions get no answer; half of them are carried out at once, the others late. */
const loseTransactions: Fault = async (cluster, random, seconds) => {
  const { state } = cluster;
  state.withholds = (body) => {
    if (random() > 0.3) return false;
    if (random() < 0.5) state.apply(body);
    else setTimeout(() => state.apply(body), random() * 2000).unref();
    return true;
  };
  await pause(seconds);
  state.withholds = null;
};

/** Some messages that were answered arrive once more, up to five seconds later. */
const copyAnswered: Fault = async ({ cloud, state }, random, seconds) => {
  const copies = { share: 0.3, delay: () => random() * 5, random };
  cloud.duplication = copies;
  state.duplication = copies;
  await pause(seconds);
  cloud.duplication = null;
  state.duplication = null;
};

/** What every version is to bear. Before 0.4.5 a copy of an answered message could run a task once more. */
export const FAULTS_WITHOUT_DUPLICATES: readonly Fault[] = [
  (cluster, random, seconds) => restart(cluster, randomNode(random), seconds),
  (cluster, random) => restart(cluster, randomNode(random), 0.05),
  async (cluster, _, seconds) => {
    const labels = Array.from({ length: NODE_COUNT }, (__, index) => `drone-${index}`);
    await Promise.all(labels.map((label) => restart(cluster, label, seconds / 3)));
  },
  (cluster, random, seconds) => refuse(cluster, randomNode(random), seconds),
  (cluster, _, seconds) => refuse(cluster, '*', seconds),
  async (cluster, random, seconds) => {
    const label = randomNode(random);
    cluster.isolatedNodes.add(label);
    await refuse(cluster, label, seconds);
    cluster.isolatedNodes.delete(label);
  },
  loseTransactions,
  loseTransactions,
  onMachines('hanging'),
  onMachines('deaf'),
  onMachines('cutOff'),
  onMachines('holdsCommands'),
];

export const FAULTS: readonly Fault[] = [...FAULTS_WITHOUT_DUPLICATES, copyAnswered, copyAnswered];
