/** Which machines of a part are silent, and since when what ran there is over. */
import { DRIFT } from '../base/clock.js';
import type { Machine } from './machine.js';
import type { Part, PartOptions } from './part.js';

export class Liveness {
  /** When most of the machines were last silent: more likely a fault on our side than on theirs. */
  private mostSilentAt = -Infinity;

  constructor(
    private readonly part: Pick<Part, 'machines' | 'release'>,
    private readonly options: Pick<PartOptions, 'lease' | 'report'>,
  ) {}

  /** Silent machines: what ran there is over once nobody can have renewed the lease that long. */
  sweep(now: number): void {
    for (const machine of this.part.machines.values()) {
      machine.cutOff = now - (machine.reportedAt ?? machine.created) > this.options.lease / 2;
      const limit = this.options.lease * (1 + DRIFT) + this.options.report / 2;
      if (machine.entries.size === 0 || now - machine.renewed <= limit) continue;
      machine.lost = true;
      for (const placed of [...machine.entries.values()]) this.part.release(machine, placed, now);
    }
  }

  /**
   * Machines so long silent that they count as lost. Ending them is the quickest proof that their
   * tasks are over. When no other machine has answered since, the fault is more likely ours: a node
   * that lost its network once asked for the release of healthy machines, and the request was carried
   * out when the cut was over.
   */
  lostMachines(now: number, bootOf: (machine: Machine) => number, wall: number): string[] {
    const { report } = this.options;
    const lost: string[] = [];
    let asked = 0;
    let quiet = 0;
    for (const { reached, missed } of this.part.machines.values()) {
      if (reached === null && missed === 0) continue;
      asked++;
      if (missed > 0) quiet++;
    }
    if (quiet * 2 > asked) this.mostSilentAt = now;
    for (const machine of this.part.machines.values()) {
      // Its last owner may be alive and answer it: that we can't reach it says nothing of the machine.
      if (machine.reached === null && machine.renewed > now) continue;
      const since = machine.missedSince;
      if (machine.reached === null && since === null) {
        // Most are up within 1.5 times the boot time; one that isn't may never come, and is charged.
        // After a takeover every worker first has to find us; one that has tasks was up before.
        const age = wall - machine.rentedAt;
        const overdue = age > bootOf(machine) * 1.6 + report * 2;
        const watched = now - machine.created > report * 5;
        if (overdue && watched && machine.entries.size === 0) lost.push(machine.name);
        continue;
      }
      const last = machine.reached ?? machine.created;
      if (since === null || machine.missed < 2 || now - last < report * 0.8) continue;
      let silent = 0;
      let heard = 0;
      for (const other of this.part.machines.values()) {
        if (other === machine || other.lost) continue;
        if (other.reached !== null && other.reached > since) heard++;
        else if (other.missed > 0) silent++;
      }
      const alone = heard === 0 && silent === 0 && now - last > report * 3;
      // When a cut ends most answer at once. The others have not been asked since, and were released as lost.
      const askedSince = machine.askedAt >= this.mostSilentAt;
      if ((heard > silent && askedSince) || alone) lost.push(machine.name);
    }
    return lost;
  }
}
