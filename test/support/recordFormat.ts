import { RecordFormat } from '../../src/storage/recordFormat.js';

/** A record format for these limits of the state service; compact records are written once every node can read them. */
export function recordFormatFor(
  valueBytes = 16 * 1024,
  txnOps = 16,
  isCompact = false,
): RecordFormat {
  const recordFormat = new RecordFormat({ valueBytes, txnOps });
  if (isCompact) recordFormat.useCompact();
  return recordFormat;
}
