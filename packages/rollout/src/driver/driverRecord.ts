/** The stored state of a rollout, so that any driver can go on where another stopped. */
import * as v from 'valibot';
import { decoderOf } from '../records.js';

const counter = v.pipe(v.number(), v.integer(), v.minValue(0));

const healthSchema = v.object({
  label: v.string(),
  /** Tells one start of its process from the next. */
  process: v.string(),
  version: v.string(),
  isReady: v.boolean(),
  isDraining: v.boolean(),
  /** It has given up all that it led. */
  isDrained: v.boolean(),
  /** Shards that it leads. */
  parts: v.array(v.string()),
  liveReplicas: counter,
  waitingTasks: counter,
  /** Requests of users that it has refused since its start. */
  refusedRequests: counter,
});

const controllerSchema = v.object({
  state: v.picklist(['waiting', 'draining', 'replacing', 'starting', 'settling', 'done']),
  /** Time of day at which it came to this state. */
  since: v.number(),
  /** Its process before it was replaced. */
  process: v.nullable(v.string()),
  /** Time of day since which the cluster has been well, while it settles; or not well, while it waits. */
  conditionSince: v.nullable(v.number()),
});

const baselineSchema = v.object({ liveReplicas: counter, waitingTasks: counter });

const driverSchema = v.object({
  name: v.string(),
  plan: v.string(),
  order: v.array(v.string()),
  phase: v.picklist(['running', 'paused', 'done', 'rolled-back']),
  direction: v.picklist(['forward', 'back']),
  /** What it waits for, and since when; while it is paused, why. */
  cause: v.object({ text: v.string(), since: v.number() }),
  permit: v.object({ holder: v.string(), token: counter, renewal: counter }),
  baseline: v.nullable(baselineSchema),
  /** The cluster's level when the rollout began: beyond it old builds cannot come back. */
  levelAtStart: counter,
  controllers: v.record(v.string(), controllerSchema),
});

/** What a controller tells of itself. */
export type ControllerHealth = v.InferOutput<typeof healthSchema>;
/** How far the replacement of one controller has come. */
export type ControllerProgress = v.InferOutput<typeof controllerSchema>;
/** The steps of one controller, in their order. */
export type ControllerState = ControllerProgress['state'];
/** Live replicas and waiting tasks of the cluster before a controller was taken away. */
export type Baseline = v.InferOutput<typeof baselineSchema>;
/** The stored state of a rollout. */
export type DriverRecord = v.InferOutput<typeof driverSchema>;
/** Who drives the rollout: `token` rises with each driver, `renewal` with each of its steps. */
export type DriverPermit = DriverRecord['permit'];

/** Decodes the record of a rollout; throws a DamagedRecordError. */
export const decodeDriver = decoderOf(driverSchema);
/** Decodes what a controller tells of itself; throws a DamagedRecordError. */
export const decodeHealth = decoderOf(healthSchema);

/** States in which a controller may be away, or not well yet. */
export const isInProgress = ({ state }: ControllerProgress): boolean =>
  state !== 'waiting' && state !== 'done';
