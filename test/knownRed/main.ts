/** Runs test files and judges their outcomes by KNOWN-RED.txt: `node main.js FILE...`. */
import { existsSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { run } from 'node:test';
import { tap } from 'node:test/reporters';
import {
  evaluate,
  MalformedListError,
  parseKnownRed,
  type ListedTest,
  type Outcome,
} from './knownRed.js';

const LIST = 'KNOWN-RED.txt';

/** What `node --test` allows a file. */
const TIMEOUT_MS = 100_000;

/** The part of a test's event that is needed here. */
interface TestEvent {
  name: string;
  file?: string;
  nesting: number;
}

/** A file that ends badly is an outcome too, by its own name. */
function testOf({ name, file }: TestEvent): string {
  const base = path.basename(file ?? name).replace(/\.test\.js$/, '');
  return path.isAbsolute(name) ? `${base}: the file` : `${base}: ${name}`;
}

/** A list that can't be read ends the run with one line. */
function readList(): ListedTest[] {
  try {
    return parseKnownRed(existsSync(LIST) ? readFileSync(LIST, 'utf8') : '');
  } catch (error) {
    if (!(error instanceof MalformedListError)) throw error;
    console.error(`${LIST}: ${error.message}`);
    process.exit(1);
  }
}

const listed = readList();
const files = process.argv.slice(2).map((file) => path.resolve(file));
const outcomes: Outcome[] = [];
const note = (event: TestEvent, passed: boolean): void => {
  if (event.nesting === 0) outcomes.push({ test: testOf(event), passed });
};

const stream = run({ files, concurrency: true, timeout: TIMEOUT_MS, forceExit: true });
stream.on('test:pass', (event) => {
  note(event, true);
});
stream.on('test:fail', (event) => {
  note(event, false);
});
stream.compose(tap).pipe(process.stdout);
stream.on('end', () => {
  const { lines, passed } = evaluate(outcomes, listed);
  // After the closing lines of the reporter.
  setImmediate(() => {
    process.stdout.write(`${lines.map((line) => `# ${line}\n`).join('')}`);
    process.exitCode = passed ? 0 : 1;
  });
});
