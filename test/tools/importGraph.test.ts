/**
 * Checks that the import graph of src/ has no cycles, and that folders of src/coordination import only from lower ones. Imports of
 * types count: they load nothing, but readers of the module have to read the imported one as well.
 */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize } from 'node:path';
import { test } from 'node:test';
import ts from 'typescript';

/** Folders of src/coordination from top to bottom: each imports only from itself and from later ones. */
const COORDINATION_FOLDERS = [
  'controller',
  'rollout',
  'jobs',
  'pipelines',
  'migration',
  'autoscaling',
  'commands',
  'persistence',
  'leadership',
  'peers',
  'shard',
  'scheduling',
  'quota',
  'reconciliation',
  'model',
  'audit',
];

/** Upward imports that still have to be removed, relative to `src/coordination/`. Never add one. */
const KNOWN_UPWARD_IMPORTS: readonly string[] = [];

/** Modules that are still part of an import cycle, relative to `src/coordination/`. Never add one. */
const KNOWN_CYCLE_MEMBERS: readonly string[] = [];

type ImportGraph = ReadonlyMap<string, readonly string[]>;

/** The modules that a source file imports or re-exports, without dynamic `import()`. */
function importedModules(file: string, text: string): string[] {
  const source = ts.createSourceFile(file, text, ts.ScriptTarget.Latest);
  const specifiers = source.statements.flatMap((statement) => {
    const isImport = ts.isImportDeclaration(statement) || ts.isExportDeclaration(statement);
    const specifier = isImport ? statement.moduleSpecifier : undefined;
    return specifier !== undefined && ts.isStringLiteral(specifier) ? [specifier.text] : [];
  });
  return specifiers
    .filter((specifier) => specifier.startsWith('.'))
    .map((specifier) => normalize(join(dirname(file), specifier)).replace(/\.js$/, '.ts'));
}

function readImportGraph(root: string): ImportGraph {
  const files = readdirSync(root, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.ts'))
    .map((name) => join(root, name));
  return new Map(files.map((file) => [file, importedModules(file, readFileSync(file, 'utf8'))]));
}

/** All modules that a module imports, directly or transitively. */
function reachableFrom(graph: ImportGraph, start: string): Set<string> {
  const reached = new Set<string>();
  const pending = [...(graph.get(start) ?? [])];
  for (let file = pending.pop(); file !== undefined; file = pending.pop()) {
    if (reached.has(file)) continue;
    reached.add(file);
    pending.push(...(graph.get(file) ?? []));
  }
  return reached;
}

/** Groups of modules that import each other, directly or transitively; the largest first. */
function findCycles(graph: ImportGraph): string[][] {
  const reachable = new Map([...graph.keys()].map((file) => [file, reachableFrom(graph, file)]));
  const seen = new Set<string>();
  const cycles: string[][] = [];
  for (const [file, reached] of reachable) {
    if (seen.has(file) || !reached.has(file)) continue;
    const cycle = [...reached].filter((other) => reachable.get(other)?.has(file) === true).sort();
    for (const member of cycle) seen.add(member);
    cycles.push(cycle);
  }
  return cycles.sort((a, b) => b.length - a.length);
}

const COORDINATION = 'src/coordination/';

/** The folder of src/coordination that contains a file; null: the file is elsewhere. */
const coordinationFolder = (file: string): string | null =>
  file.startsWith(COORDINATION) ? (file.slice(COORDINATION.length).split('/')[0] ?? null) : null;

/** Imports between folders of src/coordination that lead to a higher folder. */
function findUpwardImports(graph: ImportGraph): string[] {
  const depthOf = (folder: string): number => COORDINATION_FOLDERS.indexOf(folder);
  return [...graph].flatMap(([file, imported]) => {
    const from = coordinationFolder(file);
    const upward = imported.filter((other) => {
      const to = coordinationFolder(other);
      return from !== null && to !== null && depthOf(to) < depthOf(from);
    });
    const short = (path: string): string => path.slice(COORDINATION.length);
    return upward.map((other) => `${short(file)} -> ${short(other)}`);
  });
}

const graph = readImportGraph('src');

test('import graph: every imported module exists', () => {
  const missing = [...graph.values()].flat().filter((file) => !graph.has(file));
  assert.deepEqual(missing, []);
});

test('import graph: the order lists every folder of src/coordination', () => {
  const folders = new Set([...graph.keys()].map(coordinationFolder));
  folders.delete(null);
  assert.deepEqual([...folders].sort(), [...COORDINATION_FOLDERS].sort());
});

test('import graph: folders of src/coordination import downwards only', () => {
  const unknown = findUpwardImports(graph).filter((line) => !KNOWN_UPWARD_IMPORTS.includes(line));
  assert.deepEqual(unknown, []);
});

test('import graph: only main.ts imports the folder controller', () => {
  const importers = [...graph]
    .filter(([file]) => coordinationFolder(file) !== 'controller')
    .filter(([, imported]) => imported.some((file) => coordinationFolder(file) === 'controller'))
    .map(([file]) => file);
  const known = KNOWN_UPWARD_IMPORTS.filter((line) => line.includes('-> controller/')).map(
    (line) => `${COORDINATION}${line.split(' -> ')[0] ?? ''}`,
  );
  const unknown = importers.filter((file) => !known.includes(file));
  assert.deepEqual(unknown, ['src/main.ts']);
});

test('import graph: has no cycles, imports of types included', () => {
  const cycles = findCycles(graph);
  const unknown = cycles
    .flat()
    .filter((file) => !KNOWN_CYCLE_MEMBERS.includes(file.slice(COORDINATION.length)));
  assert.deepEqual(unknown, [], cycles.map((cycle) => cycle.join('\n  ')).join('\n\n'));
});

for (const { name, text, imported } of [
  { name: 'an import of a value', text: "import { a } from './a.js';", imported: ['src/x/a.ts'] },
  {
    name: 'an import of a type',
    text: "import type { A } from '../a.js';",
    imported: ['src/a.ts'],
  },
  { name: 'a re-export', text: "export { a } from './a.js';", imported: ['src/x/a.ts'] },
  { name: 'an import for side effects', text: "import './a.js';", imported: ['src/x/a.ts'] },
  {
    name: 'an import on several lines',
    text: "import {\n  a,\n} from './a.js';",
    imported: ['src/x/a.ts'],
  },
  { name: 'no dynamic import()', text: "await import('./a.js');", imported: [] },
  { name: 'no library', text: "import fs from 'node:fs';", imported: [] },
]) {
  test(`import graph: found: ${name}`, () => {
    assert.deepEqual(importedModules('src/x/file.ts', text), imported);
  });
}

test('import graph: a cycle is found once, without modules that only lead to it', () => {
  const example = new Map([
    ['a', ['b']],
    ['b', ['c', 'd']],
    ['c', ['b']],
    ['d', []],
  ]);
  assert.deepEqual(findCycles(example), [['b', 'c']]);
});

test('import graph: finds an upward import, and none to a lower folder or the same one', () => {
  const example = new Map([
    ['src/coordination/model/a.ts', ['src/coordination/shard/b.ts', 'src/base/log.ts']],
    ['src/coordination/shard/b.ts', ['src/coordination/model/a.ts', 'src/coordination/shard/c.ts']],
  ]);
  assert.deepEqual(findUpwardImports(example), ['model/a.ts -> shard/b.ts']);
});
