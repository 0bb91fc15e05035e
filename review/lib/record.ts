/** The log of a case, and its end. */
import { appendFileSync, writeFileSync } from 'node:fs';

const startedAt = performance.now();

/** Seconds since the start of the case. */
export const elapsed = (): number => (performance.now() - startedAt) / 1000;

/** Whether the case plays its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Waits. */
export const sleep = (seconds: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, seconds * 1000));

/** Waits until `test` holds; false if it does not within `seconds`. */
export async function waitFor(
  test: () => boolean | Promise<boolean>,
  seconds: number,
  pause = 0.2,
): Promise<boolean> {
  const deadline = elapsed() + seconds;
  while (elapsed() < deadline) {
    if (await test()) return true;
    await sleep(pause);
  }
  return false;
}

/** A case that could not run; it ends with exit code 2. */
export class CannotRun extends Error {}

/** Writes `record.txt`: what was sent, answered and run. */
export class Recorder {
  /** Each rule that was broken, with its detail. */
  readonly broken: string[] = [];

  constructor(private readonly path: string) {
    writeFileSync(path, '');
    this.note(`case with TROUBLE=${hasTrouble ? '1' : '0'}`);
  }

  /** Writes one line. */
  note(text: string): void {
    appendFileSync(this.path, `${elapsed().toFixed(2).padStart(7)} ${text}\n`);
  }

  /** Records a broken rule. */
  breaks(rule: string, detail: string): void {
    this.broken.push(`${rule}: ${detail}`);
    this.note(`BROKEN ${rule}: ${detail}`);
  }
}

/** Runs a case and ends the process: 1 if a rule was broken, 0 if all held, 2 if the case could not run. */
export async function runCase(
  path: string,
  play: (record: Recorder) => Promise<void>,
  cleanUp: () => Promise<void>,
): Promise<never> {
  // Several runs at once need files of their own.
  const record = new Recorder(process.env.RECORD ?? path);
  let code = 2;
  const watchdog = setTimeout(() => {
    record.note('the case took too long');
    void cleanUp().finally(() => process.exit(2));
  }, 116_000);
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => {
      void cleanUp().finally(() => process.exit(2));
    });
  }
  try {
    await play(record);
    code = record.broken.length > 0 ? 1 : 0;
  } catch (error) {
    record.note(`cannot run: ${error instanceof Error ? (error.stack ?? error.message) : 'error'}`);
  }
  await cleanUp();
  clearTimeout(watchdog);
  record.note(code === 1 ? 'result: broken' : code === 0 ? 'result: held' : 'result: did not run');
  process.stdout.write(`exit ${code} ${record.broken.join('; ')}\n`);
  process.exit(code);
}
