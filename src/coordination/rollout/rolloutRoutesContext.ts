/** The parts of a controller that requests below `/v1/rollout` depend on. */
import type { Drain } from './drain.js';
import type { HealthContext } from './rolloutContext.js';
import type { RolloutService } from './rolloutService.js';

/** Dependencies of the request handlers. */
export interface RolloutRoutesContext extends HealthContext {
  /** Null if the rollout subsystem is off. */
  readonly rollout: RolloutService | null;
  readonly drain: Drain;
}
