/** Which machines of a part are silent, and since when what ran there is over. */
import { AttemptTermination } from './attemptTermination.js';
import type { Machine } from '../shard/machine.js';
import type { Shard, ShardOptions } from '../shard/shard.js';

export class MachineLiveness {
  /** When most of the machines were last silent: more likely a fault on our side than on theirs. */
  private mostSilentAt = -Infinity;

  constructor(
    private readonly part: Pick<Shard, 'audit' | 'label' | 'machines' | 'release'>,
    private readonly options: Pick<ShardOptions, 'lease' | 'report'>,
  ) {}

  /** Silent machines: what ran there is over once nobody can have renewed the lease that long. */
  sweep(now: number): void {
    for (const machine of this.part.machines.values()) {
      machine.cutOff = now - (machine.reportedAt ?? machine.created) > this.options.lease / 2;
      if (machine.entries.size === 0) continue;
      const over = AttemptTermination.byLease(machine, this.options, now);
      if (over === null) continue;
      machine.lost = true;
      for (const placed of [...machine.entries.values()]) {
        this.part.release(machine, placed, over, now);
      }
    }
  }

  /**
   * Machines so long silent that they count as lost. Ending them is the quickest proof that their
   * tasks are over. When no other machine has answered since, the fault is more likely ours: a node
   * that lost its network once asked for the release of healthy machines, and the request was carried
   * out when the cut was over.
   */
  lostMachines(now: number, bootOf: (machine: Machine) => number, wall: number): string[] {
    if (this.mostAreSilent()) this.mostSilentAt = now;
    const lost: string[] = [];
    for (const machine of this.part.machines.values()) {
      // Its last owner may be alive and answer it: that we can't reach it says nothing of the machine.
      if (machine.reached === null && machine.renewed > now) continue;
      const isNew = machine.reached === null && machine.missedSince === null;
      const isLost = isNew
        ? this.neverCame(machine, now, wall, bootOf(machine))
        : this.isLost(machine, now);
      if (!isLost) continue;
      lost.push(machine.name);
      this.noteGivenUp(machine, now);
    }
    return lost;
  }

  private noteGivenUp(machine: Machine, now: number): void {
    if (machine.isGivenUp) return;
    machine.isGivenUp = true;
    this.part.audit.note({
      event: 'machine-given-up',
      part: this.part.label,
      machine: machine.name,
      tasks: machine.entries.size,
      silentFor: now - (machine.reached ?? machine.created),
    });
  }

  private mostAreSilent(): boolean {
    let asked = 0;
    let silent = 0;
    for (const { reached, missed } of this.part.machines.values()) {
      if (reached === null && missed === 0) continue;
      asked++;
      if (missed > 0) silent++;
    }
    return silent * 2 > asked;
  }

  /**
   * Most are up within 1.5 times the boot time; one that isn't may never come, and is charged. After a
   * takeover every worker first has to find us; one that has tasks was up before.
   */
  private neverCame(machine: Machine, now: number, wall: number, boot: number): boolean {
    const { report } = this.options;
    const isOverdue = wall - machine.rentedAt > boot * 1.6 + report * 2;
    const isWatched = now - machine.created > report * 5;
    return isOverdue && isWatched && machine.entries.size === 0;
  }

  private isLost(machine: Machine, now: number): boolean {
    const { report } = this.options;
    const silentFor = now - (machine.reached ?? machine.created);
    const since = machine.missedSince;
    if (since === null || machine.missed < 2 || silentFor < report * 0.8) return false;
    const { answering, silent } = this.othersSince(machine, since);
    const isAlone = answering === 0 && silent === 0 && silentFor > report * 3;
    // When a cut ends most answer at once. The others have not been asked since, and were released as lost.
    const askedSince = machine.askedAt >= this.mostSilentAt;
    return isAlone || (answering > silent && askedSince);
  }

  /** Of the other machines, how many have answered since then, and how many are silent. */
  private othersSince(machine: Machine, since: number): { answering: number; silent: number } {
    let answering = 0;
    let silent = 0;
    for (const other of this.part.machines.values()) {
      if (other === machine || other.lost) continue;
      if (other.reached !== null && other.reached > since) answering++;
      else if (other.missed > 0) silent++;
    }
    return { answering, silent };
  }
}
