/**
 * The cloud of a soak and all of its workers, in one process, so that what runs where has one order. Machines come up when
 * they are rented, and lose their power when they are taken.
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
const { heartbeatInterval: heartbeatInterval, workerLease: workerLease } = plan;
const saveSeconds = (task: string): number => checkpointSecondsOf(task, workerLease);
const settings = {
  heartbeatInterval: heartbeatInterval,
  workerLease: workerLease,
  taskRunSeconds: runSeconds,
  checkpointSeconds: saveSeconds,
  isLinked: true,
};
const cloud = new CloudStandIn(settings, () => nodes, plan.zones);
cloud.capacity = plan.capacity;

const tell = (kind: TaskEvent['kind'], task: string, machine: string): void => {
  send({ kind: 'event', event: { kind, task, machine, at: hostMonotonicSeconds() } });
};
cloud.taskObserver = {
  onTaskStarted: (task, machine) => {
    tell('started', task, machine);
  },
  onTaskCompleted: (task) => {
    tell('done', task, '');
  },
  onTaskTerminated: (task, machine) => {
    tell('left', task, machine);
  },
};

const injectedCount = new Map<number, { flag: MachineFlag; struck: WorkerStandIn[] }>();
const draw = (share: number): WorkerStandIn[] =>
  [...cloud.workers.values()].filter(() => random() < share);

function applyFlag(id: number, flag: MachineFlag, share: number): void {
  const struck = draw(share);
  for (const worker of struck) worker[flag] = true;
  injectedCount.set(id, { flag, struck });
}

function endStroke(id: number): void {
  const stroke = injectedCount.get(id);
  for (const worker of stroke?.struck ?? []) if (stroke !== undefined) worker[stroke.flag] = false;
  injectedCount.delete(id);
}

function setMessageFaults(lateCommands: number, copiedReports: number, mostLate: number): void {
  const delay = (): number => random() * mostLate;
  const isOn = lateCommands + copiedReports > 0;
  cloud.messageFaults = isOn
    ? { delayedCommandShare: lateCommands, duplicatedHeartbeatShare: copiedReports, delay, random }
    : null;
}

function take(share: number): void {
  for (const worker of draw(share)) cloud.reclaim(worker);
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
      endStroke(request.id);
      return null;
    case 'message-faults':
      setMessageFaults(request.lateCommands, request.copiedReports, request.mostLate);
      return null;
    case 'copies':
      cloud.duplication = duplicationFor(request, random);
      return null;
    case 'take':
      take(request.share);
      return null;
    case 'notice':
      for (const worker of draw(request.share)) worker.givePreemptionNotice(request.seconds);
      return null;
    case 'capacity':
      cloud.capacity = request.machines;
      return null;
    case 'flush':
      return null;
  }
});
