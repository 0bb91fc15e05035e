/** The cloud's interface. */
import * as v from 'valibot';

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

export function parseTypes(raw: unknown): MachineType[] | null {
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

export function parseList(raw: unknown): { machines: ListedMachine[]; more: boolean } | null {
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

export function parseRented(raw: unknown): string[] | null {
  const result = v.safeParse(rentedSchema, raw);
  return result.success ? result.output.Drones : null;
}

export interface RentalRequest {
  ask: string;
  type: string;
  zone: string;
  spot: boolean;
  count: number;
}

export const rentalRequest = (ask: RentalRequest): Record<string, unknown> => ({
  Ask: ask.ask,
  Flavour: ask.type,
  Yard: ask.zone,
  Loaners: ask.spot,
  Number: ask.count,
});

export const releaseRequest = (names: string[]): Record<string, unknown> => ({ Drones: names });

export const paths = {
  types: '/machine_types',
  rentals: '/rentals',
  release: '/rentals/release',
  list: (from: string, page: number): string =>
    `/rentals?${from === '' ? '' : `From=${encodeURIComponent(from)}&`}Page=${page}`,
};

export const LIST_PAGE = 500;
export const RENT_LIMIT = 50;
export const RELEASE_LIMIT = 100;
