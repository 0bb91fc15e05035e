/** Users, and the load balancer that chooses a controller for each of their requests. */
import http from 'node:http';
import { request } from './http.js';
import { elapsed, sleep, type Recorder } from './record.js';

/** A submission as PROTOCOL describes it. */
export interface Submission {
  Uid: string;
  Shape: 'sweep' | 'daemon';
  Jobclass: string;
  Owner: string;
  Rank: string;
  Pieces: number;
  Cores: number;
  MemoryGb: number;
  ExpectS: number;
  Loaners: boolean;
  Bundle: string;
  PullGb: number;
  Flavours?: string[];
}

const wireForm = (job: Submission): Record<string, unknown> => ({
  Accelerators: 0.0,
  Flavours: null,
  Yard: null,
  SamePlace: false,
  Apart: false,
  SnapshotS: 0.0,
  FlushS: 0.0,
  DueS: null,
  ...job,
});

/** Sends users' requests. */
export class Users {
  private next = 0;

  constructor(
    private readonly addresses: () => Map<string, string>,
    private readonly record: Recorder,
  ) {}

  /** Controllers that answer `GET /ready` with 200. */
  async ready(): Promise<string[]> {
    const labels: string[] = [];
    for (const [label, address] of this.addresses()) {
      const answer = await this.call(address, 'GET', '/ready', undefined, 1);
      if (answer?.status === 200) labels.push(label);
    }
    return labels;
  }

  private call(
    address: string,
    method: string,
    path: string,
    body: unknown,
    seconds: number,
  ): ReturnType<typeof request> {
    // A connection of its own for each request: the load balancer chooses a node for each.
    return request(new http.Agent({ keepAlive: false }), address, method, path, body, seconds);
  }

  private address(label?: string): string {
    if (label !== undefined) return this.addresses().get(label) ?? '';
    const all = [...this.addresses().values()];
    return all[this.next++ % all.length] ?? '';
  }

  /** Submits a job, and retries for up to 60 s; true once it is accepted. `label`: the load balancer chooses this node. */
  async submit(job: Submission, retryS = 60, label?: string): Promise<boolean> {
    const until = elapsed() + retryS;
    do {
      const answer = await this.call(this.address(label), 'POST', '/v1/jobs', wireForm(job), 5);
      this.record.note(`POST /v1/jobs ${job.Uid}: ${answer?.status ?? 'no answer'}`);
      if (answer?.status === 201 || answer?.status === 200) return true;
      if (answer?.status === 400 || answer?.status === 422) return false;
      await sleep(1);
    } while (elapsed() < until);
    return false;
  }

  /** Asks for a job's state once; null without a response of 200 or 404. */
  async poll(id: string): Promise<{ status: number; state: string; text: string } | null> {
    const answer = await this.call(this.address(), 'GET', `/v1/jobs/${id}`, undefined, 2);
    this.record.note(
      `GET ${id}: ${answer === null ? 'no answer' : answer.status} ${answer?.text ?? ''}`,
    );
    if (answer === null || (answer.status !== 200 && answer.status !== 404)) return null;
    const { Status = '' } = (answer.body ?? {}) as { Status?: string };
    return { status: answer.status, state: Status, text: answer.text };
  }

  /** Cancels a job, and repeats the request until it is answered; the state in the answer, or null. */
  async withdraw(id: string, retryS = 60): Promise<string | null> {
    const until = elapsed() + retryS;
    do {
      const path = `/v1/jobs/${id}/withdraw`;
      const answer = await this.call(this.address(), 'POST', path, undefined, 5);
      this.record.note(`POST ${path}: ${answer?.status ?? 'no answer'} ${answer?.text ?? ''}`);
      if (answer?.status === 200) return (answer.body as { Status: string }).Status;
      await sleep(1);
    } while (elapsed() < until);
    return null;
  }
}

/** An array of tasks like those of `hall-sweep`. */
export const sweepOf = (
  id: string,
  { Pieces, Cores, MemoryGb = 1 }: { Pieces: number; Cores: number; MemoryGb?: number },
): Submission => ({
  ...{ Uid: id, Shape: 'sweep', Jobclass: 'hall-sweep', Owner: 'bookings-crew', Rank: 'normal' },
  ...{ Pieces, Cores, MemoryGb, ExpectS: 25, Loaners: true, Bundle: 'img-01', PullGb: 0.1 },
});
