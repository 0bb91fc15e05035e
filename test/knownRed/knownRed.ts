/**
 * Evaluates test outcomes against KNOWN-RED.txt, the list of tests that fail because of known, unfixed faults. A line has the
 * form `FILE: NAME | COMMAND AND SEED | SEEN | ISSUE`. Outcomes of listed tests are printed and ignored. Any other failure fails
 * the run, as does a listed test that was not run.
 */

/** The form of a line, for error messages. */
const LINE_FORM = 'FILE: NAME | COMMAND AND SEED | SEEN | ISSUE';

/** A test as named in a line: its file without extension, and its name. */
const TEST_NAME = /^\w+: \S/;

/** An issue is given by its number alone. */
const ISSUE_NUMBER = /^\d+$/;

/** Largest number of listed tests: a longer list would hide new failures. */
export const MAX_LISTED_TESTS = 3;

export interface ListedTest {
  /** `FILE: NAME`, where FILE is the name of the test file without extension. */
  test: string;
  /** The command that reproduces the failure, with its seed if it has one. */
  command: string;
  /** The observed failure. */
  seen: string;
  /** Number of the open issue. */
  issue: string;
}

/** The outcome of one test of a run. */
export interface Outcome {
  test: string;
  passed: boolean;
}

/** The result of a run. */
export interface Verdict {
  /** Lines to print. */
  lines: string[];
  passed: boolean;
}

/** The list cannot be parsed, or is too long. */
export class MalformedListError extends Error {}

/** Parses the list; skips empty lines and lines that begin with `#`. */
export function parseKnownRed(text: string): ListedTest[] {
  const listed: ListedTest[] = [];
  for (const line of text.split('\n')) {
    if (line.trim() === '' || line.startsWith('#')) continue;
    listed.push(parseLine(line));
  }
  if (listed.length > MAX_LISTED_TESTS) {
    throw new MalformedListError(
      `${listed.length} tests are listed, at most ${MAX_LISTED_TESTS} may be`,
    );
  }
  return listed;
}

function parseLine(line: string): ListedTest {
  const [test, command, seen, issue, ...rest] = line.split(' | ').map((field) => field.trim());
  const isComplete = test && command && seen && issue && rest.length === 0;
  if (!isComplete || !TEST_NAME.test(test) || !ISSUE_NUMBER.test(issue)) {
    throw new MalformedListError(`not "${LINE_FORM}": ${line}`);
  }
  return { test, command, seen, issue };
}

/** Decides whether a run passed. */
export function evaluate(outcomes: readonly Outcome[], listed: readonly ListedTest[]): Verdict {
  const lines: string[] = [];
  let passed = true;
  const known = new Set(listed.map(({ test }) => test));
  for (const { test, command, seen, issue } of listed) {
    const found = outcomes.filter((outcome) => outcome.test === test);
    if (found.length === 0) passed = false;
    const failed = found.some((outcome) => !outcome.passed);
    const outcome = found.length === 0 ? 'NOT FOUND' : failed ? 'failed' : 'passed';
    lines.push(`known red, ${outcome}: ${test} (${command}; ${seen}; issue ${issue})`);
  }
  const failures = outcomes.filter((outcome) => !outcome.passed && !known.has(outcome.test));
  for (const { test } of failures) lines.push(`failed: ${test}`);
  if (failures.length > 0 || outcomes.length === 0) passed = false;
  return { lines, passed };
}
