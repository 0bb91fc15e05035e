/** All that staged upgrades load; imported only where they are switched on. */
export { deflateCodec } from '../../storage/compression.js';
export { RolloutRoutes } from './rolloutRoutes.js';
export { RolloutService } from './rolloutService.js';
