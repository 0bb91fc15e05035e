/** `barrowlb why` and `barrowlb status`: format a controller's response for the terminal. */
import * as v from 'valibot';
import type { Overview } from '../protocol/overview.js';
import { jobPath, paths } from '../protocol/routes.js';
import { parseAddress } from '../transport/address.js';
import { HttpClient, type Response } from '../transport/httpClient.js';

/** A request to a controller failed; the message is a single line for the user. */
export class QueryError extends Error {}

/** Seconds within which a controller must respond. */
const REQUEST_TIMEOUT_S = 5;

/**
 * Sends one request to a controller.
 * @throws {QueryError} if the address is invalid or the controller cannot be reached.
 */
export async function query(
  server: string,
  target: string,
  method = 'GET',
  body?: unknown,
): Promise<Response> {
  if (parseAddress(server) === null) {
    throw new QueryError(`--server: "${server}" is not of the form host:port`);
  }
  const http = new HttpClient(1, 0);
  try {
    return await http.call(server, method, target, body, REQUEST_TIMEOUT_S);
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    throw new QueryError(`${server} cannot be reached: ${reason}`, { cause: error });
  }
}

const answerSchema = v.object({
  Status: v.string(),
  done: v.number(),
  running: v.number(),
  Reason: v.optional(v.string()),
});

/** `barrowlb why`: prints the state of a job and the reason why it waits. */
export async function printWhy(server: string, job: string): Promise<void> {
  const response = await query(server, jobPath(job));
  if (response.status === 404) throw new QueryError(`there is no job ${job}`);
  const answer = v.safeParse(answerSchema, response.body);
  if (response.status !== 200 || !answer.success) {
    throw new QueryError(`${server} can't tell now (${response.status}); try again`);
  }
  const { Status: status, done, running, Reason: reason } = answer.output;
  const why = reason ?? (status === 'queued' ? 'No reason is known.' : 'It does not wait.');
  process.stdout.write(`${job}: ${status}, ${done} done, ${running} running\n${why}\n`);
}

type MachineOverview = Overview['parts'][number]['machines'][number];

/** One line for a machine: its state, and its availability with the age of the evidence for it. */
function machineLine({
  name,
  type,
  zone,
  state,
  tasks,
  availability,
  evidenceAge,
}: MachineOverview): string {
  const age =
    evidenceAge === undefined || evidenceAge === null ? '' : `, evidence ${evidenceAge} s old`;
  const evidence = availability === undefined ? '' : ` (${availability}${age})`;
  return `  ${name}  ${type}  ${zone}  ${state}${evidence}  ${tasks} tasks`;
}

/** `barrowlb status`: prints the shards, queues, machines and counters of a controller. */
export async function printStatus(server: string): Promise<void> {
  const response = await query(server, paths.overview);
  if (response.status !== 200) throw new QueryError(`${server} answered ${response.status}`);
  const { node, served, counters, parts } = response.body as Overview;
  const lines = [`${node}: ${served ? 'served by' : 'NOT served by'} the state service`];
  for (const part of parts) {
    const use = `${Math.round(part.utilisation * 100)} % used`;
    lines.push(`part ${part.part}: ${part.machines.length} machines, ${use}`);
    lines.push(
      `  queue: ${part.openJobs} open jobs, ${part.runningTasks} tasks running, ${part.waitingTasks} waiting`,
    );
    for (const machine of part.machines) lines.push(machineLine(machine));
  }
  // Nodes of earlier versions send no counters.
  for (const [name, count] of Object.entries(counters ?? {}))
    lines.push(`counted ${name}: ${count}`);
  process.stdout.write(`${lines.join('\n')}\n`);
}
