/** Figures of two scores of a deployment, aim by aim. */

/** A fall of more than this is traced before anything else. */
export const TOLERANCE = 0.03;

/** What a journal's entry of a score tells, as far as it is compared. */
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
  /** Aims in words, with what each is worth. */
  aims: [string, number][];
}

export interface Regression {
  figure: string;
  before: number;
  after: number;
}

/** `wait calendar 1 s: 0.916 (aim 0.92)`: the name of the aim and its figure. */
function figureOf(aim: string): [string, number] | null {
  const match = /^(.*): (-?[\d.]+) \(aim/.exec(aim);
  return match === null ? null : [match[1] ?? '', Number(match[2])];
}

const isBetterWhenLower = (aim: string): boolean => /^(price|node_restarts)/.test(aim);

/** All figures of a score by their names; larger is better. */
export function figuresByName({ score, days }: ScoreEntry): Map<string, number> {
  const figures = new Map<string, number>();
  if (score !== null) figures.set('score', score);
  for (const day of days) {
    if (day.name.startsWith('fresh-')) continue;
    if (day.score !== null) figures.set(day.name, day.score);
    for (const [aim] of day.aims) {
      const figure = figureOf(aim);
      if (figure === null) continue;
      const [name, value] = figure;
      figures.set(`${day.name}, ${name}`, isBetterWhenLower(name) ? -value : value);
    }
  }
  return figures;
}

/** Figures that fell by more than the tolerance below the lowest that was recorded. */
export function findRegressions(recorded: ScoreEntry[], now: ScoreEntry): Regression[] {
  const before = recorded.map(figuresByName);
  const falls: Regression[] = [];
  for (const [what, figure] of figuresByName(now)) {
    const known = before.flatMap((figures) => figures.get(what) ?? []);
    const lowest = Math.min(...known);
    if (known.length > 0 && figure < lowest - TOLERANCE) {
      falls.push({ figure: what, before: Math.abs(lowest), after: Math.abs(figure) });
    }
  }
  return falls;
}

export const brokenRules = ({ days }: ScoreEntry): string[] =>
  days.flatMap(({ name, rules }) => Object.keys(rules).map((rule) => `${name}: ${rule}`));

/** The runs of the last sources that were scored: one alone says little, since processor time is measured. */
export function entriesOfLastSources(entries: ScoreEntry[], site: string): ScoreEntry[] {
  const scored = entries.filter((e) => e.cmd === 'score' && e.site === site && e.ok);
  const last = scored[scored.length - 1];
  if (last === undefined) return [];
  const sources = (entry: ScoreEntry): string => JSON.stringify([entry.head, entry.tree]);
  return scored.filter((entry) => sources(entry) === sources(last));
}
