/**
 * The wire form of the messages between controllers: Avro records whose names are those that the version in production
 * uses. They never change.
 */
import avro from 'avsc';

/** Wire form of `Demand`. */
export interface WireDemand {
  part: string;
  cpus: number;
  gpus: number;
  memory: number;
  types: string[] | null;
  zone: string | null;
  spot: boolean;
  rank: string;
  service: boolean;
  image: string;
  imageGb: number;
  count: number;
  urgent: boolean;
  pressing: number;
  run: number;
}

/** Wire form of `Gossip`. */
export interface WireGossip {
  from: string;
  process: string;
  sequence: number;
  at: number;
  need: { requests: number; writes: number };
  served: boolean;
  hosts: {
    part: string;
    token: number;
    utilisation: number;
    waiting: number;
    liveRoom: number;
  }[];
  demands: WireDemand[];
  spare: string[];
  lost: string[];
  used: { team: string; cpus: number; gpus: number }[];
  throttled: string[];
  starving: { team: string; at: number; rank: number }[];
}

/** Wire form of `EstimateRequest`. */
export interface WireAsk {
  spec: string;
  zone: string | null;
  tasks: number;
}

/** Wire form of `TurnaroundEstimate`. */
export interface WireEstimate {
  part: string;
  wait: number;
  turnaround: number;
  utilisation: number;
}

/** Wire form of `CancellationNotice`. */
export interface WirePrepareCancel {
  job: string;
  at: number;
}

/** Wire form of `PreparedChunk`. */
export interface WirePreparedChunk {
  index: number;
  part: string;
  token: number;
}

/** Wire form of `Relay`. */
export interface WireRelay {
  method: string;
  target: string;
  body: string;
}

/** Wire form of `Relayed`. */
export interface WireRelayed {
  status: number;
  body: string;
  retryAfter: number | null;
}

/** A request on the connection between peers: one branch of the Avro union, under its name. */
export type WireRequest =
  | { Gossip: WireGossip }
  | { Ask: WireAsk }
  | { Relay: WireRelay }
  | { PrepareCancel: WirePrepareCancel };

/** An answer on the connection between peers. */
export type WireAnswer =
  | { Noted: Record<string, never> }
  | { Estimates: { of: WireEstimate[] } }
  | { Relayed: WireRelayed }
  | { PreparedChunks: { of: WirePreparedChunk[] } };

const nullable = (type: unknown): unknown => ['null', type];
const field = (name: string, type: unknown): unknown => ({ name, type });
const record = (name: string, fields: unknown[]): unknown => ({ type: 'record', name, fields });
const list = (items: unknown): unknown => ({ type: 'array', items });

const gossipSchema = record('Gossip', [
  field('from', 'string'),
  field('process', 'string'),
  field('sequence', 'long'),
  field('at', 'double'),
  field('need', record('Need', [field('requests', 'double'), field('writes', 'double')])),
  field('served', 'boolean'),
  field(
    'hosts',
    list(
      record('Host', [
        field('part', 'string'),
        field('token', 'long'),
        field('utilisation', 'double'),
        field('waiting', 'int'),
        field('liveRoom', 'double'),
      ]),
    ),
  ),
  field(
    'demands',
    list(
      record('Demand', [
        field('part', 'string'),
        field('cpus', 'double'),
        field('gpus', 'double'),
        field('memory', 'double'),
        field('types', nullable(list('string'))),
        field('zone', nullable('string')),
        field('spot', 'boolean'),
        field('rank', 'string'),
        field('service', 'boolean'),
        field('image', 'string'),
        field('imageGb', 'double'),
        field('count', 'int'),
        field('urgent', 'boolean'),
        field('pressing', 'int'),
        field('run', 'double'),
      ]),
    ),
  ),
  field('spare', list('string')),
  field('lost', list('string')),
  field(
    'used',
    list(
      record('Used', [field('team', 'string'), field('cpus', 'double'), field('gpus', 'double')]),
    ),
  ),
  field('throttled', list('string')),
  field(
    'starving',
    list(
      record('Starving', [field('team', 'string'), field('at', 'double'), field('rank', 'int')]),
    ),
  ),
]);
const askSchema = record('Ask', [
  field('spec', 'string'),
  field('zone', nullable('string')),
  field('tasks', 'int'),
]);
const estimatesSchema = record('Estimates', [
  field(
    'of',
    list(
      record('Estimate', [
        field('part', 'string'),
        field('wait', 'double'),
        field('turnaround', 'double'),
        field('utilisation', 'double'),
      ]),
    ),
  ),
]);
const relaySchema = record('Relay', [
  field('method', 'string'),
  field('target', 'string'),
  field('body', 'string'),
]);
const relayedSchema = record('Relayed', [
  field('status', 'int'),
  field('body', 'string'),
  field('retryAfter', nullable('double')),
]);
const notedSchema = record('Noted', []);
const prepareCancelSchema = record('PrepareCancel', [
  field('job', 'string'),
  field('at', 'double'),
]);
const preparedChunksSchema = record('PreparedChunks', [
  field(
    'of',
    list(
      record('PreparedChunk', [
        field('index', 'int'),
        field('part', 'string'),
        field('token', 'long'),
      ]),
    ),
  ),
]);

