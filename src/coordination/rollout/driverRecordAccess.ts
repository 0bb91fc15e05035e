/** The stored record of a rollout of controllers, and what it allows at this node. */
import {
  applyChange,
  decodeDriver,
  decodeOrNull,
  rolloutKeys,
  type ChangeOutcome,
  type DriverRecord,
  type RecordCache,
  type RecordStore,
  type StoredDriver,
} from '@barrowlb/rollout';

/** Reads and changes the record for drivers, which reach the store only through controllers. */
export class DriverRecordAccess {
  constructor(
    private readonly store: RecordStore,
    private readonly copy: Pick<RecordCache, 'get' | 'note'>,
    private readonly label: string,
  ) {}

  /** The record, null if there is none or a damaged one, and the revision that a change is conditional on. */
  read(): StoredDriver {
    const stored = this.copy.get(rolloutKeys.driver);
    if (stored === undefined) return { record: null, revision: 0 };
    const { value, revision } = stored;
    const record = decodeOrNull(() => decodeDriver(rolloutKeys.driver, value));
    return { record, revision };
  }

  /** Stores the record if it still has this revision; 0: if there is none. */
  write(revision: number, record: DriverRecord): Promise<ChangeOutcome> {
    return applyChange(this.store, this.copy, {
      conditions: [{ key: rolloutKeys.driver, revision }],
      puts: [{ key: rolloutKeys.driver, value: record }],
      deletes: [],
    });
  }

  /** Why this node must not be drained for a driver with this fencing token, or by hand (null); null: it may (safety, R7). */
  drainObstacle(token: number | null): string | null {
    const { record } = this.read();
    if (token === null) {
      return record?.phase === 'running'
        ? `the rollout ${record.name} is running; pause it first`
        : null;
    }
    const { label } = this;
    const isItsStep =
      record?.phase === 'running' &&
      record.permit.token === token &&
      record.controllers[label]?.state === 'draining';
    return isItsStep ? null : `no rollout with the permit ${token} drains ${label} just now`;
  }
}
