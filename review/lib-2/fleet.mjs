// Stand-ins for the cloud and for its workers (PROTOCOL, "Workers -> controller nodes", "Controller nodes -> cloud").
import http from 'node:http';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { call, serve, shut } from './http.mjs';
import { now } from './record.mjs';

const ANSWER_TIMEOUT_S = 4;
const SHORTEST_REPORT_PAUSE_S = 0.5;

/** An address of this run alone, and the ports there that machines have had. */
const NETWORK = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}.200`;
let lastPort = 9000;

/** One machine's worker. */
export class Worker {
  constructor(fleet, name, kind, address) {
    this.fleet = fleet;
    this.name = name;
    this.kind = kind;
    this.address = address;
    this.shift = 1;
    this.tick = 0;
    this.baton = 0;
    this.attempts = new Map();
    this.images = new Set();
    this.isGone = false;
    this.isFaulty = false;
    this.isChanged = false;
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  }

  async start() {
    const [host, port] = this.address.split(':');
    this.listener = await serve(host, Number(port), (method, url, body) =>
      this.answer(method, url, body),
    );
    this.address = this.listener.address;
    this.leaseFrom = now();
    this.leaseTimer = setInterval(() => this.checkLease(), 50);
    void this.reportLoop();
  }

  /** The machine is gone at once, and all that runs on it. */
  stop() {
    if (this.isGone) return;
    this.isGone = true;
    clearInterval(this.leaseTimer);
    if (this.listener !== undefined) shut(this.listener);
    this.agent.destroy();
    this.killAll('machine gone');
  }

  killAll(why) {
    for (const attempt of this.attempts.values()) this.leave(attempt, why);
    this.attempts.clear();
  }

  checkLease() {
    if (now() - this.leaseFrom <= this.fleet.leaseS) return;
    this.killAll('lease over');
    this.shift++;
    this.leaseFrom = now();
    this.noteChange();
  }

  noteChange() {
    this.isChanged = true;
    this.wake?.();
  }

  report() {
    this.tick++;
    const pieces = [...this.attempts.values()].map(({ piece, tryNumber, status, cause }) => ({
      Piece: piece,
      Try: tryNumber,
      Status: status,
      ...(cause === null ? {} : { Cause: cause }),
    }));
    return {
      Drone: this.name,
      Address: this.address,
      Flavour: this.kind.type,
      Yard: this.kind.zone,
      Loaners: this.kind.spot,
      Shift: this.shift,
      Tick: this.tick,
      Baton: this.baton,
      WarningS: null,
      Pieces: pieces,
    };
  }

  async reportLoop() {
    const { fleet } = this;
    const labels = [...fleet.nodes.keys()];
    let label = labels[Math.floor(Math.random() * labels.length)];
    while (!this.isGone) {
      const sentAt = now();
      const { shift } = this;
      this.isChanged = false;
      const address = fleet.nodes.get(label);
      const answer = await call(
        address,
        'POST',
        '/hello',
        this.report(),
        ANSWER_TIMEOUT_S,
        this.agent,
      );
      if (this.isGone) return;
      if (answer.status === 200) {
        this.servedBy = label;
        if (shift === this.shift) this.accept(answer.body, sentAt);
        await this.pauseUntil(sentAt + fleet.reportS * (0.75 + Math.random() / 2), sentAt);
        continue;
      }
      const foreman = answer.status === 421 ? answer.body?.Foreman : undefined;
      if (foreman !== undefined && foreman !== label && fleet.nodes.has(foreman)) {
        label = foreman;
        await this.sleep(Math.random() * 0.5);
      } else {
        label = labels[(labels.indexOf(label) + 1) % labels.length];
        await this.sleep(1);
      }
    }
  }

  sleep(seconds) {
    return new Promise((resolve) => setTimeout(resolve, seconds * 1000));
  }

  /** Waits for the time of the next report, or for a change. */
  async pauseUntil(dueAt, sentAt) {
    await this.sleep(Math.max(0, sentAt + SHORTEST_REPORT_PAUSE_S - now()));
    while (!this.isGone && !this.isChanged && now() < dueAt) {
      await new Promise((resolve) => {
        this.wake = resolve;
        setTimeout(resolve, Math.max(1, (dueAt - now()) * 1000));
      });
    }
  }

  accept(body, sentAt) {
    if (typeof body?.Baton !== 'number' || body.Baton < this.baton) return;
    this.noteToken(body.Baton);
    this.leaseFrom = Math.max(this.leaseFrom, sentAt);
    for (const order of body.Orders ?? []) this.execute(order, 'answer');
  }

  noteToken(token) {
    if (token <= this.baton) return;
    this.baton = token;
    const at = now();
    if (at - (this.tokenChangeAt ?? -Infinity) < this.fleet.leaseS / 2) return;
    this.tokenChangeAt = at;
    this.noteChange();
  }

  answer(method, url, body) {
    if (this.isGone) return null;
    if (method === 'GET' && url === '/inspect') return [200, this.report()];
    if (method !== 'POST' || url !== '/orders') return [404, {}];
    if (typeof body?.Baton !== 'number' || typeof body.Shift !== 'number') return [400, {}];
    if (body.Baton < this.baton || body.Shift !== this.shift) return [409, this.report()];
    this.noteToken(body.Baton);
    for (const order of body.Orders ?? []) this.execute(order, 'orders');
    return [200, this.report()];
  }

  execute({ Verb, Piece, Try }, route) {
    const key = `${Piece}#${Try}`;
    this.fleet.record.add('order', { machine: this.name, verb: Verb, attempt: key, route });
    const attempt = this.attempts.get(key);
    if (Verb === 'reap') {
      if (attempt?.status === 'ended') {
        this.attempts.delete(key);
        this.noteChange();
      }
    } else if (Verb === 'halt') {
      if (attempt !== undefined) this.end(attempt, 'halted');
    } else if (Verb === 'start' && attempt === undefined) this.startAttempt(key, Piece, Try);
  }

  startAttempt(key, piece, tryNumber) {
    const attempt = { key, piece, tryNumber, status: 'fetching', cause: null, isOn: false };
    const job = this.fleet.jobs.get(piece.slice(0, piece.lastIndexOf('/')));
    const others = [...this.attempts.values()].filter(({ status }) => status !== 'ended');
    this.attempts.set(key, attempt);
    attempt.job = job;
    if (job === undefined) return this.end(attempt, 'unknown');
    if (others.some((other) => other.piece === piece)) return this.end(attempt, 'busy');
    const type = this.fleet.types.find(({ Label }) => Label === this.kind.type);
    const used = (field) => others.reduce((sum, other) => sum + other.job[field], job[field]);
    if (used('Cores') > type.Cores || used('MemoryGb') > type.MemoryGb) {
      return this.end(attempt, 'no_room');
    }
    const fetchSeconds = this.images.has(job.Bundle) ? 0 : job.PullGb / type.PullGbPerS;
    this.noteChange();
    setTimeout(() => this.run(attempt), fetchSeconds * 1000);
  }

  run(attempt) {
    if (attempt.status !== 'fetching' || this.isGone) return;
    const { job } = attempt;
    this.images.add(job.Bundle);
    attempt.status = 'running';
    attempt.isOn = true;
    this.fleet.noteStart(this, attempt);
    this.noteChange();
    if (this.isFaulty) setTimeout(() => this.end(attempt, 'error'), 500);
    else if (this.fleet.results.has(attempt.piece)) this.end(attempt, 'done');
    else if (job.Shape === 'sweep') {
      setTimeout(() => this.end(attempt, 'done'), this.fleet.runSeconds(job) * 1000);
    }
  }

  end(attempt, cause) {
    if (attempt.status === 'ended' || attempt.status === 'dropped' || this.isGone) return;
    if (cause === 'done') this.fleet.results.add(attempt.piece);
    this.leave(attempt, cause);
    attempt.status = 'ended';
    attempt.cause = cause;
    this.noteChange();
  }

  leave(attempt, why) {
    const wasOn = attempt.isOn;
    attempt.isOn = false;
    if (attempt.status !== 'ended') this.fleet.noteEnd(this, attempt, why, wasOn);
    if (attempt.status !== 'ended') attempt.status = 'dropped';
  }
}

