/** Reads the platform's settings file (TOML) and the operators' tuning file (properties). */
import { readFileSync } from 'node:fs';
import { parse as parseProperties } from 'dot-properties';
import { parse as parseToml } from 'smol-toml';
import * as v from 'valibot';
import { parseAddress } from '../transport/address.js';

/** A settings file that cannot be used; the message is shown to the operator. */
export class SettingsError extends Error {}

const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const positive = v.pipe(v.number(), v.finite(), v.gtValue(0));
const address = v.pipe(
  v.string(),
  v.check((text) => parseAddress(text) !== null, 'not an address of the form host:port'),
);
const name = v.pipe(v.string(), v.nonEmpty());

// At least 3: migrating a chunk changes two buckets and its job's record in one transaction.
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
      // Limits that come into force later, without notice.
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

/** A service-level objective of a class of jobs: a `share` of them within `within` seconds. */
export interface Objective {
  kind: string;
  jobClass: string;
  within: number;
  share: number;
}

/** The platform's settings. Times are in seconds, rates per second, sizes in bytes. */
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
  /** Limits of the state service: the smaller of the current and the announced one, also for the following three fields. */
  stateRequestRate: number;
  stateWriteRate: number;
  valueBytes: number;
  txnOps: number;
  cloudRequestRate: number;
  cloudListLag: number;
  maxSockets: number;
  cores: number;
}

/** The limit that is safe now and after the announced one comes into force. */
const smallerLimit = (present: number, next: number | undefined): number =>
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
  const { settings, ...top } = result.output;
  return {
    label: top.label,
    zone: top.site,
    clientListen: top.client_listen,
    peerListen: top.back,
    peers: top.peers.map((peer) => ({
      label: peer.label,
      zone: peer.site,
      endpoint: peer.endpoint,
    })),
    cloudEndpoint: top.services.cloud,
    stateEndpoint: top.services.state,
    zones: settings.zones,
    clockSkew: settings.skew_ms / 1000,
    teams: settings.teams.map((team) => ({
      name: team.name,
      cpus: team.cpus,
      cpusMax: team.cpus_max,
      gpus: team.gpus,
      gpusMax: team.gpus_max,
    })),
    objectives: settings.objectives.map((objective) => ({
      kind: objective.kind,
      jobClass: objective.class,
      within: objective.within_s,
      share: objective.share,
    })),
    heartbeatInterval: settings.workers.report_s,
    workerLease: settings.workers.lease_s,
    cancellationTimeout: settings.workers.cancel_s,
    stateRequestRate: smallerLimit(settings.state.rps, settings.state.next.rps),
    stateWriteRate: smallerLimit(settings.state.write_rps, settings.state.next.write_rps),
    valueBytes: smallerLimit(settings.state.value_kb, settings.state.next.value_kb) * 1024,
    txnOps: smallerLimit(settings.state.txn_ops, settings.state.next.txn_ops),
    cloudRequestRate: settings.cloud.rps,
    cloudListLag: settings.cloud.list_lag_s,
    maxSockets: settings.limits.fd_limit,
    cores: settings.limits.cores,
  };
}

/** Parameters that operators may change; each has a default, so the file is optional. */
export interface Tuning {
  /** Expected wait, in seconds, below which a job stays at its home shard (DESIGN: 10 s). */
  threshold: number;
  /** Factor by which the home shard's turnaround may exceed the shortest one (DESIGN: 1.4). */
  factor: number;
  /** Relative difference below which estimates count as equal (DESIGN: 1 %). */
  tolerance: number;
  /** Seconds after which a peer that does not answer is ignored (DESIGN: 2 s). */
  peerTimeout: number;
  /** Number of machines compared for each placement. */
  sample: number;
  /** Seconds that one scheduling round may take. */
  roundBudget: number;
  /** False: no job leaves its home shard. */
  migrate: boolean;
  /** Time that a machine stays idle before it is released, as a ratio to its boot time. */
  idleRatio: number;
  /** Seconds that a node may take after SIGTERM to relinquish its shards before it exits; 0: it exits immediately. */
  drainSeconds: number;
}

/** Default values of the tuning parameters. */
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

const tuningFields: Record<string, keyof Tuning> = {
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

/** Reads the tuning parameters from properties; throws `SettingsError`. */
export function parseTuning(text: string): Tuning {
  const properties = parseProperties(text) as Record<string, unknown>;
  const tuning: Tuning = { ...defaultTuning };
  for (const [key, field] of Object.entries(tuningFields)) {
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

/** Reads a text file; throws `SettingsError` if it cannot be read. */
export function readTextFile(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? 'unreadable';
    throw new SettingsError(`cannot read ${path}: ${code}`);
  }
}
