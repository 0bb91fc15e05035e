/** A shard's view of the rest of the cluster: quotas, and what the other shards use and lack. */
import type { Settings } from '../../protocol/settings.js';
import type { CancellationPreparations } from '../jobs/cancellationPreparations.js';
import type { Pipelines } from '../pipelines/pipelines.js';
import type { ClusterTotals } from '../quota/clusterTotals.js';
import type { QuotaShares } from '../quota/quotaShares.js';
import type { ClusterView } from '../quota/teamUsage.js';

/** Where a view takes its answers from. */
export interface ClusterViewSources {
  readonly teams: Settings['teams'];
  readonly quotas: Pick<QuotaShares, 'allowance'>;
  readonly totals: Pick<ClusterTotals, 'usedElsewhere' | 'starvedElsewhere'>;
  readonly pipelines: Pick<Pipelines, 'inheritedRank'>;
  readonly cancellations: Pick<CancellationPreparations, 'stateOf'>;
}

/** The view of the shard with this label. */
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
