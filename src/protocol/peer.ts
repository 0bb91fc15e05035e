/** What passes between our own processes, in Avro. */
import avro from 'avsc';
import type { JobSpec } from './job.js';

/** Work of one shape that a part cannot place now. */
export interface Demand {
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
  /** Replicas wait for it: what boots soon is worth its price. */
  urgent: boolean;
  /** Tasks of batch work that could not be through in time otherwise: dear machines may be rented. */
  pressing: number;
  /** Expected run time of one task, corrected. */
  run: number;
}

export interface Gossip {
  from: string;
  /** Tells one start of the sender from the next. */
  process: string;
  /** Rises with each message of a process. */
  sequence: number;
  /** Time of day at which it was sent: a cut may hold it back for minutes. */
  at: number;
  /** What the sender asks of the state service, a second. */
  need: { requests: number; writes: number };
  /** True while the sender's lease at the state service is valid by its own clock. */
  served: boolean;
  hosts: {
    part: string;
    token: number;
    utilisation: number;
    waiting: number;
    /** Processors on ordinary machines that live services have not taken. */
    liveRoom: number;
  }[];
  demands: Demand[];
  /** Machines that may be returned. */
  spare: string[];
  /** Machines that are silent and should be ended, so that their tasks are known to be over. */
  lost: string[];
  /** What teams' tasks take at the sender's parts. */
  used: { team: string; cpus: number; gpus: number }[];
  /** Teams whose share of the limit is too small for what waits here. */
  throttled: string[];
  /** The first job of each team that its limit has kept waiting for long. */
  starving: { team: string; at: number; rank: number }[];
}

export interface Ask {
  spec: string;
  zone: string | null;
  tasks: number;
}

export interface Estimate {
  part: string;
  wait: number;
  turnaround: number;
  utilisation: number;
}

/** A job is about to be cancelled: its tasks are ended and none is started. */
export interface PrepareCancel {
  job: string;
  /** Time of day at which it was sent: a cut may hold it back for minutes. */
  at: number;
}

/** A chunk that runs no more, at the owner of its part. */
export interface PreparedChunk {
  index: number;
  part: string;
  token: number;
}

/** A request of a user or a worker, passed on to the node that can answer it. */
export interface Relay {
  method: string;
  target: string;
  body: string;
}

export interface Relayed {
  status: number;
  body: string;
  retryAfter: number | null;
}

const nullable = (type: unknown): unknown => ['null', type];
const field = (name: string, type: unknown): unknown => ({ name, type });
const record = (name: string, fields: unknown[]): unknown => ({ type: 'record', name, fields });
const list = (items: unknown): unknown => ({ type: 'array', items });

const gossip = record('Gossip', [
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
const ask = record('Ask', [
  field('spec', 'string'),
  field('zone', nullable('string')),
  field('tasks', 'int'),
]);
const estimates = record('Estimates', [
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
const relay = record('Relay', [
  field('method', 'string'),
  field('target', 'string'),
  field('body', 'string'),
]);
const relayed = record('Relayed', [
  field('status', 'int'),
  field('body', 'string'),
  field('retryAfter', nullable('double')),
]);
const noted = record('Noted', []);
const prepareCancel = record('PrepareCancel', [field('job', 'string'), field('at', 'double')]);
const preparedChunks = record('PreparedChunks', [
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
  [gossip, ask, relay, prepareCancel] as unknown as avro.Schema,
  {
    wrapUnions: true,
  },
);
const answerType = avro.Type.forSchema(
  [noted, estimates, relayed, preparedChunks] as unknown as avro.Schema,
  { wrapUnions: true },
);

export type PeerRequest =
  { Gossip: Gossip } | { Ask: Ask } | { Relay: Relay } | { PrepareCancel: PrepareCancel };
export type PeerAnswer =
  | { Noted: Record<string, never> }
  | { Estimates: { of: Estimate[] } }
  | { Relayed: Relayed }
  | { PreparedChunks: { of: PreparedChunk[] } };

export const encodeRequest = (request: PeerRequest): Buffer => requestType.toBuffer(wrap(request));
export const encodeAnswer = (answer: PeerAnswer): Buffer => answerType.toBuffer(wrap(answer));

// Nullable fields are unions too, which `wrapUnions` wants wrapped by their branch's name.
function wrap(value: PeerRequest | PeerAnswer): unknown {
  if ('Ask' in value) return { Ask: { ...value.Ask, zone: some(value.Ask.zone, 'string') } };
  if ('Relayed' in value) {
    const retryAfter = some(value.Relayed.retryAfter, 'double');
    return { Relayed: { ...value.Relayed, retryAfter } };
  }
  if ('Gossip' in value) {
    const demands = value.Gossip.demands.map((d) => ({
      ...d,
      types: some(d.types, 'array'),
      zone: some(d.zone, 'string'),
    }));
    return { Gossip: { ...value.Gossip, demands } };
  }
  return value;
}

const some = (value: unknown, branch: string): unknown =>
  value === null ? null : { [branch]: value };

const plain = (value: unknown): unknown =>
  value === null ? null : Object.values(value as Record<string, unknown>)[0];

export function decodeRequest(body: Buffer): PeerRequest {
  const value = requestType.fromBuffer(body) as PeerRequest;
  if ('Ask' in value) {
    const { spec, tasks, zone } = value.Ask;
    return { Ask: { spec, tasks, zone: plain(zone) as string | null } };
  }
  if ('Gossip' in value) {
    const demands = value.Gossip.demands.map((d) => ({
      ...d,
      types: plain(d.types) as string[] | null,
      zone: plain(d.zone) as string | null,
    }));
    return { Gossip: { ...value.Gossip, demands } };
  }
  return value;
}

export function decodeAnswer(body: Buffer): PeerAnswer {
  const value = answerType.fromBuffer(body) as PeerAnswer;
  if ('Relayed' in value) {
    const retryAfter = plain(value.Relayed.retryAfter) as number | null;
    return { Relayed: { ...value.Relayed, retryAfter } };
  }
  return value;
}

/** A description as questions hold it. What it waits for is over by the time that anybody is asked. */
export const encodeSpec = (spec: JobSpec): string =>
  JSON.stringify({ ...spec, waitsOn: undefined });
export const decodeSpec = (text: string): JobSpec => ({
  ...(JSON.parse(text) as Omit<JobSpec, 'waitsOn'>),
  waitsOn: [],
});
