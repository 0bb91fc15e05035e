/**
 * Builds earlier versions from the git history into a temporary folder: the one that deploy/service.toml names as in
 * production, and 0.3.0. This needs the full history and takes long, so CI runs none of the programs in this folder.
 */
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, rmSync, symlinkSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { pathToFileURL } from 'node:url';
import { parse } from 'smol-toml';

const ROOT = resolve(import.meta.dirname, '../../../..');

/** The commit that deploy/service.toml names as in production. */
export function productionCommit(): string {
  const deploy = parse(readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8'));
  const { production } = deploy;
  if (typeof production !== 'string') throw new Error('deploy/service.toml names no production');
  return production;
}

/** The last commit of version 0.3.0, which supports node capabilities but no cluster version. */
export const RELEASE_0_3_COMMIT = '2bcbffccdca50e61d611d72b09f6c0c0294edcd7';

export const buildProduction = (): string => buildCommit(productionCommit());

/** Builds a commit unless its build exists already, and returns the folder with the compiled modules. */
export function buildCommit(commit: string): string {
  const folder = join(tmpdir(), `barrowlb-${commit.slice(0, 12)}`);
  const compiled = join(folder, 'target');
  if (existsSync(join(compiled, 'main.js'))) return compiled;
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(folder, { recursive: true });
  const archive = execFileSync('git', ['archive', commit], { cwd: ROOT, maxBuffer: 1 << 30 });
  execFileSync('tar', ['-x', '-C', folder, '--exclude=journal'], { input: archive });
  symlinkSync(join(ROOT, 'node_modules'), join(folder, 'node_modules'));
  execFileSync('npx', ['tsc', '--outDir', 'target'], { cwd: folder, stdio: 'inherit' });
  return compiled;
}

/** Loads a module of a compiled version; the caller supplies the type of the exports in that version. */
export async function loadModule<Exports>(compiled: string, path: string): Promise<Exports> {
  return (await import(pathToFileURL(join(compiled, path)).href)) as Exports;
}
