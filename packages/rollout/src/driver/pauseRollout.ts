/** Pausing a rollout from outside its driver. */
import { DriverRefusedError, type ControllerApi } from './controllerApi.js';
import type { DriverRecord } from './driverRecord.js';
import { pauseRecord } from './rolloutTransitions.js';

/**
 * Stores the rollout as paused. The active driver, if any, notices the change in its next step.
 * @throws {DriverRefusedError} if no rollout is running or the record has changed concurrently.
 */
export async function pauseRollout(
  api: Pick<ControllerApi, 'read' | 'write'>,
  reason: string,
  wallTime: number,
): Promise<DriverRecord> {
  const stored = await api.read();
  const record = stored?.record ?? null;
  if (stored === null || record === null) throw new DriverRefusedError('there is no rollout');
  if (record.phase !== 'running') throw new DriverRefusedError(`the rollout is ${record.phase}`);
  const paused = pauseRecord(record, reason, wallTime);
  const outcome = await api.write(stored.revision, paused);
  if (outcome.kind !== 'stored')
    throw new DriverRefusedError('the record has changed meanwhile; try again');
  return paused;
}
