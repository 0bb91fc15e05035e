/** How many further tasks of a job a machine's worker can report: a heartbeat has a size limit. */
import type { JobSpec } from '../../protocol/job.js';
import { reportedAttemptBytes } from '../../protocol/workerProtocol.js';
import { MAX_REPORTED_ATTEMPT_BYTES } from './occupancy.js';

/** A number with as many digits as attempt numbers usually have at the most. */
const USUAL_ATTEMPT_NUMBER = 9999;

/** Bytes in a heartbeat of an attempt of one of the job's tasks. */
export const attemptBytesOf = ({ id, taskCount }: JobSpec): number =>
  reportedAttemptBytes(`${id}/${taskCount}`, USUAL_ATTEMPT_NUMBER);

/** Number of the job's tasks that fit into the room that a heartbeat has left. */
export function reportableTasks(reportRoomBytes: number, spec: JobSpec): number {
  const roomBytes = reportRoomBytes - MAX_REPORTED_ATTEMPT_BYTES;
  return Math.max(0, Math.floor(roomBytes / attemptBytesOf(spec)));
}
