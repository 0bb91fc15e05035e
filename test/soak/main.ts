/** `npm run soak`: plays seeds on real processes; see docs/soak.md. */
import { parseArguments, UsageError, USAGE, type SoakArguments } from './commandLine.js';
import { Soak, type SoakResult } from './soak.js';

const EXIT_BROKEN = 1;
const EXIT_USAGE = 2;
const EXIT_INTERRUPTED = 130;

interface Tally {
  played: number;
  broken: number;
  unfinished: number;
  notPlayed: number;
}

const running = new Set<Soak>();

function endAll(): void {
  for (const soak of running) soak.close();
  process.exit(EXIT_INTERRUPTED);
}

function print({ seed, jobs, accepted, starts, failures: broken, unfinished }: SoakResult): void {
  const verdict = broken.length > 0 ? 'BROKEN' : unfinished.length > 0 ? 'unfinished' : 'ok';
  console.log(
    `seed ${seed}: ${verdict}; ${jobs} jobs, ${accepted} accepted with stages, ${starts} starts`,
  );
  for (const detail of broken.slice(0, 10)) console.log(`  ${detail}`);
  if (unfinished.length > 0) console.log(`  unfinished: ${unfinished.slice(0, 10).join(' ')}`);
}

async function playOne(seed: number, options: SoakArguments, tally: Tally): Promise<void> {
  const { size, outputFolder: folder, logLevel: logLevel } = options;
  const soak = new Soak(seed, { size, outputFolder: folder, logLevel });
  running.add(soak);
  try {
    const result = await soak.run();
    print(result);
    tally.played++;
    if (result.failures.length > 0) tally.broken++;
    else if (result.unfinished.length > 0) tally.unfinished++;
  } catch (error) {
    tally.notPlayed++;
    console.log(`seed ${seed}: could not be played: ${String(error)}`);
  } finally {
    running.delete(soak);
  }
}

async function playAll(options: SoakArguments): Promise<number> {
  const tally: Tally = { played: 0, broken: 0, unfinished: 0, notPlayed: 0 };
  let next = options.first;
  const lanes = Array.from({ length: options.jobs }, async () => {
    while (next <= options.last) await playOne(next++, options, tally);
  });
  await Promise.all(lanes);
  const { played, broken, unfinished, notPlayed } = tally;
  console.log(
    `soak: ${played} played, ${broken} broken, ${unfinished} unfinished, ${notPlayed} could not be played`,
  );
  return broken + unfinished + notPlayed > 0 ? EXIT_BROKEN : 0;
}

process.on('SIGINT', endAll);
process.on('SIGTERM', endAll);
try {
  process.exit(await playAll(parseArguments(process.argv.slice(2))));
} catch (error) {
  if (!(error instanceof UsageError)) throw error;
  console.error(`${error.message}\n${USAGE}`);
  process.exit(EXIT_USAGE);
}
