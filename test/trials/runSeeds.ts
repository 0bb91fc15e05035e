/** Plays trials seed by seed for the command line: prints what broke, and ends the process with 1 if anything did. */
import type { TrialResult } from './trial.js';

export interface SeedRunner<Result extends TrialResult> {
  /** What is played, in the plural. */
  pluralName: string;
  /** How many are played unless the command line says so. */
  defaultCount: number;
  run: (seed: number) => Promise<Result>;
  /** One line on a trial that has ended. */
  describeResult: (result: Result) => string;
  /** What a seed stands for, beside its number. */
  describeSeed?: (seed: number) => string;
  /** Whether answers that were overtaken are listed. */
  printsOvertaken?: boolean;
}

function printFaults({ history, unfinished }: TrialResult, listsOvertaken: boolean): void {
  for (const { rule, detail } of history.violations) console.log(`  ${rule}: ${detail}`);
  if (listsOvertaken) {
    for (const detail of history.overtaken) console.log(`  overtaken: ${detail}`);
  }
  for (const id of unfinished) console.log(`  unfinished: ${id}`);
}

/** Arguments of the command line: the first seed and how many. */
export async function runSeeds<Result extends TrialResult>(
  player: SeedRunner<Result>,
): Promise<never> {
  const [first = 1, count = player.defaultCount] = process.argv.slice(2).map(Number);
  let broken = 0;
  let unfinished = 0;
  let failed = 0;
  for (let seed = first; seed < first + count; seed++) {
    const name = `seed ${seed}${player.describeSeed === undefined ? '' : ` (${player.describeSeed(seed)})`}`;
    try {
      const result = await player.run(seed);
      console.log(`${name}: ${player.describeResult(result)}`);
      printFaults(result, player.printsOvertaken === true);
      if (result.history.violations.length > 0) broken++;
      if (result.unfinished.length > 0) unfinished++;
    } catch (error) {
      failed++;
      console.log(`${name}: not finished: ${String(error)}`);
    }
  }
  console.log(
    `${count} ${player.pluralName}: ${broken} broken, ${unfinished} with unfinished jobs, ${failed} not finished`,
  );
  process.exit(broken + unfinished + failed > 0 ? 1 : 0);
}
