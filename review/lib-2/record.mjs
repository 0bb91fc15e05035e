// The record of one run: one line for each message or event, with the seconds since the start of the test.
import { appendFileSync, writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

export const now = () => performance.now() / 1000;

export class Record {
  constructor(file) {
    this.file = file;
    this.startedAt = now();
    this.events = [];
    if (file !== null) writeFileSync(file, '');
  }

  add(kind, fields = {}) {
    const at = now() - this.startedAt;
    this.events.push({ at, kind, ...fields });
    if (this.file === null) return;
    const text = Object.entries(fields)
      .map(
        ([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`,
      )
      .join(' ');
    appendFileSync(this.file, `${at.toFixed(3)} ${kind} ${text}\n`);
  }
}
