/** The platform's settings file (TOML) and the operators' own (properties). */
import { readFileSync } from 'node:fs';
import { parse as parseProperties } from 'dot-properties';
import { parse as parseToml } from 'smol-toml';
import * as v from 'valibot';
import { parseAddress } from '../transport/address.js';

/** A file of settings that cannot be used; the message is shown to the operator. */
export class SettingsError extends Error {}

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const address = v.pipe(
  v.string(),
  v.check((text) => parseAddress(text) !== null, 'not an address of the form host:port'),
);
const name = v.pipe(v.string(), v.nonEmpty());

// A chunk that moves changes two buckets and its job's record at once.
const txnOps = v.pipe(v.number(), v.integer(), v.minValue(3));

const schema = v.object({
  label: name,
  site: name,
  client_listen: address,
  back: address,
  peers: v.optional(v.array(v.object({ label: name, site: name, endpoint: address })), []),
  services: v.object({ cloud: address, state: address }),
  settings: v.object({
    zones: v.pipe(v.array(name), v.nonEmpty()),
    skew_ms: v.optional(amount, 100),
    teams: v.array(
      v.object({
        name,
        cpus: v.optional(amount, 0),
        cpus_max: v.optional(amount, 0),
        gpus: v.optional(amount, 0),
        gpus_max: v.optional(amount, 0),
      }),
    ),
    objectives: v.optional(
      v.array(
        v.object({
          kind: v.string(),
          class: v.optional(v.string(), ''),
          within_s: v.optional(amount, 0),
          share: v.optional(amount, 0),
        }),
      ),
      [],
    ),
    workers: v.object({ report_s: positive, lease_s: positive, cancel_s: positive }),
    state: v.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: txnOps,
      // Limits that come into force at some later moment, without notice.
      next: v.optional(
        v.object({
          rps: v.optional(positive),
          write_rps: v.optional(positive),
          value_kb: v.optional(positive),
          txn_ops: v.optional(txnOps),
        }),
        {},
      ),
    }),
    cloud: v.object({ rps: positive, list_lag_s: amount }),
    limits: v.object({ cores: positive, ram_mb: positive, fd_limit: positive }),
  }),
});

/** A team's guarantee (`cpus`, `gpus`) and limit (`cpusMax`, `gpusMax`). */
export interface Team {
  name: string;
  cpus: number;
  /** 0: no limit. */
  cpusMax: number;
  gpus: number;
  gpusMax: number;
}

/** A service-level objective of a class of jobs: `share` of them within so many seconds. */
export interface Objective {
  kind: string;
  jobClass: string;
  within: number;
  share: number;
}

/** The platform's settings. Times in seconds, rates a second, sizes in bytes. */
export interface Settings {
  label: string;
  zone: string;
  clientListen: string;
  peerListen: string;
  peers: { label: string; zone: string; endpoint: string }[];
  cloudEndpoint: string;
  stateEndpoint: string;
  zones: string[];
  clockSkew: number;
  teams: Team[];
  objectives: Objective[];
  heartbeatInterval: number;
  workerLease: number;
  cancellationTimeout: number;
  /** Limits of the state service: of those in force and those to come, the smaller. */
  stateRequestRate: number;
  stateWriteRate: number;
  valueBytes: number;
  txnOps: number;
  cloudRequestRate: number;
  cloudListLag: number;
  maxSockets: number;
  cores: number;
}

/** The limit that holds now and later. */
const smaller = (present: number, next: number | undefined): number =>
  Math.min(present, next ?? present);

