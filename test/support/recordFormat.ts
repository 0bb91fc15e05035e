import { RecordFormat } from '../../src/storage/recordFormat.js';

/** A layout of records for these limits of the state service; compact once every node has the present version. */
export function recordFormatFor(
  valueBytes = 16 * 1024,
  txnOps = 16,
  isCompact = false,
): RecordFormat {
  const recordFormat = new RecordFormat({ valueBytes, txnOps });
  if (isCompact) recordFormat.useCompact();
  return recordFormat;
}
