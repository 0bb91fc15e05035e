/**
 * KNOWN-RED.txt: tests that fail for a fault which is known and not mended yet. A line is `FILE: NAME | CAUSE | ISSUE`.
 * Their outcome is printed and does not count; any other failure does, and so does a listed test that was not run.
 */

/** The file may not hold more: a longer list hides what is new. */
export const MOST_LISTED = 3;

export interface ListedTest {
  /** As `FILE: NAME`, where FILE is the test file without its ending. */
  test: string;
  cause: string;
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
    const [test, cause, issue, ...rest] = line.split(' | ').map((part) => part.trim());
    if (!test || !cause || !issue || rest.length > 0) {
      throw new MalformedListError(`not "FILE: NAME | CAUSE | ISSUE": ${line}`);
    }
    listed.push({ test, cause, issue });
  }
  if (listed.length > MOST_LISTED) {
    throw new MalformedListError(
      `${listed.length} tests are listed, at most ${MOST_LISTED} may be`,
    );
  }
  return listed;
}

export function judge(outcomes: readonly Outcome[], listed: readonly ListedTest[]): Verdict {
  const lines: string[] = [];
  let passed = true;
  const known = new Set(listed.map(({ test }) => test));
  for (const { test, cause, issue } of listed) {
    const found = outcomes.filter((outcome) => outcome.test === test);
    if (found.length === 0) passed = false;
    const failed = found.some((outcome) => !outcome.passed);
    const outcome = found.length === 0 ? 'NOT FOUND' : failed ? 'failed' : 'passed';
    lines.push(`known red, ${outcome}: ${test} (${cause}; issue ${issue})`);
  }
  const failures = outcomes.filter((outcome) => !outcome.passed && !known.has(outcome.test));
  for (const { test } of failures) lines.push(`failed: ${test}`);
  if (failures.length > 0 || outcomes.length === 0) passed = false;
  return { lines, passed };
}