const requestType = avro.Type.forSchema(
  [gossipSchema, askSchema, relaySchema, prepareCancelSchema] as unknown as avro.Schema,
  {
    wrapUnions: true,
  },
);
const answerType = avro.Type.forSchema(
  [notedSchema, estimatesSchema, relayedSchema, preparedChunksSchema] as unknown as avro.Schema,
  { wrapUnions: true },
);

/** Encodes a request in Avro. */
export const encodeWireRequest = (request: WireRequest): Buffer =>
  requestType.toBuffer(wrapNullableFields(request));
/** Encodes an answer in Avro. */
export const encodeWireAnswer = (answer: WireAnswer): Buffer =>
  answerType.toBuffer(wrapNullableFields(answer));

// Nullable fields are unions, too: `wrapUnions` requires their values to be wrapped in an object with the branch's name.
function wrapNullableFields(value: WireRequest | WireAnswer): unknown {
  if ('Ask' in value) return { Ask: { ...value.Ask, zone: wrapValue(value.Ask.zone, 'string') } };
  if ('Relayed' in value) {
    const retryAfter = wrapValue(value.Relayed.retryAfter, 'double');
    return { Relayed: { ...value.Relayed, retryAfter } };
  }
  if ('Gossip' in value) {
    const demands = value.Gossip.demands.map((d) => ({
      ...d,
      types: wrapValue(d.types, 'array'),
      zone: wrapValue(d.zone, 'string'),
    }));
    return { Gossip: { ...value.Gossip, demands } };
  }
  return value;
}

const wrapValue = (value: unknown, branch: string): unknown =>
  value === null ? null : { [branch]: value };

const unwrapValue = (value: unknown): unknown =>
  value === null ? null : Object.values(value as Record<string, unknown>)[0];

/** Decodes a request; throws Avro's error if the bytes are not a request. */
export function decodeWireRequest(body: Buffer): WireRequest {
  const value = requestType.fromBuffer(body) as WireRequest;
  if ('Ask' in value) {
    const { spec, tasks, zone } = value.Ask;
    return { Ask: { spec, tasks, zone: unwrapValue(zone) as string | null } };
  }
  if ('Gossip' in value) {
    const demands = value.Gossip.demands.map((d) => ({
      ...d,
      types: unwrapValue(d.types) as string[] | null,
      zone: unwrapValue(d.zone) as string | null,
    }));
    return { Gossip: { ...value.Gossip, demands } };
  }
  return value;
}

/** Decodes an answer; throws Avro's error if the bytes are not an answer. */
export function decodeWireAnswer(body: Buffer): WireAnswer {
  const value = answerType.fromBuffer(body) as WireAnswer;
  if ('Relayed' in value) {
    const retryAfter = unwrapValue(value.Relayed.retryAfter) as number | null;
    return { Relayed: { ...value.Relayed, retryAfter } };
  }
  return value;
}
