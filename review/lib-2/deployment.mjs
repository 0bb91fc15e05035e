// The two small deployments of the brief, with stand-ins for state service, cloud, workers and users.
import { Cluster, settingsText, sleep, until } from './cluster.mjs';
import { Fleet } from './fleet.mjs';
import { Link } from './link.mjs';
import { now } from './record.mjs';
import { StateService } from './state.mjs';

const machineType = (Label, Cores, MemoryGb, prices, disk, BootS, Yards) => ({
  Label,
  Cores,
  Accelerators: 0,
  MemoryGb,
  LocalGb: disk.cacheGb,
  PullGbPerS: disk.fetch,
  Hourly: prices[0],
  SpotPrice: prices[1],
  BootS,
  Yards,
  // The seconds that a boot takes here; the cases choose them within what PROTOCOL allows.
  boot: BootS,
});

/** `pantrack-rehearsals` of the brief. */
export const pantrack = {
  team: 'bookings-crew',
  zones: ['port-of-spain'],
  sites: ['port-of-spain', 'port-of-spain', 'port-of-spain'],
  reportS: 3,
  leaseS: 34,
  cancelS: 64,
  state: { rps: 150, writeRps: 60, valueBytes: 16 * 1024, txnOps: 32 },
  cloud: { rps: 6, listLagS: 6 },
  limits: { cores: 0.425, ramMb: 306, fdLimit: 3000 },
  objectives: [
    { kind: 'finished', jobClass: 'hall-sweep', withinS: 60, share: 0.88 },
    { kind: 'finished', jobClass: 'hall-sweep', withinS: 150, share: 0.97 },
    { kind: 'wait', jobClass: 'yard-calendar', withinS: 1, share: 0.94 },
  ],
  types: () => [
    machineType('tassa-small', 4, 8, [0.2, 0.08], { cacheGb: 30, fetch: 0.12 }, 50, [
      'port-of-spain',
    ]),
    machineType('panyard-large', 32, 256, [1.97, 0.77], { cacheGb: 70, fetch: 0.12 }, 15, [
      'port-of-spain',
    ]),
  ],
  capacity: () => ({
    'tassa-small/port-of-spain/false': 13,
    'tassa-small/port-of-spain/true': 24,
    'panyard-large/port-of-spain/false': 7,
    'panyard-large/port-of-spain/true': 4,
  }),
};

/** `putnik-quotes` of the brief. */
export const putnik = {
  team: 'head-ops',
  zones: ['zagreb-core', 'split-coast'],
  sites: ['zagreb-core', 'split-coast', 'zagreb-core'],
  reportS: 3,
  leaseS: 18,
  cancelS: 43,
  state: { rps: 100, writeRps: 25, valueBytes: 32 * 1024, txnOps: 16 },
  cloud: { rps: 8, listLagS: 8 },
  limits: { cores: 0.425, ramMb: 178, fdLimit: 1800 },
  objectives: [
    { kind: 'finished', jobClass: 'rate-refresh', withinS: 50, share: 0.94 },
    { kind: 'finished', jobClass: 'rate-refresh', withinS: 90, share: 0.975 },
    { kind: 'wait', jobClass: 'counter-quote', withinS: 1, share: 0.98 },
  ],
  types: () => [
    machineType('jadran-mid', 32, 128, [1.36, 0.29], { cacheGb: 30, fetch: 0.6 }, 50, [
      'zagreb-core',
      'split-coast',
    ]),
    machineType('velebit-big', 64, 512, [3.38, 0.83], { cacheGb: 30, fetch: 0.4 }, 25, [
      'zagreb-core',
      'split-coast',
    ]),
  ],
  capacity: () => ({
    'jadran-mid/zagreb-core/false': 5,
    'jadran-mid/zagreb-core/true': 5,
    'jadran-mid/split-coast/false': 9,
    'jadran-mid/split-coast/true': 9,
    'velebit-big/zagreb-core/false': 2,
    'velebit-big/zagreb-core/true': 3,
    'velebit-big/split-coast/false': 3,
    'velebit-big/split-coast/true': 4,
  }),
};

