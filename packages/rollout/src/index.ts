/** Staged upgrades: cluster version, feature gates, migrations in place and the rollout driver (docs/rollout.md). */
export * from './clusterView.js';
export * from './featureSwitches.js';
export * from './levels.js';
export * from './migration/migrator.js';
export * from './migration/progress.js';
export * from './operations.js';
export * from './participant.js';
export * from './records.js';
export * from './status.js';
export * from './store.js';
export * from './versionCoordinator.js';
export * from './versionPlan.js';
export * from './versionTracker.js';
export * from './driver/driver.js';
export * from './driver/driverRecord.js';
export * from './driver/plan.js';
export * from './driver/rolloutMachine.js';
