/** Runs test files, and evaluates their outcomes against KNOWN-RED.txt: `node main.js FILE...`. */
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

/** Timeout for a test file, as `node --test` applies it. */
const TIMEOUT_MS = 100_000;

/** The used fields of the test runner's events. */
interface TestEvent {
  name: string;
  file?: string;
  nesting: number;
}

/** The name of a test as in the list. A file that fails as a whole is named `FILE: the file`. */
function testNameOf({ name, file }: TestEvent): string {
  const base = path.basename(file ?? name).replace(/\.test\.js$/, '');
  return path.isAbsolute(name) ? `${base}: the file` : `${base}: ${name}`;
}

/** Reads the list; exits with an error message if it cannot be parsed. */
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
const recordOutcome = (event: TestEvent, passed: boolean): void => {
  if (event.nesting === 0) outcomes.push({ test: testNameOf(event), passed });
};

const stream = run({ files, concurrency: true, timeout: TIMEOUT_MS, forceExit: true });
stream.on('test:pass', (event) => {
  recordOutcome(event, true);
});
stream.on('test:fail', (event) => {
  recordOutcome(event, false);
});
stream.compose(tap).pipe(process.stdout);
stream.on('end', () => {
  const { lines, passed } = evaluate(outcomes, listed);
  // Printed after the reporter's summary.
  setImmediate(() => {
    process.stdout.write(`${lines.map((line) => `# ${line}\n`).join('')}`);
    process.exitCode = passed ? 0 : 1;
  });
});
