/** File names in the pages: each source or test file that a page names in backticks exists. */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';

/** Pages that tell of the past name files as they were then. */
const HISTORY = ['measurements.md', 'ROADMAP.md'];

const pages = [
  'README.md',
  'CONTRIBUTING.md',
  ...readdirSync('docs')
    .filter((name) => name.endsWith('.md') && !HISTORY.includes(name))
    .map((name) => join('docs', name)),
];

/** Folders whose files a page may name, with paths from the root. */
const ROOTS = ['src', 'test', 'packages/rollout/src', 'packages/rollout/test'];

const sources = ROOTS.flatMap((root) =>
  readdirSync(root, { recursive: true, encoding: 'utf8' }).map((name) => join(root, name)),
).filter((file) => file.endsWith('.ts'));

/** Text between backticks, without blocks of code. */
function codeSpans(page: string): string[] {
  const prose = page.replace(/^ *```[^]*?^ *```/gm, '');
  return [...prose.matchAll(/`([^`\n]+)`/g)].map(([, span]) => span ?? '');
}

/**
 * Names of TypeScript files among the words of a code span: `x.ts`, `folder/x.ts`, or the short form `x.test` of a test.
 */
function namedFiles(page: string): string[] {
  const words = codeSpans(page).flatMap((span) => span.split(/[\s,]+/));
  return words
    .map((word) => word.replace(/^\.\//, ''))
    .filter((word) => /^[\w./-]+\.(ts|test)$/.test(word))
    .map((word) => (word.endsWith('.test') ? `${word}.ts` : word));
}

/** A page may leave folders out as long as the end of the path is whole. */
const exists = (name: string): boolean =>
  sources.some((file) => file === name || file.endsWith(`/${name}`));

for (const page of pages) {
  test(`pages: ${page} names only files that exist`, () => {
    const missing = namedFiles(readFileSync(page, 'utf8')).filter((name) => !exists(name));
    assert.deepEqual([...new Set(missing)], []);
  });
}

for (const { name, text, files } of [
  { name: 'a file', text: 'see `shard.ts`.', files: ['shard.ts'] },
  { name: 'a path', text: 'see `src/base/log.ts`', files: ['src/base/log.ts'] },
  {
    name: 'a test in short',
    text: '`test/cluster/outages.test`',
    files: ['test/cluster/outages.test.ts'],
  },
  { name: 'with a member behind it', text: '`shard.ts requestStop`', files: ['shard.ts'] },
  { name: 'not without backticks', text: 'see shard.ts', files: [] },
  { name: 'not a block of code', text: '```\n`shard.ts`\n```\n', files: [] },
  { name: 'not another kind of file', text: '`deploy/service.toml`', files: [] },
]) {
  test(`pages: found: ${name}`, () => {
    assert.deepEqual(namedFiles(text), files);
  });
}

test('pages: a file is known by the end of its path only', () => {
  assert.equal(exists('base/log.ts'), true);
  assert.equal(exists('og.ts'), false);
  assert.equal(exists('storage/log.ts'), false);
});
