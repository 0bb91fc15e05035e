/**
 * Process with a soak's cloud and all of its workers. They share one process so that task events have one total order.
 * A machine starts when it is rented and stops at once, without notice to its tasks, when the cloud reclaims it.
 */
import { seededRandom } from '../../src/base/random.js';
import { CloudStandIn, type WorkerStandIn } from '../support/fleet.js';
import { duplicationFor } from './duplicationRequest.js';
import { runSecondsOf, checkpointSecondsOf } from './jobKinds.js';
import {
  hostMonotonicSeconds,
  type FleetSetup,
  type FleetRequest,
  type MachineFlag,
  type TaskEvent,
} from './messages.js';
import { send, serveRequests } from './standIn.js';

const plan = JSON.parse(process.argv[2] ?? '{}') as FleetSetup;
const random = seededRandom(plan.seed);
let nodes = new Map<string, string>();
const runSeconds = (task: string): number => runSecondsOf(task, plan.seed, plan.maxTaskSeconds);
const { heartbeatInterval, workerLease } = plan;
const saveSeconds = (task: string): number => checkpointSecondsOf(task, workerLease);
const settings = {
  heartbeatInterval,
  workerLease,
  taskRunSeconds: runSeconds,
  checkpointSeconds: saveSeconds,
  isLinked: true,
};
const cloud = new CloudStandIn(settings, () => nodes, plan.zones);
cloud.capacity = plan.capacity;

const sendEvent = (kind: TaskEvent['kind'], task: string, machine: string): void => {
  send({ kind: 'event', event: { kind, task, machine, at: hostMonotonicSeconds() } });
};
cloud.taskObserver = {
  onTaskStarted: (task, machine) => {
    sendEvent('started', task, machine);
  },
  onTaskCompleted: (task) => {
    sendEvent('done', task, '');
  },
  onTaskTerminated: (task, machine) => {
    sendEvent('left', task, machine);
  },
};

const activeMachineFaults = new Map<number, { flag: MachineFlag; workers: WorkerStandIn[] }>();
const drawWorkers = (share: number): WorkerStandIn[] =>
  [...cloud.workers.values()].filter(() => random() < share);

function applyFlag(id: number, flag: MachineFlag, share: number): void {
  const affectedWorkers = drawWorkers(share);
  for (const worker of affectedWorkers) worker[flag] = true;
  activeMachineFaults.set(id, { flag, workers: affectedWorkers });
}

function clearFlag(id: number): void {
  const fault = activeMachineFaults.get(id);
  for (const worker of fault?.workers ?? []) if (fault !== undefined) worker[fault.flag] = false;
  activeMachineFaults.delete(id);
}

function setMessageFaults(lateCommands: number, copiedReports: number, maxDelay: number): void {
  const delay = (): number => random() * maxDelay;
  const isOn = lateCommands + copiedReports > 0;
  cloud.messageFaults = isOn
    ? { delayedCommandShare: lateCommands, duplicatedHeartbeatShare: copiedReports, delay, random }
    : null;
}

function reclaimMachines(share: number): void {
  for (const worker of drawWorkers(share)) cloud.reclaim(worker);
}

serveRequests<FleetRequest>((request) => {
  switch (request.kind) {
    case 'listen':
      return cloud.listen();
    case 'nodes':
      nodes = new Map(request.addresses);
      return null;
    case 'flag':
      applyFlag(request.id, request.flag, request.share);
      return null;
    case 'unflag':
      clearFlag(request.id);
      return null;
    case 'message-faults':
      setMessageFaults(request.lateCommands, request.copiedReports, request.maxDelay);
      return null;
    case 'copies':
      cloud.duplication = duplicationFor(request, random);
      return null;
    case 'take':
      reclaimMachines(request.share);
      return null;
    case 'notice':
      for (const worker of drawWorkers(request.share)) worker.givePreemptionNotice(request.seconds);
      return null;
    case 'capacity':
      cloud.capacity = request.machines;
      return null;
    case 'flush':
      return null;
  }
});
