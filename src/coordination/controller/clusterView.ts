/** Gives a shard its view of the rest of the cluster: team quotas, and usage and starved jobs at the other shards. */
import type { Settings } from '../../protocol/settings.js';
import type { CancellationPreparations } from '../jobs/cancellationPreparations.js';
import type { Pipelines } from '../pipelines/pipelines.js';
import type { ClusterTotals } from '../quota/clusterTotals.js';
import type { QuotaShares } from '../quota/quotaShares.js';
import type { ClusterView } from '../quota/teamUsage.js';

/** Sources of the values that a `ClusterView` returns. */
export interface ClusterViewSources {
  readonly teams: Settings['teams'];
  readonly quotas: Pick<QuotaShares, 'allowance'>;
  readonly totals: Pick<ClusterTotals, 'usedElsewhere' | 'starvedElsewhere'>;
  readonly pipelines: Pick<Pipelines, 'inheritedRank'>;
  readonly cancellations: Pick<CancellationPreparations, 'stateOf'>;
}

/** Creates the cluster view of the shard `label`. */
export function createClusterView(sources: ClusterViewSources, label: string): ClusterView {
  const { teams, quotas, totals, pipelines, cancellations } = sources;
  return {
    allowance: (team) => quotas.allowance(label, team),
    guarantee: (name) => {
      const team = teams.find((candidate) => candidate.name === name);
      return { cpus: team?.cpus ?? 0, gpus: team?.gpus ?? 0 };
    },
    usedElsewhere: (team) => totals.usedElsewhere(team, label),
    starvedElsewhere: (team) => totals.starvedElsewhere(team, label),
    inheritedRank: (job) => pipelines.inheritedRank(job),
    cancellationOf: (job) => cancellations.stateOf(job),
  };
}
