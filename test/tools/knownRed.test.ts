/** Tests of the evaluation against KNOWN-RED.txt: failures of listed tests are ignored, any other failure is not. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { evaluate, MalformedListError, parseKnownRed } from '../knownRed/knownRed.js';

const LISTED = parseKnownRed(
  '# a comment\n\norders: is late | npm run unit, seed 7 | waits for ever | 33\n',
);

const passedTest = { test: 'orders: is sent', passed: true };

for (const { name, outcomes, listed = LISTED, passed, output } of [
  {
    name: 'a failure of a listed test is ignored',
    outcomes: [passedTest, { test: 'orders: is late', passed: false }],
    passed: true,
    output: /known red, failed: orders: is late \(npm run unit, seed 7; waits for ever; issue 33\)/,
  },
  {
    name: 'a listed test that passes is reported',
    outcomes: [passedTest, { test: 'orders: is late', passed: true }],
    passed: true,
    output: /known red, passed: orders: is late/,
  },
  {
    name: 'a listed test that was not run fails the run',
    outcomes: [passedTest],
    passed: false,
    output: /known red, NOT FOUND: orders: is late/,
  },
  {
    name: 'a failure that is not listed fails the run, even with the name of a listed test of another file',
    outcomes: [
      { test: 'orders: is late', passed: false },
      { test: 'users: is late', passed: false },
    ],
    passed: false,
    output: /^failed: users: is late$/m,
  },
  { name: 'a run without tests fails', outcomes: [], listed: [], passed: false, output: /^$/ },
  {
    name: 'all tests passed and none is listed',
    outcomes: [passedTest],
    listed: [],
    passed: true,
    output: /^$/,
  },
]) {
  test(`known red: ${name}`, () => {
    const verdict = evaluate(outcomes, listed);
    assert.equal(verdict.passed, passed);
    assert.match(verdict.lines.join('\n'), output);
  });
}

for (const [name, text] of [
  ['a line without an issue', 'orders: is late | npm run unit | waits'],
  ['a line of an earlier form, without a command', 'orders: is late | a lost answer | 33'],
  ['a line with too many fields', 'orders: is late | npm run unit | waits | 33 | b'],
  ['an empty command', 'orders: is late |  | waits | 33'],
  ['an empty observation', 'orders: is late | npm run unit |  | 33'],
  ['an issue that is no number', 'orders: is late | npm run unit | waits | later'],
  ['a test without its file', 'is late | npm run unit | waits | 33'],
  ['four tests', ['a', 'b', 'c', 'd'].map((t) => `${t}: x | run | waits | 33`).join('\n')],
] as const) {
  test(`known red: malformed: ${name}`, () => {
    assert.throws(() => parseKnownRed(text), MalformedListError);
  });
}
