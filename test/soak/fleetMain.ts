/**
 * The cloud of a soak and all of its workers, in one process, so that what runs where has one order. Machines come up when
 * they are rented, and lose their power when they are taken.
 */
import { seededRandom } from '../../src/base/random.js';
import { CloudStandIn, type WorkerStandIn } from '../support/fleet.js';
import { copiesAsAsked } from './copies.js';
import { runTime, saveTime } from './jobKinds.js';
import {
  machineTime,
  type FleetPlan,
  type FleetRequest,
  type MachineFlag,
  type TaskEvent,
} from './messages.js';
import { send, serveRequests } from './standIn.js';

const plan = JSON.parse(process.argv[2] ?? '{}') as FleetPlan;
const random = seededRandom(plan.seed);
let nodes = new Map<string, string>();
const runs = (task: string): number => runTime(task, plan.seed, plan.longest);
const { report, lease } = plan;
const saves = (task: string): number => saveTime(task, lease);
const settings = { report, lease, runs, saves, isLinked: true };
const cloud = new CloudStandIn(settings, () => nodes, plan.zones);
cloud.capacity = plan.capacity;

const tell = (kind: TaskEvent['kind'], task: string, machine: string): void => {
  send({ kind: 'event', event: { kind, task, machine, at: machineTime() } });
};
cloud.watch = {
  started: (task, machine) => {
    tell('started', task, machine);
  },
  done: (task) => {
    tell('done', task, '');
  },
  left: (task, machine) => {
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
  cloud.messageFaults = isOn ? { lateCommands, copiedReports, delay, random } : null;
}

function take(share: number): void {
  for (const worker of draw(share)) cloud.take(worker);
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
      cloud.copies = copiesAsAsked(request, random);
      return null;
    case 'take':
      take(request.share);
      return null;
    case 'notice':
      for (const worker of draw(request.share)) worker.giveNotice(request.seconds);
      return null;
    case 'capacity':
      cloud.capacity = request.machines;
      return null;
    case 'flush':
      return null;
  }
});
