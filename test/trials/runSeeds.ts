/** Runs one trial per seed for a command-line program: prints what failed, and exits with 1 if anything did. */
import type { TrialResult } from './trial.js';

export interface SeedRunner<Result extends TrialResult> {
  /** What the program runs, in the plural, for the summary line. */
  pluralName: string;
  /** Number of seeds if the command line names none. */
  defaultCount: number;
  run: (seed: number) => Promise<Result>;
  /** One-line summary of a finished trial. */
  describeResult: (result: Result) => string;
  /** Description of the variant that a seed selects, printed after its number. */
  describeSeed?: (seed: number) => string;
  /** Whether overtaken answers are printed one by one. */
  printsOvertaken?: boolean;
}

function printProblems({ history, unfinished }: TrialResult, printsOvertaken: boolean): void {
  for (const { rule, detail } of history.violations) console.log(`  ${rule}: ${detail}`);
  if (printsOvertaken) {
    for (const detail of history.overtaken) console.log(`  overtaken: ${detail}`);
  }
  for (const id of unfinished) console.log(`  unfinished: ${id}`);
}

/** Reads the first seed and the number of seeds from the command line and runs them one after another. */
export async function runSeeds<Result extends TrialResult>(
  runner: SeedRunner<Result>,
): Promise<never> {
  const [first = 1, count = runner.defaultCount] = process.argv.slice(2).map(Number);
  let broken = 0;
  let unfinished = 0;
  let failed = 0;
  for (let seed = first; seed < first + count; seed++) {
    const name = `seed ${seed}${runner.describeSeed === undefined ? '' : ` (${runner.describeSeed(seed)})`}`;
    try {
      const result = await runner.run(seed);
      console.log(`${name}: ${runner.describeResult(result)}`);
      printProblems(result, runner.printsOvertaken === true);
      if (result.history.violations.length > 0) broken++;
      if (result.unfinished.length > 0) unfinished++;
    } catch (error) {
      failed++;
      console.log(`${name}: not finished: ${String(error)}`);
    }
  }
  console.log(
    `${count} ${runner.pluralName}: ${broken} broken, ${unfinished} with unfinished jobs, ${failed} not finished`,
  );
  process.exit(broken + unfinished + failed > 0 ? 1 : 0);
}
