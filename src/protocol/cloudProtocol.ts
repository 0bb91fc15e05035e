/** The cloud's interface. */
import * as v from 'valibot';

/** A kind of machine that the cloud offers, with what it holds and costs an hour. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  fetchGbPerSecond: number;
  /** Room for cached images, in GB. */
  cacheGb: number;
  price: number;
  spotPrice: number;
  bootSeconds: number;
  zones: string[];
}

/** A machine of the cloud's list; the list may be some seconds old. */
export interface ListedMachine {
  name: string;
  address: string;
  type: string;
  zone: string;
  spot: boolean;
  status: 'starting' | 'running' | 'failed';
  age: number;
}

const typesSchema = v.object({
  Flavours: v.array(
    v.object({
      Label: v.string(),
      Cores: v.number(),
      Accelerators: v.optional(v.number(), 0),
      MemoryGb: v.number(),
      PullGbPerS: v.number(),
      LocalGb: v.optional(v.number(), 0),
      Hourly: v.number(),
      SpotPrice: v.optional(v.nullable(v.number())),
      BootS: v.number(),
      Yards: v.array(v.string()),
    }),
  ),
});

/** The machine types that an answer tells of; null where it is malformed. */
export function parseMachineTypes(raw: unknown): MachineType[] | null {
  const result = v.safeParse(typesSchema, raw);
  if (!result.success) return null;
  return result.output.Flavours.map((t) => ({
    name: t.Label,
    cpus: t.Cores,
    gpus: t.Accelerators,
    memoryGb: t.MemoryGb,
    fetchGbPerSecond: t.PullGbPerS,
    cacheGb: t.LocalGb,
    price: t.Hourly,
    spotPrice: t.SpotPrice ?? t.Hourly,
    bootSeconds: t.BootS,
    zones: t.Yards,
  }));
}

const listSchema = v.object({
  Drones: v.array(
    v.object({
      Uid: v.string(),
      Address: v.nullish(v.string()),
      Flavour: v.string(),
      Yard: v.string(),
      Loaners: v.boolean(),
      Status: v.picklist(['starting', 'running', 'failed']),
      AgeS: v.number(),
    }),
  ),
  More: v.boolean(),
});

/** One page of the list of machines; null where it is malformed. */
export function parseMachineList(
  raw: unknown,
): { machines: ListedMachine[]; more: boolean } | null {
  const result = v.safeParse(listSchema, raw);
  if (!result.success) return null;
  return {
    more: result.output.More,
    machines: result.output.Drones.map((m) => ({
      name: m.Uid,
      address: m.Address ?? '',
      type: m.Flavour,
      zone: m.Yard,
      spot: m.Loaners,
      status: m.Status,
      age: m.AgeS,
    })),
  };
}

const rentedSchema = v.object({ Drones: v.array(v.string()) });

/** The names of the machines that a request brought; null where the answer is malformed. */
export function parseRentedMachines(raw: unknown): string[] | null {
  const result = v.safeParse(rentedSchema, raw);
  return result.success ? result.output.Drones : null;
}

/** A request for machines of one kind; the cloud answers a repeat of `ask` with the same machines. */
export interface RentalRequest {
  idempotencyKey: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

/** The body of a request for machines. */
export const rentalRequest = (ask: RentalRequest): Record<string, unknown> => ({
  Ask: ask.idempotencyKey,
  Flavour: ask.type,
  Yard: ask.zone,
  Loaners: ask.spot,
  Number: ask.count,
});

/** The body of a release of machines. */
export const releaseRequest = (names: string[]): Record<string, unknown> => ({ Drones: names });

/** The cloud's HTTP paths. */
export const paths = {
  types: '/machine_types',
  rentals: '/rentals',
  release: '/rentals/release',
  list: (from: string, page: number): string =>
    `/rentals?${from === '' ? '' : `From=${encodeURIComponent(from)}&`}Page=${page}`,
};

/** Machines on one page of the list. */
export const LIST_PAGE_SIZE = 500;
/** Machines that one request may ask for. */
export const MAX_RENTAL_COUNT = 50;
/** Machines that one release may name. */
export const MAX_RELEASE_COUNT = 100;
