/** Which failures count: what KNOWN-RED.txt lists does not, anything else does. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { evaluate, MalformedListError, parseKnownRed } from '../knownRed/knownRed.js';

const LISTED = parseKnownRed(
  '# a comment\n\norders: is late | npm run unit, seed 7 | waits for ever | 33\n',
);

const good = { test: 'orders: is sent', passed: true };

for (const { name, outcomes, listed = LISTED, passed, says } of [
  {
    name: 'a listed test that fails is passed over',
    outcomes: [good, { test: 'orders: is late', passed: false }],
    passed: true,
    says: /known red, failed: orders: is late \(npm run unit, seed 7; waits for ever; issue 33\)/,
  },
  {
    name: 'a listed test that passes is said so',
    outcomes: [good, { test: 'orders: is late', passed: true }],
    passed: true,
    says: /known red, passed: orders: is late/,
  },
  {
    name: 'a listed test that was not run fails',
    outcomes: [good],
    passed: false,
    says: /known red, NOT FOUND: orders: is late/,
  },
  {
    name: 'a failure that is not listed fails, also one of the same name in another file',
    outcomes: [
      { test: 'orders: is late', passed: false },
      { test: 'users: is late', passed: false },
    ],
    passed: false,
    says: /^failed: users: is late$/m,
  },
  { name: 'no test at all fails', outcomes: [], listed: [], passed: false, says: /^$/ },
  { name: 'all passed, none listed', outcomes: [good], listed: [], passed: true, says: /^$/ },
]) {
  test(`known red: ${name}`, () => {
    const verdict = evaluate(outcomes, listed);
    assert.equal(verdict.passed, passed);
    assert.match(verdict.lines.join('\n'), says);
  });
}

for (const [name, text] of [
  ['a line without an issue', 'orders: is late | npm run unit | waits'],
  ['a line of the earlier form, without a command', 'orders: is late | a lost answer | 33'],
  ['a line with a field too many', 'orders: is late | npm run unit | waits | 33 | b'],
  ['an empty command', 'orders: is late |  | waits | 33'],
  ['nothing that was seen', 'orders: is late | npm run unit |  | 33'],
  ['an issue without a number', 'orders: is late | npm run unit | waits | later'],
  ['a test without its file', 'is late | npm run unit | waits | 33'],
  ['four tests', ['a', 'b', 'c', 'd'].map((t) => `${t}: x | run | waits | 33`).join('\n')],
] as const) {
  test(`known red: refused: ${name}`, () => {
    assert.throws(() => parseKnownRed(text), MalformedListError);
  });
}
