/** Checks that each source or test file that a documentation page names in backticks exists. */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';

/** Pages that may name files of earlier versions. */
const HISTORICAL_PAGES = ['measurements.md', 'ROADMAP.md'];

const pages = [
  'README.md',
  'CONTRIBUTING.md',
  ...readdirSync('docs')
    .filter((name) => name.endsWith('.md') && !HISTORICAL_PAGES.includes(name))
    .map((name) => join('docs', name)),
];

/** Folders whose files a page may name, relative to the root. */
const ROOTS = ['src', 'test', 'packages/rollout/src', 'packages/rollout/test'];

const sources = ROOTS.flatMap((root) =>
  readdirSync(root, { recursive: true, encoding: 'utf8' }).map((name) => join(root, name)),
).filter((file) => file.endsWith('.ts'));

/** Text between backticks, outside of code blocks. */
function codeSpans(page: string): string[] {
  const prose = page.replace(/^ *```[^]*?^ *```/gm, '');
  return [...prose.matchAll(/`([^`\n]+)`/g)].map(([, span]) => span ?? '');
}

/** TypeScript files that code spans name: as `x.ts`, `folder/x.ts`, or `x.test` for a test file. */
function namedFiles(page: string): string[] {
  const words = codeSpans(page).flatMap((span) => span.split(/[\s,]+/));
  return words
    .map((word) => word.replace(/^\.\//, ''))
    .filter((word) => /^[\w./-]+\.(ts|test)$/.test(word))
    .map((word) => (word.endsWith('.test') ? `${word}.ts` : word));
}

/** Whether a source file has this path, or a path that ends with this one at a folder boundary. */
const exists = (name: string): boolean =>
  sources.some((file) => file === name || file.endsWith(`/${name}`));

for (const page of pages) {
  test(`documentation: ${page} names only files that exist`, () => {
    const missing = namedFiles(readFileSync(page, 'utf8')).filter((name) => !exists(name));
    assert.deepEqual([...new Set(missing)], []);
  });
}

for (const { name, text, files } of [
  { name: 'a file', text: 'see `shard.ts`.', files: ['shard.ts'] },
  { name: 'a path', text: 'see `src/base/log.ts`', files: ['src/base/log.ts'] },
  {
    name: 'the short form of a test',
    text: '`test/cluster/outages.test`',
    files: ['test/cluster/outages.test.ts'],
  },
  { name: 'a file followed by a member', text: '`shard.ts requestStop`', files: ['shard.ts'] },
  { name: 'nothing without backticks', text: 'see shard.ts', files: [] },
  { name: 'nothing in a code block', text: '```\n`shard.ts`\n```\n', files: [] },
  { name: 'no file of another type', text: '`deploy/service.toml`', files: [] },
]) {
  test(`documentation: found in a page: ${name}`, () => {
    assert.deepEqual(namedFiles(text), files);
  });
}

test('documentation: a file is identified by the end of its path', () => {
  assert.equal(exists('base/log.ts'), true);
  assert.equal(exists('og.ts'), false);
  assert.equal(exists('storage/log.ts'), false);
});
