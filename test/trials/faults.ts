/** Temporary faults that trials inject into their cluster. */
import type { Random } from '../../src/base/random.js';
import { pause, type Cluster } from '../support/cluster.js';

export const NODE_COUNT = 3;

export type Fault = (cluster: Cluster, random: Random, seconds: number) => Promise<void>;

export const randomNode = (random: Random): string => `drone-${Math.floor(random() * NODE_COUNT)}`;

/** Crashes a node and boots it again after `seconds`. */
export async function restart(cluster: Cluster, label: string, seconds: number): Promise<void> {
  if (!cluster.nodes.has(label)) return;
  cluster.crash(label);
  await pause(seconds);
  if (!cluster.nodes.has(label)) await cluster.boot(label);
}

/** Makes a fault that sets a flag on some workers for a limited time. */
function setWorkerFlag(flag: 'hanging' | 'deaf' | 'cutOff' | 'holdsCommands'): Fault {
  return async (cluster, random, seconds) => {
    const affectedWorkers = [...cluster.cloud.workers.values()].filter(() => random() < 0.3);
    for (const worker of affectedWorkers) worker[flag] = true;
    await pause(seconds);
    for (const worker of affectedWorkers) worker[flag] = false;
  };
}

async function refuseRequests(cluster: Cluster, client: string, seconds: number): Promise<void> {
  cluster.state.refusedClients.add(client);
  await pause(seconds);
  cluster.state.refusedClients.delete(client);
}

/** Withholds the answers to some transactions; half of these are applied at once, the others late. */
const withholdAnswers: Fault = async (cluster, random, seconds) => {
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

/** Delivers some answered messages a second time, up to five seconds later. */
const duplicateAnswered: Fault = async ({ cloud, state }, random, seconds) => {
  const duplication = { share: 0.3, delay: () => random() * 5, random };
  cloud.duplication = duplication;
  state.duplication = duplication;
  await pause(seconds);
  cloud.duplication = null;
  state.duplication = null;
};

/** Faults that every version must tolerate. Before 0.4.5 a duplicate of an answered message could start a task again. */
export const FAULTS_WITHOUT_DUPLICATES: readonly Fault[] = [
  (cluster, random, seconds) => restart(cluster, randomNode(random), seconds),
  (cluster, random) => restart(cluster, randomNode(random), 0.05),
  async (cluster, _, seconds) => {
    const labels = Array.from({ length: NODE_COUNT }, (__, index) => `drone-${index}`);
    await Promise.all(labels.map((label) => restart(cluster, label, seconds / 3)));
  },
  (cluster, random, seconds) => refuseRequests(cluster, randomNode(random), seconds),
  (cluster, _, seconds) => refuseRequests(cluster, '*', seconds),
  async (cluster, random, seconds) => {
    const label = randomNode(random);
    cluster.isolatedNodes.add(label);
    await refuseRequests(cluster, label, seconds);
    cluster.isolatedNodes.delete(label);
  },
  withholdAnswers,
  withholdAnswers,
  setWorkerFlag('hanging'),
  setWorkerFlag('deaf'),
  setWorkerFlag('cutOff'),
  setWorkerFlag('holdsCommands'),
];

export const FAULTS: readonly Fault[] = [
  ...FAULTS_WITHOUT_DUPLICATES,
  duplicateAnswered,
  duplicateAnswered,
];
