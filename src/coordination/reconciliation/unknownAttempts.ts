/**
 * Attempts that run on machines of a shard and that have no entry in the shard's state. Each is stopped as soon as it is
 * reported, and meanwhile its task is started nowhere else (safety, T18).
 */
import type { Machine } from '../model/machine.js';

/** Tracks the attempts that workers report and no chunk of the shard contains, by machine and by task. */
export class UnknownAttempts {
  private readonly tasksByMachine = new Map<Machine, string[]>();
  private readonly machinesByTask = new Map<string, Set<Machine>>();

  /** Replaces the machine's entries by what its worker has just reported. */
  update(machine: Machine): void {
    this.forget(machine);
    const tasks = machine.unknownAttempts.map(({ task }) => task);
    if (tasks.length === 0) return;
    this.tasksByMachine.set(machine, tasks);
    for (const task of tasks) {
      this.machinesByTask.set(task, (this.machinesByTask.get(task) ?? new Set()).add(machine));
    }
  }

  /** Removes the entries of a machine that is gone. */
  forget(machine: Machine): void {
    for (const task of this.tasksByMachine.get(machine) ?? []) {
      const machines = this.machinesByTask.get(task);
      if (machines?.delete(machine) === true && machines.size === 0)
        this.machinesByTask.delete(task);
    }
    this.tasksByMachine.delete(machine);
  }

  /**
   * A machine that last reported an unknown attempt of the task, and whose worker's lease may not have expired; null if
   * there is none.
   */
  findMachine(task: string, mayBeAlive: (machine: Machine) => boolean): Machine | null {
    for (const machine of this.machinesByTask.get(task) ?? [])
      if (mayBeAlive(machine)) return machine;
    return null;
  }
}
