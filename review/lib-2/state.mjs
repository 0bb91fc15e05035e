// A stand-in for the state service, with the limits of the settings (PROTOCOL, "Controller nodes -> state service").
import { Buffer } from 'node:buffer';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { serve, shut } from './http.mjs';
import { now } from './record.mjs';

const LOG_SIZE = 10_000;
const RANGE_ITEMS = 1000;
const RANGE_BYTES = 512 * 1024;
const REQUEST_BYTES = 64 * 1024;

/** A limit per second that allows a burst of one second's worth. */
class Limit {
  constructor(rate) {
    this.rate = rate;
    this.left = rate;
    this.at = now();
  }

  take(count) {
    const at = now();
    this.left = Math.min(this.rate, this.left + (at - this.at) * this.rate);
    this.at = at;
    if (this.left < count) return false;
    this.left -= count;
    return true;
  }
}

export class StateService {
  constructor(limits, record) {
    this.limits = limits;
    this.record = record;
    this.revision = 1;
    this.rows = new Map();
    this.sortedKeys = null;
    this.log = [];
    this.leases = new Map();
    this.nextLease = 1;
    this.requests = new Limit(limits.rps);
    this.writes = new Limit(limits.writeRps);
    this.waiting = new Set();
    this.refused = new Set();
    this.listeners = [];
    this.latencyMs = 4;
    this.timer = setInterval(() => this.endLeases(), 20);
  }

  /** Opens a listener for one client, so that clients can be told apart. */
  async listenFor(client) {
    const listener = await serve('127.0.0.1', 0, async (method, url, body) => {
      await new Promise((resolve) => setTimeout(resolve, this.latencyMs));
      return this.answer(client, method, new URL(url, 'http://state'), body);
    });
    this.listeners.push(listener);
    return listener.address;
  }

  close() {
    clearInterval(this.timer);
    for (const listener of this.listeners) shut(listener);
  }

  /** Lets an outage of the service, or the refusal of one client, begin or end. */
  refuse(client, isOn) {
    if (isOn) this.refused.add(client);
    else this.refused.delete(client);
    if (!isOn && client === '*') {
      for (const lease of this.leases.values()) lease.endsAt = now() + lease.ttl;
    }
    this.wake();
  }

  isRefused(client) {
    return this.refused.has('*') || this.refused.has(client);
  }

  endLeases() {
    if (this.refused.has('*')) return;
    const at = now();
    for (const [id, lease] of [...this.leases]) if (lease.endsAt < at) this.endLease(id);
  }

  endLease(id) {
    this.leases.delete(id);
    const keys = [...this.rows].filter(([, row]) => row.lease === id).map(([key]) => key);
    if (keys.length === 0) return;
    const revision = ++this.revision;
    for (const key of keys) this.change(key, undefined, null, revision);
    this.wake();
  }

  change(key, value, lease, revision) {
    if (value === undefined) {
      if (!this.rows.delete(key)) return;
      this.sortedKeys = null;
    } else {
      if (!this.rows.has(key)) this.sortedKeys = null;
      this.rows.set(key, { value, revision, lease });
    }
    this.log.push({ key, value, revision });
    if (this.log.length > LOG_SIZE) this.log.splice(0, this.log.length - LOG_SIZE);
  }

  wake() {
    for (const resolve of this.waiting) resolve();
    this.waiting.clear();
  }

  async answer(client, method, url, body) {
    const path = url.pathname;
    const isWatch = path === '/changes';
    if (this.isRefused(client)) return [503, {}];
    if (!this.requests.take(1)) return [429, {}];
    this.endLeases();
    if (isWatch) return this.watch(client, url);
    if (path === '/multi') return this.transact(client, body);
    if (path === '/grants') return this.grant(body);
    const lease = /^\/grants\/(\d+)(\/extend)?$/.exec(path);
    if (lease !== null) return this.leaseCall(Number(lease[1]), lease[2] !== undefined);
    if (path === '/kv') return this.range(url);
    const key = decodeURIComponent(path.slice('/kv/'.length));
    const row = this.rows.get(key);
    if (row === undefined) return [404, { Epoch: this.revision }];
    const { value, revision, lease: hold } = row;
    return [
      200,
      { K: key, Value: value, Stamp: revision, ...(hold === null ? {} : { Hold: hold }) },
    ];
  }

