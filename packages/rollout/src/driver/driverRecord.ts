/** The stored state of a rollout, from which any driver can continue. */
import * as v from 'valibot';
import { decoderOf } from '../records.js';

const counter = v.pipe(v.number(), v.integer(), v.minValue(0));

const healthSchema = v.object({
  label: v.string(),
  /** Identifies the start of the process. */
  process: v.string(),
  version: v.string(),
  isReady: v.boolean(),
  isDraining: v.boolean(),
  /** Whether it has relinquished all leaderships. */
  isDrained: v.boolean(),
  /** Labels of the shards that it leads. */
  parts: v.array(v.string()),
  liveReplicas: counter,
  waitingTasks: counter,
  /** Number of submissions answered 503 since its start. */
  refusedRequests: counter,
});

const controllerSchema = v.object({
  state: v.picklist(['waiting', 'draining', 'replacing', 'starting', 'settling', 'done']),
  /** Wall-clock time at which it entered this state. */
  since: v.number(),
  /** Its process before the replacement. */
  process: v.nullable(v.string()),
  /** Wall-clock time since which the cluster has been healthy (state `settling`) or unhealthy (state `waiting`). */
  conditionSince: v.nullable(v.number()),
});

const baselineSchema = v.object({ liveReplicas: counter, waitingTasks: counter });

const driverSchema = v.object({
  name: v.string(),
  plan: v.string(),
  order: v.array(v.string()),
  phase: v.picklist(['running', 'paused', 'done', 'rolled-back']),
  direction: v.picklist(['forward', 'back']),
  /** The reason why the rollout waits or is paused, and since when (wall-clock time). */
  cause: v.object({ text: v.string(), since: v.number() }),
  permit: v.object({ holder: v.string(), token: counter, renewal: counter }),
  baseline: v.nullable(baselineSchema),
  /** The cluster's level at the start of the rollout; above it the old builds cannot be restored. */
  levelAtStart: counter,
  controllers: v.record(v.string(), controllerSchema),
});

/** The health that a controller reports. */
export type ControllerHealth = v.InferOutput<typeof healthSchema>;
/** The progress of the replacement of one controller. */
export type ControllerProgress = v.InferOutput<typeof controllerSchema>;
/** The states of a replacement, in order. */
export type ControllerState = ControllerProgress['state'];
/** Live replicas and waiting tasks of the cluster before the replacement of a controller. */
export type Baseline = v.InferOutput<typeof baselineSchema>;
/** The stored state of a rollout. */
export type DriverRecord = v.InferOutput<typeof driverSchema>;
/** The permit of the active driver: `token` increases with each driver, `renewal` with each of its steps. */
export type DriverPermit = DriverRecord['permit'];

/** Decodes the record of a rollout; throws a DamagedRecordError. */
export const decodeDriver = decoderOf(driverSchema);
/** Decodes the health of a controller; throws a DamagedRecordError. */
export const decodeHealth = decoderOf(healthSchema);

/** Whether the replacement is in progress, so that the controller may be down or unhealthy. */
export const isInProgress = ({ state }: ControllerProgress): boolean =>
  state !== 'waiting' && state !== 'done';
