/** What `barrowlb rollout …` and `barrowlb drain` do. */
import { hostname } from 'node:os';
import {
  checkControllers,
  DriverRefusedError,
  parsePlan,
  pauseRollout,
  PlanError,
  RolloutDriver,
  type DriverRecord,
  type RolloutPlan,
  type RolloutStatus,
} from '@barrowlb/rollout';
import { sleep, systemClock } from '../base/clock.js';
import { readText } from '../protocol/settings.js';
import { rolloutPath } from '../protocol/routes.js';
import { HttpControllerApi } from './controllerApi.js';
import { query, QueryError } from './query.js';
import { describeDriver, describeStatus } from './rolloutReport.js';

export const say = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

/** Sets this driver apart from every other. */
const holderName = (): string => `${hostname()}-${process.pid}`;

/** How often a change is asked for, and the seconds in between, while a controller cannot store it. */
const TRIES = 5;
const RETRY_S = 0.5;

/** A request for a change; what a controller refuses is an error with its reason. */
export async function change(
  server: string,
  name: string,
  body: unknown,
  tries = TRIES,
): Promise<void> {
  const response = await query(server, `${rolloutPath}${name}`, 'POST', body);
  if (response.status === 200) return;
  if (response.status === 503 && tries > 1) {
    await sleep(RETRY_S);
    await change(server, name, body, tries - 1);
    return;
  }
  const { error } = (response.body ?? {}) as { error?: string };
  throw new QueryError(error ?? `${server} answered ${response.status}`);
}

export async function printRollout(server: string): Promise<void> {
  const [status, driver] = await Promise.all([
    query(server, rolloutPath),
    query(server, `${rolloutPath}/driver`),
  ]);
  if (status.status !== 200) {
    const { error } = (status.body ?? {}) as { error?: string };
    throw new QueryError(error ?? `${server} answered ${status.status}`);
  }
  const now = systemClock.wall();
  const lines = describeStatus(status.body as RolloutStatus, now);
  const { record } = driver.body as { record: DriverRecord | null };
  if (record !== null) lines.push(...describeDriver(record, now));
  say(lines.join('\n'));
}

async function runCommand([program = '', ...args]: string[], token: number): Promise<void> {
  // Not with the program's start: no controller starts other programs, and the startup snapshot cannot hold it.
  const { spawn } = await import('node:child_process');
  return new Promise((resolve, reject) => {
    const env = { ...process.env, BARROWLB_ROLLOUT_TOKEN: String(token) };
    const child = spawn(program, args, { stdio: ['ignore', 'inherit', 'inherit'], env });
    child.on('error', reject);
    child.on('exit', (code, signal) => {
      if (code === 0) resolve();
      else reject(new Error(`${program} ended with ${code ?? signal ?? 'no code'}`));
    });
  });
}

function createDriver(plan: RolloutPlan, api: HttpControllerApi): RolloutDriver {
  return new RolloutDriver(plan, holderName(), {
    api,
    run: runCommand,
    clock: systemClock,
    sleep,
    report: say,
  });
}

async function readPlan(path: string): Promise<{ plan: RolloutPlan; api: HttpControllerApi }> {
  const plan = parsePlan(readText(path));
  const api = new HttpControllerApi(plan.addresses);
  const known = await api.controllers();
  if (known !== null) checkControllers(plan, known);
  return { plan, api };
}

export type Beginning = 'start' | 'resume' | 'rollBack';

/** Runs a rollout to its end; anything but a good end is an exit code other than 0. */
export async function drive(path: string, beginning: Beginning): Promise<void> {
  const { plan, api } = await readPlan(path);
  const driver = createDriver(plan, api);
  await driver[beginning]();
  const record = await driver.run();
  say(`rollout ${record.name}: ${record.phase}: ${record.cause.text}`);
  if (record.phase === 'paused') process.exitCode = 1;
}

export async function pause(path: string, reason: string): Promise<void> {
  const { api } = await readPlan(path);
  await pauseRollout(api, reason, systemClock.wall());
  say('the rollout is paused');
}

/** Errors of the package are told with their message alone, as those of the command line are. */
export async function told<Result>(work: () => Promise<Result>): Promise<Result> {
  try {
    return await work();
  } catch (error) {
    if (error instanceof PlanError || error instanceof DriverRefusedError) {
      throw new QueryError(error.message);
    }
    throw error;
  }
}
