/** The modules of the rollout subsystem; imported only if it is enabled. */
export { deflateCodec } from '../../storage/compression.js';
export { RolloutRoutes } from './rolloutRoutes.js';
export { RolloutService } from './rolloutService.js';
