/** What a rollout driver needs: the controllers, as it reaches them, and its own process. */
import type { ControllerHealth, DriverRecord } from './driverRecord.js';

/** The stored record of a rollout, with the revision that its next change is conditional on. */
export interface StoredDriver {
  record: DriverRecord | null;
  revision: number;
}

/** What came of a change of the record; `unknown`: it may be stored. */
export type DriverWriteOutcome =
  { kind: 'stored'; revision: number } | { kind: 'conflict' } | { kind: 'unknown' };

/** What a driver asks of the controllers; any of them answers for the stored record. */
export interface ControllerApi {
  /** Null: it does not answer. */
  health(label: string): Promise<ControllerHealth | null>;
  /** Null: no controller tells. */
  level(): Promise<number | null>;
  read(): Promise<StoredDriver | null>;
  write(revision: number, record: DriverRecord): Promise<DriverWriteOutcome>;
  drain(label: string, token: number): Promise<void>;
  hold(by: string, reason: string): Promise<void>;
  /** Ends the hold of that name. */
  finalize(by: string): Promise<void>;
}

/** What a driver needs of the process it runs in. */
export interface DriverEnvironment {
  api: ControllerApi;
  /** Runs a program to its end; rejects with the reason when it fails. */
  run: (command: string[], token: number) => Promise<void>;
  /** Steady time and time of day in seconds. */
  clock: { now(): number; wall(): number };
  sleep: (seconds: number) => Promise<void>;
  report: (line: string) => void;
}

/** Another driver holds the permit, or the rollout is not what was asked for. */
export class DriverRefusedError extends Error {}
