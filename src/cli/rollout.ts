/** The implementation of `barrowlb rollout …` and `barrowlb drain`. */
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
import { readTextFile } from '../protocol/settings.js';
import { rolloutPath } from '../protocol/routes.js';
import { HttpControllerApi } from './controllerApi.js';
import { query, QueryError } from './query.js';
import { describeDriver, describeStatus } from './rolloutReport.js';

/** Prints one line to standard output. */
export const printLine = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

/** A name that identifies this driver as the holder of the permit. */
const holderName = (): string => `${hostname()}-${process.pid}`;

/** Attempts to make a change while the controller answers that it cannot store it (503). */
const CHANGE_ATTEMPTS = 5;

/** Seconds between two attempts. */
const CHANGE_RETRY_DELAY_S = 0.5;

/**
 * Requests a change from a controller.
 * @throws {QueryError} with the controller's reason if it rejects the change.
 */
export async function requestChange(
  server: string,
  name: string,
  body: unknown,
  attemptsLeft = CHANGE_ATTEMPTS,
): Promise<void> {
  const response = await query(server, `${rolloutPath}${name}`, 'POST', body);
  if (response.status === 200) return;
  if (response.status === 503 && attemptsLeft > 1) {
    await sleep(CHANGE_RETRY_DELAY_S);
    await requestChange(server, name, body, attemptsLeft - 1);
    return;
  }
  const { error } = (response.body ?? {}) as { error?: string };
  throw new QueryError(error ?? `${server} answered ${response.status}`);
}

/** `barrowlb rollout status`: prints the cluster's version and the progress of the controllers' rollout. */
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
  printLine(lines.join('\n'));
}

async function runCommand([program = '', ...args]: string[], token: number): Promise<void> {
  // Loaded on demand: controllers never spawn processes, and the startup snapshot cannot contain this module.
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
    report: printLine,
  });
}

async function readPlan(path: string): Promise<{ plan: RolloutPlan; api: HttpControllerApi }> {
  const plan = parsePlan(readTextFile(path));
  const api = new HttpControllerApi(plan.addresses);
  const known = await api.controllers();
  if (known !== null) checkControllers(plan, known);
  return { plan, api };
}

/** The `RolloutDriver` method that begins the run. */
export type DriveMode = 'start' | 'resume' | 'rollBack';

/** Runs a rollout until it ends; the exit code is 1 if it ends paused. */
export async function runDriver(path: string, mode: DriveMode): Promise<void> {
  const { plan, api } = await readPlan(path);
  const driver = createDriver(plan, api);
  await driver[mode]();
  const record = await driver.run();
  printLine(`rollout ${record.name}: ${record.phase}: ${record.cause.text}`);
  if (record.phase === 'paused') process.exitCode = 1;
}

/** `barrowlb rollout pause`: the driver stops after its current step. */
export async function pause(path: string, reason: string): Promise<void> {
  const { api } = await readPlan(path);
  await pauseRollout(api, reason, systemClock.wall());
  printLine('the rollout is paused');
}

/** Converts errors of the rollout package into QueryErrors, which the command line prints as one line. */
export async function withReadableErrors<Result>(action: () => Promise<Result>): Promise<Result> {
  try {
    return await action();
  } catch (error) {
    if (error instanceof PlanError || error instanceof DriverRefusedError) {
      throw new QueryError(error.message, { cause: error });
    }
    throw error;
  }
}