/** An array (`sweep`) or a service (`daemon`) of a deployment's team, with the fields of PROTOCOL. */
export function jobOf({ team }, number, fields) {
  return {
    Uid: `wk-${String(number).padStart(6, '0')}`,
    Jobclass: 'batch',
    Owner: team,
    Shape: 'sweep',
    Rank: 'normal',
    Pieces: 1,
    Cores: 1.0,
    Accelerators: 0.0,
    MemoryGb: 1.0,
    Bundle: 'img-01',
    PullGb: 0.1,
    Flavours: null,
    Yard: null,
    SamePlace: false,
    Apart: false,
    Loaners: false,
    ExpectS: 0.0,
    SnapshotS: 0.0,
    FlushS: 0.0,
    DueS: null,
    ...fields,
  };
}

/**
 * Prepares a deployment; `machines`: those that are up at the start; `links`: receives the links between the controllers, by
 * `from>to`, else they are direct. Its controllers are started by `startAll`.
 */
export class Deployment {
  static async create(
    plan,
    record,
    closers,
    { bootSeconds = null, addresses = null, machines = [], links = null } = {},
  ) {
    const state = new StateService(plan.state, record);
    closers.push(() => state.close());
    const types = plan.types();
    if (bootSeconds !== null) for (const type of types) type.boot = bootSeconds;
    const { reportS, leaseS } = plan;
    const { listLagS } = plan.cloud;
    const capacity = plan.capacity();
    const fleet = new Fleet({ record, reportS, leaseS, listLagS, types, capacity, addresses });
    const cloud = await fleet.listen();
    closers.push(() => fleet.close());
    const nodes = plan.sites.map((site, i) => ({ label: `drone-${i}`, site }));
    const stateOf = new Map();
    for (const { label } of nodes) stateOf.set(label, await state.listenFor(label));
    const cluster = new Cluster({ record, nodes, settings: settingsText(plan), stateOf, cloud });
    closers.push(() => cluster.close());
    await cluster.prepare(async (name, address) => {
      if (links === null) return address;
      const link = new Link(address);
      links.set(name, link);
      closers.push(() => link.close());
      return link.listen(cluster.linkAddress());
    });
    fleet.nodes = cluster.clientAddresses;
    for (const [type, zone, spot] of machines) fleet.add(type, zone, spot, 0);
    return new Deployment({ plan, record, state, fleet, cluster, nodes });
  }

  constructor(fields) {
    Object.assign(this, fields);
    this.accepted = new Map();
  }

  async startAll() {
    for (const { label } of this.nodes) this.cluster.start(label);
    for (const { label } of this.nodes) await this.cluster.ready(label);
  }

  /** Resolves once each worker is served by a controller. */
  async allServed() {
    await until('all workers are served', 40, () =>
      [...this.fleet.machines.values()].every(
        ({ goneAt, worker }) => goneAt !== null || (worker?.servedBy ?? null) !== null,
      ),
    );
  }

  /** The machines that a controller serves. */
  servedBy(label) {
    return [...this.fleet.machines.values()].filter(
      ({ goneAt, worker }) => goneAt === null && worker?.servedBy === label,
    );
  }

  /** Submits a job as users do: again after a second until it is accepted, for up to 60 s. */
  async submit(label, job) {
    this.fleet.jobs.set(job.Uid, job);
    const answer = await until(`${job.Uid} is accepted`, 60, async () => {
      const { status, body } = await this.cluster.user(label, 'POST', '/v1/jobs', job);
      this.record.add('submitted', { to: label, job: job.Uid, status, body });
      if (status === 200 || status === 201) return { status, body };
      await sleep(1);
      return false;
    });
    this.accepted.set(job.Uid, { job, at: now() });
    return answer;
  }

  async poll(label, id) {
    const { status, body } = await this.cluster.user(label, 'GET', `/v1/jobs/${id}`, undefined, 2);
    this.record.add('polled', { at: label, job: id, status, body });
    return { status, body };
  }

  /** The tasks of a job that were never started. */
  neverStarted({ Uid, Pieces }) {
    const started = new Set(this.fleet.starts.map(({ piece }) => piece));
    return Array.from({ length: Pieces }, (_, i) => `${Uid}/${i}`).filter(
      (piece) => !started.has(piece),
    );
  }
}
