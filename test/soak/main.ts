/** `npm run soak`: runs soak tests, one per seed, on real processes; see docs/soak.md. */
import { parseArguments, UsageError, USAGE, type SoakArguments } from './commandLine.js';
import { Soak, type SoakResult } from './soak.js';

const EXIT_BROKEN = 1;
const EXIT_USAGE = 2;
const EXIT_INTERRUPTED = 130;

interface Tally {
  completed: number;
  broken: number;
  unfinished: number;
  failedToRun: number;
}

const running = new Set<Soak>();

function interrupt(): void {
  for (const soak of running) soak.close();
  process.exit(EXIT_INTERRUPTED);
}

function printResult({
  seed,
  jobs,
  accepted,
  starts,
  failures: broken,
  unfinished,
}: SoakResult): void {
  const verdict = broken.length > 0 ? 'BROKEN' : unfinished.length > 0 ? 'unfinished' : 'ok';
  console.log(
    `seed ${seed}: ${verdict}; ${jobs} jobs, ${accepted} accepted with stages, ${starts} starts`,
  );
  for (const detail of broken.slice(0, 10)) console.log(`  ${detail}`);
  if (unfinished.length > 0) console.log(`  unfinished: ${unfinished.slice(0, 10).join(' ')}`);
}

async function runOne(seed: number, options: SoakArguments, tally: Tally): Promise<void> {
  const { size, outputFolder, logLevel } = options;
  const soak = new Soak(seed, { size, outputFolder, logLevel });
  running.add(soak);
  try {
    const result = await soak.run();
    printResult(result);
    tally.completed++;
    if (result.failures.length > 0) tally.broken++;
    else if (result.unfinished.length > 0) tally.unfinished++;
  } catch (error) {
    tally.failedToRun++;
    console.log(`seed ${seed}: could not be played: ${String(error)}`);
  } finally {
    running.delete(soak);
  }
}

async function runAll(options: SoakArguments): Promise<number> {
  const tally: Tally = { completed: 0, broken: 0, unfinished: 0, failedToRun: 0 };
  let next = options.first;
  const workers = Array.from({ length: options.jobs }, async () => {
    while (next <= options.last) await runOne(next++, options, tally);
  });
  await Promise.all(workers);
  const { completed, broken, unfinished, failedToRun } = tally;
  console.log(
    `soak: ${completed} played, ${broken} broken, ${unfinished} unfinished, ${failedToRun} could not be played`,
  );
  return broken + unfinished + failedToRun > 0 ? EXIT_BROKEN : 0;
}

process.on('SIGINT', interrupt);
process.on('SIGTERM', interrupt);
try {
  process.exit(await runAll(parseArguments(process.argv.slice(2))));
} catch (error) {
  if (!(error instanceof UsageError)) throw error;
  console.error(`${error.message}\n${USAGE}`);
  process.exit(EXIT_USAGE);
}
