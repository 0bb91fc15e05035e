/** Access to the stored record of a controllers' rollout, and the check whether it permits draining this node. */
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

/** Reads and writes the record on behalf of drivers, which reach the state service only through controllers. */
export class DriverRecordAccess {
  constructor(
    private readonly store: RecordStore,
    private readonly cache: Pick<RecordCache, 'get' | 'applyPut'>,
    private readonly label: string,
  ) {}

  /** The record, null if it is missing or damaged, and the revision to which the next write is conditional. */
  read(): StoredDriver {
    const stored = this.cache.get(rolloutKeys.driver);
    if (stored === undefined) return { record: null, revision: 0 };
    const { value, revision } = stored;
    const record = decodeOrNull(() => decodeDriver(rolloutKeys.driver, value));
    return { record, revision };
  }

  /** Stores the record on condition that the stored one has this revision; 0 means that none is stored. */
  write(revision: number, record: DriverRecord): Promise<ChangeOutcome> {
    return applyChange(this.store, this.cache, {
      conditions: [{ key: rolloutKeys.driver, revision }],
      puts: [{ key: rolloutKeys.driver, value: record }],
      deletes: [],
    });
  }

  /**
   * The reason why this node must not be drained for the driver with this fencing token, or for an operator if `token` is
   * null. Returns null if the drain is allowed (safety, R7).
   */
  drainObstacle(token: number | null): string | null {
    const { record } = this.read();
    if (token === null) {
      return record?.phase === 'running'
        ? `the rollout ${record.name} is running; pause it first`
        : null;
    }
    const { label } = this;
    const isCurrentStep =
      record?.phase === 'running' &&
      record.permit.token === token &&
      record.controllers[label]?.state === 'draining';
    return isCurrentStep ? null : `no rollout with the permit ${token} drains ${label} just now`;
  }
}