/** Reads the platform's settings from TOML; throws `SettingsError`. */
export function parseSettings(text: string): Settings {
  let raw: unknown;
  try {
    raw = parseToml(text);
  } catch (error) {
    const reason = error instanceof Error ? error.message.split('\n')[0] : String(error);
    throw new SettingsError(`settings are not TOML: ${reason ?? ''}`);
  }
  const result = v.safeParse(schema, raw);
  if (!result.success) {
    const issue = result.issues[0];
    throw new SettingsError(`settings: ${v.getDotPath(issue) ?? 'file'}: ${issue.message}`);
  }
  const { settings: s, ...top } = result.output;
  return {
    label: top.label,
    zone: top.site,
    clientListen: top.client_listen,
    peerListen: top.back,
    peers: top.peers.map((p) => ({ label: p.label, zone: p.site, endpoint: p.endpoint })),
    cloudEndpoint: top.services.cloud,
    stateEndpoint: top.services.state,
    zones: s.zones,
    clockSkew: s.skew_ms / 1000,
    teams: s.teams.map((t) => ({
      name: t.name,
      cpus: t.cpus,
      cpusMax: t.cpus_max,
      gpus: t.gpus,
      gpusMax: t.gpus_max,
    })),
    objectives: s.objectives.map((o) => ({
      kind: o.kind,
      jobClass: o.class,
      within: o.within_s,
      share: o.share,
    })),
    heartbeatInterval: s.workers.report_s,
    workerLease: s.workers.lease_s,
    cancellationTimeout: s.workers.cancel_s,
    stateRequestRate: smaller(s.state.rps, s.state.next.rps),
    stateWriteRate: smaller(s.state.write_rps, s.state.next.write_rps),
    valueBytes: smaller(s.state.value_kb, s.state.next.value_kb) * 1024,
    txnOps: smaller(s.state.txn_ops, s.state.next.txn_ops),
    cloudRequestRate: s.cloud.rps,
    cloudListLag: s.cloud.list_lag_s,
    maxSockets: s.limits.fd_limit,
    cores: s.limits.cores,
  };
}

/** What operators may change; every value has a default, so the file is optional. */
export interface Tuning {
  /** Wait, in seconds, under which a job stays home (DESIGN: 10 s). */
  threshold: number;
  /** How much worse than the best answer home may be (DESIGN: 1.4). */
  factor: number;
  /** Answers this close count as equal (DESIGN: 1 %). */
  tolerance: number;
  /** Seconds after which a silent peer is ignored (DESIGN: 2 s). */
  peerTimeout: number;
  /** Machines compared at each placement. */
  sample: number;
  /** Seconds that one round of decisions may take. */
  roundBudget: number;
  /** False: no job leaves its home shard. */
  migrate: boolean;
  /** Seconds a machine stays idle before it is returned, as a ratio to its boot time. */
  idleRatio: number;
  /** Seconds for which SIGTERM lets the node give up what it owns before it ends; 0: it ends at once. */
  drainSeconds: number;
}

/** The tuning of a controller whose operators have set nothing. */
export const defaultTuning: Tuning = {
  threshold: 10,
  factor: 1.4,
  tolerance: 0.01,
  peerTimeout: 2,
  sample: 8,
  roundBudget: 0.02,
  migrate: true,
  idleRatio: 1,
  drainSeconds: 0,
};

const tuningKeys: Record<string, keyof Tuning> = {
  'migration.threshold': 'threshold',
  'migration.factor': 'factor',
  'migration.tolerance': 'tolerance',
  'migration.enabled': 'migrate',
  'peer.timeout': 'peerTimeout',
  'placement.sample': 'sample',
  'round.budget': 'roundBudget',
  'machines.idle.ratio': 'idleRatio',
  'drain.on.sigterm': 'drainSeconds',
};

/** Reads the operators' properties; throws `SettingsError`. */
export function parseTuning(text: string): Tuning {
  const properties = parseProperties(text) as Record<string, unknown>;
  const tuning: Tuning = { ...defaultTuning };
  for (const [key, field] of Object.entries(tuningKeys)) {
    const value = properties[key];
    if (value === undefined) continue;
    if (field === 'migrate') {
      if (value !== 'true' && value !== 'false') {
        throw new SettingsError(`properties: ${key}: expected true or false`);
      }
      tuning.migrate = value === 'true';
      continue;
    }
    const number = Number(value);
    if (typeof value !== 'string' || value === '' || !Number.isFinite(number) || number < 0) {
      throw new SettingsError(`properties: ${key}: expected a number of at least 0`);
    }
    if (field === 'sample' && number < 1) {
      throw new SettingsError(`properties: ${key}: expected a number of at least 1`);
    }
    tuning[field] = number;
  }
  return tuning;
}

/** The text of a file; throws `SettingsError` where it cannot be read. */
export function readTextFile(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? 'unreadable';
    throw new SettingsError(`cannot read ${path}: ${code}`);
  }
}
