/** A small deployment like pantrack-rehearsals: three controllers, the state service, the cloud, machines and users. */
import { Controllers, PANTRACK, PANTRACK_FLAVOURS, type SiteSettings } from './controllers.js';
import { Fleet } from './fleet.js';
import { CannotRun, waitFor, type Recorder } from './record.js';
import { StateService } from './state.js';
import { Users, type Submission } from './users.js';

/** Seconds until a machine that is up at the start reports. */
const UP_SOON = 0.1;

/** The running parts. */
export interface Parts {
  state: StateService;
  nodes: Controllers;
  fleet: Fleet;
  users: Users;
}

/** Starts and ends the parts of a deployment. */
export class Deployment {
  private parts: Parts | null = null;

  /** Starts everything, and waits until all controllers are ready and the machines are in use. */
  async start(
    record: Recorder,
    machines: { small: number; large: number; capacity?: number } = { small: 4, large: 2 },
    settings: SiteSettings = PANTRACK,
  ): Promise<Parts> {
    const state = new StateService({ rps: 150, writeRps: 60, valueKb: 16, txnOps: 32 });
    const nodes = new Controllers(settings, record);
    const controllers = (): Map<string, string> => nodes.addresses();
    const fleet = new Fleet(
      {
        ...{ reportS: 3, leaseS: 34, listLagS: 6, cloudRps: 6, capacity: machines.capacity ?? 48 },
        ...{ flavours: PANTRACK_FLAVOURS, controllers },
      },
      record,
    );
    const users = new Users(controllers, record);
    this.parts = { state, nodes, fleet, users };
    await nodes.prepare(await fleet.listen(), (label) => state.listenFor(label));
    const [small, large] = PANTRACK_FLAVOURS;
    if (small === undefined || large === undefined) throw new CannotRun('no machine types');
    const zone = settings.zones[0] ?? '';
    for (let i = 0; i < machines.small; i++) fleet.rent(small, zone, false, UP_SOON);
    for (let i = 0; i < machines.large; i++) fleet.rent(large, zone, false, UP_SOON);
    nodes.startAll();
    if (!(await waitFor(async () => (await users.ready()).length === nodes.nodes.length, 30)))
      throw new CannotRun('the controllers are not ready');
    if (nodes.ends.length > 0) throw new CannotRun('a controller did not start');
    return this.parts;
  }

  /** Submits a job whose tasks run for `runS` seconds; it must be accepted. `label`: by this controller. */
  async accept(job: Submission, runS: number, label?: string): Promise<void> {
    if (this.parts === null) throw new CannotRun('nothing runs');
    const { fleet, users } = this.parts;
    fleet.jobs.set(job.Uid, {
      ...{ cores: job.Cores, memoryGb: job.MemoryGb, runS },
      ...{ pullGb: job.PullGb, bundle: job.Bundle },
    });
    if (!(await users.submit(job, 60, label))) throw new CannotRun(`${job.Uid} was not accepted`);
  }

  /** Ends everything. */
  async close(): Promise<void> {
    if (this.parts === null) return;
    await this.parts.nodes.close();
    this.parts.fleet.close();
    this.parts.state.close();
  }
}
