/** What requests below `/v1/rollout` need of the controller. */
import type { Drain } from './drain.js';
import type { HealthContext } from './rolloutContext.js';
import type { RolloutService } from './rolloutService.js';

/** What requests below `/v1/rollout` need. */
export interface RolloutRoutesContext extends HealthContext {
  /** Null while staged upgrades are switched off. */
  readonly rollout: RolloutService | null;
  readonly drain: Drain;
}