/** The cloud with all of its machines. */
export class Fleet {
  /**
   * `types`: as GET /machine_types lists them, with `boot` as the seconds that a boot takes here; `capacity`: machines by
   * `type/zone/spot`; `addresses`: what the machines of the cloud's network get, the lowest free one first; null: each
   * machine gets an address that no other has had.
   */
  constructor({ record, reportS, leaseS, listLagS, types, capacity, addresses, runSeconds }) {
    Object.assign(this, { record, reportS, leaseS, listLagS, types, capacity, addresses });
    this.runSeconds = runSeconds ?? ((job) => job.ExpectS);
    this.nodes = new Map();
    this.jobs = new Map();
    this.results = new Set();
    this.machines = new Map();
    this.rentals = new Map();
    this.nextNumber = 230;
    this.onRented = null;
    this.starts = [];
    this.isRefusing = false;
  }

  async listen() {
    this.listener = await serve('127.0.0.1', 0, (method, url, body) =>
      this.answer(method, new URL(url, 'http://cloud'), body),
    );
    return this.listener.address;
  }

  close() {
    shut(this.listener);
    for (const { worker, timer } of this.machines.values()) {
      clearTimeout(timer);
      worker?.stop();
    }
  }

  noteStart({ name, kind }, { key, piece }) {
    this.starts.push({ at: now(), piece, key, machine: name, kind });
    this.record.add('task-started', {
      attempt: key,
      machine: name,
      type: kind.type,
      spot: kind.spot,
    });
  }