  grant({ TtlMs }) {
    const id = this.nextLease++;
    this.leases.set(id, { ttl: TtlMs / 1000, endsAt: now() + TtlMs / 1000 });
    return [200, { Hold: id }];
  }

  leaseCall(id, isExtended) {
    const lease = this.leases.get(id);
    if (lease === undefined) return [404, {}];
    if (isExtended) lease.endsAt = now() + lease.ttl;
    else this.endLease(id);
    return [200, {}];
  }

  transact(client, { When = [], Then = [] }) {
    const { valueBytes, txnOps } = this.limits;
    const isTooLarge =
      Then.length > txnOps ||
      When.length > 4 * txnOps ||
      Buffer.byteLength(JSON.stringify({ When, Then })) > REQUEST_BYTES ||
      Then.some(({ Value }) => Buffer.byteLength(JSON.stringify(Value ?? null)) > valueBytes);
    if (isTooLarge) return [400, { error: 'beyond a limit' }];
    if (!this.writes.take(Then.length)) return [429, {}];
    const failed = When.filter(({ K, Stamp }) => (this.rows.get(K)?.revision ?? 0) !== Stamp);
    if (failed.length > 0) {
      return [409, { failed: failed.map(({ K }) => K), Epoch: this.revision }];
    }
    if (Then.some(({ Hold }) => Hold !== undefined && !this.leases.has(Hold))) {
      return [400, { error: 'no such lease' }];
    }
    if (Then.length === 0) return [200, { Epoch: this.revision }];
    const revision = ++this.revision;
    for (const { Put, Remove, Value, Hold } of Then) {
      if (Put !== undefined) this.change(Put, Value, Hold ?? null, revision);
      else if (Remove !== undefined) this.change(Remove, undefined, null, revision);
    }
    this.record?.add('stored', {
      by: client,
      keys: Then.map(({ Put, Remove }) => Put ?? `-${Remove}`),
    });
    this.wake();
    return [200, { Epoch: revision }];
  }

  range(url) {
    const prefix = url.searchParams.get('Under') ?? '';
    const from = url.searchParams.get('From') ?? '';
    const page = Math.min(RANGE_ITEMS, Number(url.searchParams.get('Page') ?? RANGE_ITEMS));
    this.sortedKeys ??= [...this.rows.keys()].sort();
    const rows = [];
    let bytes = 0;
    let more = false;
    for (const key of this.sortedKeys) {
      if (key <= from || !key.startsWith(prefix)) continue;
      const { value, revision } = this.rows.get(key);
      const item = { K: key, Value: value, Stamp: revision };
      bytes += Buffer.byteLength(JSON.stringify(item)) + 1;
      if (rows.length === page || (rows.length > 0 && bytes > RANGE_BYTES - 200)) {
        more = true;
        break;
      }
      rows.push(item);
    }
    return [200, { Rows: rows, More: more, Epoch: this.revision }];
  }

  async watch(client, url) {
    const prefix = url.searchParams.get('Under') ?? '';
    const from = Number(url.searchParams.get('From'));
    const until = now() + Number(url.searchParams.get('HoldMs') ?? 0) / 1000;
    for (;;) {
      const isRefused = this.isRefused(client);
      const oldest = this.log[0]?.revision ?? 0;
      if (!isRefused && this.log.length === LOG_SIZE && from < oldest - 1) return [410, {}];
      const found = this.log.filter(
        ({ key, revision }) => revision > from && key.startsWith(prefix),
      );
      if (!isRefused && (found.length > 0 || now() >= until)) {
        const Log = found.map(({ key, value, revision }) =>
          value === undefined
            ? { Remove: key, Stamp: revision }
            : { Put: key, Value: value, Stamp: revision },
        );
        return [200, { Epoch: this.revision, Log }];
      }
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.max(5, Math.min(500, (until - now()) * 1000)));
        this.waiting.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }
}
