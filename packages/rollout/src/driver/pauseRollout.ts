/** Pausing a rollout from outside of its driver. */
import { DriverRefusedError, type ControllerApi } from './controllerApi.js';
import type { DriverRecord } from './driverRecord.js';
import { pauseRecord } from './rolloutTransitions.js';

/**
 * Stores a rollout as paused, whatever driver is at work: it finds the change with its next step.
 * @throws {DriverRefusedError} if there is no running rollout, or the record has changed meanwhile.
 */
export async function pauseRollout(
  api: Pick<ControllerApi, 'read' | 'write'>,
  reason: string,
  wall: number,
): Promise<DriverRecord> {
  const stored = await api.read();
  const record = stored?.record ?? null;
  if (stored === null || record === null) throw new DriverRefusedError('there is no rollout');
  if (record.phase !== 'running') throw new DriverRefusedError(`the rollout is ${record.phase}`);
  const paused = pauseRecord(record, reason, wall);
  const outcome = await api.write(stored.revision, paused);
  if (outcome.kind !== 'stored')
    throw new DriverRefusedError('the record has changed meanwhile; try again');
  return paused;
}
