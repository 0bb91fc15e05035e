/**
 * When an attempt is over (safety, T2). This module alone says so: what releases a task takes a verdict of this type, and
 * nothing else can make one.
 */
import { DRIFT } from '../../base/clock.js';
import type { Entry } from '../shard/chunk.js';
import type { Machine, Placed } from '../shard/machine.js';

/**
 * What a verdict rests on: a report that shows the end; a report without an attempt that was there, or that an adopter
 * loaded or nobody wants any more; a newer session of the worker; a lease that nobody can have renewed; the cloud's word
 * that the machine is gone; or that no start was ever sent.
 */
export type OverRule =
  | 'ended'
  | 'absent'
  | 'unwanted-absent'
  | 'new-session'
  | 'lease-over'
  | 'machine-gone'
  | 'never-sent';

export class AttemptOver {
  private constructor(
    readonly rule: OverRule,
    /** Steady time at which the evidence was heard. */
    readonly evidenceAt: number,
  ) {}

  /** By the newest report of its machine, which has been taken in already; null: it may still be there, or come. */
  static byReport(machine: Machine, { chunk, entry }: Placed, now: number): AttemptOver | null {
    // The worker killed everything when its lease ran out; nothing of that session comes back.
    if (machine.session > entry.session) return new AttemptOver('new-session', now);
    const report = machine.tasks.find(chunk.taskName(entry.task), entry.attempt);
    if (report !== undefined) {
      return report.state === 'ended' ? new AttemptOver('ended', now) : null;
    }
    // It was here and is no more.
    const mayCome = entry.doubt.isOpen(machine.seenToken);
    if (entry.seen) return mayCome ? null : new AttemptOver('absent', now);
    // It never came and is not to be started any longer.
    const isUnwanted = entry.stop !== null || entry.isAdopted;
    return isUnwanted && !mayCome && !entry.sentInAnswer
      ? new AttemptOver('unwanted-absent', now)
      : null;
  }

  /** By the worker's lease: all that ran there was killed by the worker itself. */
  static byLease(
    machine: Machine,
    { lease, report }: { lease: number; report: number },
    now: number,
  ): AttemptOver | null {
    const limit = lease * (1 + DRIFT) + report / 2;
    if (now - machine.renewed <= limit) return null;
    return new AttemptOver('lease-over', machine.renewed);
  }

  /** The record of its machine was removed, which happens only after the cloud has confirmed the release. */
  static byRemoval(now: number): AttemptOver {
    return new AttemptOver('machine-gone', now);
  }

  /** No start was sent, so nothing can come of it; null: one was, or is on its way. */
  static asNeverSent(machine: Machine, entry: Entry, now: number): AttemptOver | null {
    const mayCome = entry.seen || entry.sentInAnswer || entry.doubt.isOpen(machine.seenToken);
    return mayCome || machine.inFlight ? null : new AttemptOver('never-sent', now);
  }
}