  noteEnd({ name }, { key }, why, wasOn) {
    this.record.add('task-left', { attempt: key, machine: name, why, wasOn });
  }

  async answer(method, url, body) {
    await new Promise((resolve) => setTimeout(resolve, 100));
    if (this.isRefusing) return [503, { error: 'trouble' }];
    const path = url.pathname;
    if (path === '/machine_types') {
      return [200, { Flavours: this.types.map((type) => ({ ...type, boot: undefined })) }];
    }
    if (path === '/rentals/release') return this.release(body);
    if (path !== '/rentals') return [404, {}];
    return method === 'POST' ? this.rent(body) : this.list(url);
  }

  rent({ Ask, Flavour, Yard, Loaners, Number: count }) {
    const known = this.rentals.get(Ask);
    if (known !== undefined) return [200, { Drones: known }];
    const slot = `${Flavour}/${Yard}/${String(Loaners)}`;
    const free = Math.min(count, this.capacity[slot] ?? 0);
    if (free === 0) return [503, { error: 'no capacity' }];
    const names = [];
    for (let i = 0; i < free; i++) names.push(this.add(Flavour, Yard, Loaners));
    this.rentals.set(Ask, names);
    this.record.add('rented', { ask: Ask, slot, names });
    this.onRented?.(names);
    return [200, { Drones: names }];
  }

  /** Adds a machine that boots; returns its name. */
  add(type, zone, spot, bootSeconds = this.types.find(({ Label }) => Label === type).boot) {
    const slot = `${type}/${zone}/${String(spot)}`;
    if (this.capacity[slot] !== undefined) this.capacity[slot]--;
    const name = `n-${String(++this.nextNumber).padStart(6, '0')}`;
    const machine = { name, kind: { type, zone, spot }, address: '', slot, rentedAt: now() };
    machine.goneAt = null;
    machine.upAt = Infinity;
    machine.upDueAt = now() + bootSeconds;
    this.machines.set(name, machine);
    machine.timer = setTimeout(() => void this.boot(machine), bootSeconds * 1000);
    return name;
  }

  async boot(machine) {
    machine.address = this.addresses?.shift() ?? `${NETWORK}:${++lastPort}`;
    machine.worker = new Worker(this, machine.name, machine.kind, machine.address);
    await machine.worker.start();
    machine.address = machine.worker.address;
    machine.upAt = now();
    this.record.add('machine-up', {
      machine: machine.name,
      ...machine.kind,
      address: machine.address,
    });
    this.onUp?.(machine);
  }

  /** The machine is gone: it was taken, or deleted. */
  remove(machine, why) {
    if (machine.goneAt !== null) return;
    machine.goneAt = now();
    clearTimeout(machine.timer);
    machine.worker?.stop();
    this.record.add('machine-gone', { machine: machine.name, why, address: machine.address });
    if (this.capacity[machine.slot] !== undefined) this.capacity[machine.slot]++;
    if (machine.address === '' || this.addresses === null) return;
    this.addresses.push(machine.address);
    this.addresses.sort();
  }

  release({ Drones }) {
    this.record.add('release', { names: Drones });
    for (const name of Drones) {
      const machine = this.machines.get(name);
      if (machine !== undefined) this.remove(machine, 'released');
    }
    return [200, {}];
  }

  /** The list is as old as the lag. */
  list(url) {
    const at = now() - this.listLagS;
    const from = url.searchParams.get('From') ?? '';
    const page = Number(url.searchParams.get('Page') ?? 500);
    const listed = [...this.machines.values()].filter(
      ({ name, rentedAt, goneAt }) =>
        name > from && rentedAt <= at && (goneAt === null || goneAt > at),
    );
    const Drones = listed.slice(0, page).map((machine) => ({
      Uid: machine.name,
      Address: machine.upAt <= at ? machine.address : '',
      Flavour: machine.kind.type,
      Yard: machine.kind.zone,
      Loaners: machine.kind.spot,
      Status: machine.upAt <= at ? 'running' : 'starting',
      AgeS: at - machine.rentedAt,
    }));
    return [200, { Drones, More: listed.length > page }];
  }
}
