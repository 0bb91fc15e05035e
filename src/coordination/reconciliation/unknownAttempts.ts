/**
 * Attempts that run on machines of a shard and that the shard does not know: each is ended as soon as it is seen. A task of
 * which such an attempt runs is started nowhere else meanwhile (safety, T18).
 */
import type { Machine } from '../model/machine.js';

/** Attempts that workers report and no chunk of the shard knows. */
export class UnknownAttempts {
  private readonly tasksOn = new Map<Machine, string[]>();
  private readonly machinesOf = new Map<string, Set<Machine>>();

  /** Takes in what the machine's worker has just reported. */
  update(machine: Machine): void {
    this.forget(machine);
    const tasks = machine.unknownAttempts.map(({ task }) => task);
    if (tasks.length === 0) return;
    this.tasksOn.set(machine, tasks);
    for (const task of tasks) {
      this.machinesOf.set(task, (this.machinesOf.get(task) ?? new Set()).add(machine));
    }
  }

  /** The machine is gone. */
  forget(machine: Machine): void {
    for (const task of this.tasksOn.get(machine) ?? []) {
      const machines = this.machinesOf.get(task);
      if (machines?.delete(machine) === true && machines.size === 0) this.machinesOf.delete(task);
    }
    this.tasksOn.delete(machine);
  }

  /** A machine that was last seen with such an attempt, and whose worker's lease may not be over. */
  findMachine(task: string, mayBeAlive: (machine: Machine) => boolean): Machine | null {
    for (const machine of this.machinesOf.get(task) ?? []) if (mayBeAlive(machine)) return machine;
    return null;
  }
}
