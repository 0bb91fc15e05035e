/** Compares the figures of a deployment's score with earlier scores, aim by aim. */

/** A figure that falls by more than this is a regression, to be traced before any other work. */
export const TOLERANCE = 0.03;

/** The compared fields of a journal entry for the command `score`. */
export interface ScoreEntry {
  id: string;
  cmd: string;
  at: unknown;
  site: string | null;
  ok: boolean;
  error: string | null;
  score: number | null;
  head: string;
  tree: unknown;
  days: ScoredDay[];
}

export interface ScoredDay {
  name: string;
  score: number | null;
  rules: Record<string, unknown>;
  /** The aims in words, each with its worth in the score. */
  aims: [string, number][];
}

export interface Regression {
  figure: string;
  before: number;
  after: number;
}

/** Parses `wait calendar 1 s: 0.916 (aim 0.92)` into the name of the aim and its figure. */
function parseFigure(aim: string): [string, number] | null {
  const match = /^(.*): (-?[\d.]+) \(aim/.exec(aim);
  return match === null ? null : [match[1] ?? '', Number(match[2])];
}

const isBetterWhenLower = (aim: string): boolean => /^(price|node_restarts)/.test(aim);

/** All figures of a score by name, without days named `fresh-*`. Larger is better: price and restarts are negated. */
export function figuresByName({ score, days }: ScoreEntry): Map<string, number> {
  const figures = new Map<string, number>();
  if (score !== null) figures.set('score', score);
  for (const day of days) {
    if (day.name.startsWith('fresh-')) continue;
    if (day.score !== null) figures.set(day.name, day.score);
    for (const [aim] of day.aims) {
      const figure = parseFigure(aim);
      if (figure === null) continue;
      const [name, value] = figure;
      figures.set(`${day.name}, ${name}`, isBetterWhenLower(name) ? -value : value);
    }
  }
  return figures;
}

/** Figures that fell by more than the tolerance below the lowest recorded one. */
export function findRegressions(recorded: ScoreEntry[], now: ScoreEntry): Regression[] {
  const before = recorded.map(figuresByName);
  const regressions: Regression[] = [];
  for (const [name, figure] of figuresByName(now)) {
    const known = before.flatMap((figures) => figures.get(name) ?? []);
    const lowest = Math.min(...known);
    if (known.length > 0 && figure < lowest - TOLERANCE) {
      regressions.push({ figure: name, before: Math.abs(lowest), after: Math.abs(figure) });
    }
  }
  return regressions;
}

export const brokenRules = ({ days }: ScoreEntry): string[] =>
  days.flatMap(({ name, rules }) => Object.keys(rules).map((rule) => `${name}: ${rule}`));

/** All scores of the most recently scored sources. A single run says little, since processor time is measured. */
export function entriesOfLastSources(entries: ScoreEntry[], site: string): ScoreEntry[] {
  const scored = entries.filter((e) => e.cmd === 'score' && e.site === site && e.ok);
  const last = scored[scored.length - 1];
  if (last === undefined) return [];
  const sources = (entry: ScoreEntry): string => JSON.stringify([entry.head, entry.tree]);
  return scored.filter((entry) => sources(entry) === sources(last));
}
