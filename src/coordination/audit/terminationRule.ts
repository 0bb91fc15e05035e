/**
 * The rules by which an attempt may be declared terminated (safety, T2). They are declared beside the audit trail, which
 * names the rule in each event; `reconciliation/attemptTermination.ts` alone applies them.
 */

/**
 * - `ended`: a heartbeat shows the end of the attempt.
 * - `absent`: a heartbeat no longer shows an attempt that an earlier one showed.
 * - `never-started`: a heartbeat doesn't show an attempt that was never reported and must not start any more.
 * - `new-agent-epoch`: the worker agent has restarted or lost its lease since, which killed all its tasks.
 * - `lease-expired`: the worker's lease can't have been renewed for so long that the worker has killed its tasks.
 * - `machine-released`: the cloud has confirmed the release of the machine.
 * - `never-sent`: no start command was sent.
 */
export type TerminationRule =
  | 'ended'
  | 'absent'
  | 'never-started'
  | 'new-agent-epoch'
  | 'lease-expired'
  | 'machine-released'
  | 'never-sent';
