/** The interfaces of a rollout driver to the controllers and to its own process. */
import type { ControllerHealth, DriverRecord } from './driverRecord.js';

/** The stored record of a rollout, with the revision to which its next change is conditional. */
export interface StoredDriver {
  record: DriverRecord | null;
  revision: number;
}

/** The outcome of a write of the record; `unknown`: it may or may not be stored. */
export type DriverWriteOutcome =
  { kind: 'stored'; revision: number } | { kind: 'conflict' } | { kind: 'unknown' };

/** Requests of a driver to the controllers; any controller can serve those for the stored record and the level. */
export interface ControllerApi {
  /** The health of one controller; null if it does not respond. */
  health(label: string): Promise<ControllerHealth | null>;
  /** The cluster's level; null if no controller responds. */
  level(): Promise<number | null>;
  /** The stored record; null if no controller responds. */
  read(): Promise<StoredDriver | null>;
  write(revision: number, record: DriverRecord): Promise<DriverWriteOutcome>;
  drain(label: string, token: number): Promise<void>;
  hold(by: string, reason: string): Promise<void>;
  /** Ends the hold that was placed under this name. */
  finalize(by: string): Promise<void>;
}

/** Dependencies of a driver on the process that it runs in. */
export interface DriverEnvironment {
  api: ControllerApi;
  /** Runs a program until it exits; rejects with the reason if it fails. */
  run: (command: string[], token: number) => Promise<void>;
  /** Monotonic time and wall-clock time in seconds. */
  clock: { now(): number; wall(): number };
  sleep: (seconds: number) => Promise<void>;
  report: (line: string) => void;
}

/** The driver must not act: another driver holds the permit, or the rollout is not in the required state. */
export class DriverRefusedError extends Error {}
