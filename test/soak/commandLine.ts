/** Command-line arguments of `npm run soak`. */
import { parseArgs } from 'node:util';
import type { SoakSize } from './plan.js';

export const USAGE = `usage: npm run soak -- --seeds A..B [options]
  --seeds A..B     the seeds to play, or a single one
  --size SIZE      ci, usual (the default) or large
  --jobs N         seeds at once, 1 to 8 (1)
  --keep DIR       where plans and logs of broken seeds are kept (target/soak)
  --log LEVEL      what controllers log: error, info (the default) or debug`;

export class UsageError extends Error {}

export interface SoakArguments {
  first: number;
  last: number;
  size: SoakSize;
  jobs: number;
  outputFolder: string;
  logLevel: string;
}

const SIZES: readonly string[] = ['ci', 'usual', 'large'];
const LEVELS: readonly string[] = ['error', 'info', 'debug'];
const MAX_SEEDS = 10_000;

export function parseArguments(args: string[]): SoakArguments {
  const {
    seeds,
    size = 'usual',
    jobs = '1',
    keep = 'target/soak',
    log = 'info',
  } = readOptions(args);
  const [first, last] = parseSeeds(seeds);
  if (!SIZES.includes(size)) throw new UsageError(`--size: there is no ${size}`);
  if (!LEVELS.includes(log)) throw new UsageError(`--log: there is no ${log}`);
  if (!/^[1-8]$/.test(jobs)) throw new UsageError(`--jobs: ${jobs} is not from 1 to 8`);
  return {
    first,
    last,
    size: size as SoakSize,
    jobs: Number(jobs),
    outputFolder: keep,
    logLevel: log,
  };
}

function readOptions(
  args: string[],
): Partial<Record<'seeds' | 'size' | 'jobs' | 'keep' | 'log', string>> {
  const text = { type: 'string' } as const;
  try {
    return parseArgs({
      args,
      options: { seeds: text, size: text, jobs: text, keep: text, log: text },
    }).values;
  } catch (error) {
    throw new UsageError(error instanceof Error ? error.message : String(error));
  }
}

function parseSeeds(text: string | undefined): [number, number] {
  const match = /^(\d{1,9})(?:\.\.(\d{1,9}))?$/.exec(text ?? '');
  if (match === null) throw new UsageError('--seeds: name the seeds, as in 1..20');
  const first = Number(match[1]);
  const last = match[2] === undefined ? first : Number(match[2]);
  if (last < first) throw new UsageError(`--seeds: ${first} is above ${last}`);
  if (last - first >= MAX_SEEDS) throw new UsageError(`--seeds: at most ${MAX_SEEDS} at a time`);
  return [first, last];
}
