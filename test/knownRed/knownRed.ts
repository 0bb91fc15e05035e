/**
 * KNOWN-RED.txt: tests that fail for a fault which is known and not mended yet. A line is
 * `FILE: NAME | COMMAND AND SEED | SEEN | ISSUE`. Their outcome is printed and does not count; any other failure does, and
 * so does a listed test that was not run.
 */

/** The form of a line, as messages name it. */
const LINE_FORM = 'FILE: NAME | COMMAND AND SEED | SEEN | ISSUE';

/** A test as a line names it: its file without an ending, and its name. */
const TEST_NAME = /^\w+: \S/;

/** An issue is named by its number. */
const ISSUE_NUMBER = /^\d+$/;

/** The file may not hold more: a longer list hides what is new. */
export const MAX_LISTED_TESTS = 3;

export interface ListedTest {
  /** As `FILE: NAME`, where FILE is the test file without its ending. */
  test: string;
  /** What plays it: a command, with its seed where it has one. */
  command: string;
  /** What was seen. */
  seen: string;
  /** The number of the open issue. */
  issue: string;
}

export interface Outcome {
  test: string;
  passed: boolean;
}

export interface Verdict {
  /** What to print, line by line. */
  lines: string[];
  passed: boolean;
}

export class MalformedListError extends Error {}

/** Reads the list; empty lines and those that begin with `#` are passed over. */
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
  const isWhole = test && command && seen && issue && rest.length === 0;
  if (!isWhole || !TEST_NAME.test(test) || !ISSUE_NUMBER.test(issue)) {
    throw new MalformedListError(`not "${LINE_FORM}": ${line}`);
  }
  return { test, command, seen, issue };
}

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
