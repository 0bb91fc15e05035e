/** Handlers for the requests of operators and the rollout driver below `/v1/rollout`. */
import {
  decodeDriver,
  DamagedRecordError,
  type DriverRecord,
  type Operation,
  type OperationResult,
} from '@barrowlb/rollout';
import * as v from 'valibot';
import { rolloutPath } from '../../protocol/routes.js';
import type { Reply } from '../../transport/httpServer.js';
import { unavailable } from '../jobs/replies.js';
import { healthOf } from './health.js';
import type { RolloutRoutesContext } from './rolloutRoutesContext.js';
import type { RolloutService } from './rolloutService.js';

const text = v.pipe(v.string(), v.nonEmpty(), v.maxLength(200));
const counter = v.pipe(v.number(), v.integer(), v.minValue(0));

const holdSchema = v.object({ by: text, reason: text });
const finalizeSchema = v.object({ by: v.optional(v.nullable(text), null) });
const lowerSchema = v.object({ by: text, to: counter, confirm: v.optional(v.boolean(), false) });
const drainSchema = v.object({ token: v.nullable(counter) });
const driverSchema = v.object({ stamp: counter, record: v.unknown() });

const NOT_FOUND: Reply = { status: 404, body: { error: 'no such path' } };
const MALFORMED: Reply = { status: 400, body: { error: 'malformed' } };

function parseBody<Schema extends v.GenericSchema>(
  schema: Schema,
  body: string,
): v.InferOutput<Schema> | null {
  let raw: unknown;
  try {
    raw = body === '' ? {} : JSON.parse(body);
  } catch {
    return null;
  }
  const result = v.safeParse(schema, raw);
  return result.success ? result.output : null;
}

const rejected = (reason: string): Reply => ({ status: 409, body: { error: reason } });

/** Dispatches requests below `/v1/rollout`. */
export class RolloutRoutes {
  constructor(private readonly node: RolloutRoutesContext) {}

  /** Handles one request; `path` begins with `/v1/rollout`. */
  async handle(method: string, path: string, body: string): Promise<Reply> {
    const { rollout } = this.node;
    if (rollout === null) return NOT_FOUND;
    const name = path.slice(rolloutPath.length);
    if (method === 'GET') return this.read(rollout, name);
    if (method !== 'POST') return { status: 405, body: { error: 'use GET or POST' } };
    if (name === '/driver') return this.writeDriver(rollout, body);
    if (name === '/drain') return this.drain(rollout, body);
    if (name === '/undrain') {
      this.node.drain.cancel();
      return { status: 200, body: {} };
    }
    return this.operate(rollout, name, body);
  }

  private read(rollout: RolloutService, name: string): Reply {
    if (name === '') return { status: 200, body: rollout.status() };
    if (name === '/driver') return driverAnswer(rollout);
    if (name === '/health') return { status: 200, body: healthOf(this.node) };
    return NOT_FOUND;
  }

  private async operate(rollout: RolloutService, name: string, body: string): Promise<Reply> {
    const operation = parseOperation(name, body);
    if (operation.kind === 'unknown-path') return NOT_FOUND;
    if (operation.kind === 'malformed') return MALFORMED;
    return replyTo(await rollout.operate(operation));
  }

  private async writeDriver(rollout: RolloutService, body: string): Promise<Reply> {
    const parsed = parseBody(driverSchema, body);
    if (parsed === null) return MALFORMED;
    let record: DriverRecord;
    try {
      record = decodeDriver('the body', parsed.record);
    } catch (error) {
      if (error instanceof DamagedRecordError) return rejected(error.message);
      throw error;
    }
    const outcome = await rollout.driverRecord.write(parsed.stamp, record);
    if (outcome.kind === 'applied') return { status: 200, body: { stamp: outcome.revision } };
    if (outcome.kind === 'conflict') return rejected('the record has changed meanwhile');
    return unavailable('the state service has not confirmed it');
  }

  /** Begins a drain for an operator, or for the driver with the current permit; a superseded driver is rejected. */
  private drain(rollout: RolloutService, body: string): Reply {
    const parsed = parseBody(drainSchema, body);
    if (parsed === null) return MALFORMED;
    const obstacle = rollout.driverRecord.drainObstacle(parsed.token);
    if (obstacle !== null) return rejected(obstacle);
    this.node.drain.begin();
    return { status: 200, body: {} };
  }
}

/** The response of `GET /v1/rollout/driver`. */
function driverAnswer(rollout: RolloutService): Reply {
  const { record, revision } = rollout.driverRecord.read();
  return { status: 200, body: { record, stamp: revision } };
}

/** Parses the operation of a path below `/v1/rollout` and its body. */
function parseOperation(
  name: string,
  body: string,
): Operation | { kind: 'unknown-path' } | { kind: 'malformed' } {
  switch (name) {
    case '/hold': {
      const parsed = parseBody(holdSchema, body);
      return parsed === null ? { kind: 'malformed' } : { kind: 'hold', ...parsed };
    }
    case '/finalize': {
      const parsed = parseBody(finalizeSchema, body);
      return parsed === null ? { kind: 'malformed' } : { kind: 'finalize', ...parsed };
    }
    case '/lower': {
      const parsed = parseBody(lowerSchema, body);
      if (parsed === null) return { kind: 'malformed' };
      return { kind: 'lower', to: parsed.to, by: parsed.by, isConfirmed: parsed.confirm };
    }
    case '/retry':
      return { kind: 'retry' };
    default:
      return { kind: 'unknown-path' };
  }
}

function replyTo(result: OperationResult): Reply {
  if (result.kind === 'done') return { status: 200, body: { version: result.version } };
  if (result.kind === 'rejected') return rejected(result.reason);
  return unavailable(result.reason);
}
