/** Converts messages between controllers to their wire form and back; only this file uses both sets of names. */
import type { JobSpec } from './job.js';
import type {
  EstimateRequest,
  Demand,
  TurnaroundEstimate,
  Gossip,
  PeerAnswer,
  PeerRequest,
  PreparedChunk,
} from './peerMessages.js';
import {
  decodeWireAnswer,
  decodeWireRequest,
  encodeWireAnswer,
  encodeWireRequest,
  type WireAsk,
  type WireDemand,
  type WireEstimate,
  type WireGossip,
  type WirePreparedChunk,
} from './peerWire.js';
import { fromStoredSpec, toStoredSpec, type StoredJobSpec } from './storedJobSpec.js';

/** Encodes a request to a peer. */
export function encodeRequest(request: PeerRequest): Buffer {
  if ('Gossip' in request) return encodeWireRequest({ Gossip: toWireGossip(request.Gossip) });
  if ('Ask' in request) return encodeWireRequest({ Ask: toWireAsk(request.Ask) });
  if ('PrepareCancel' in request) {
    const { job, sentAt: at } = request.PrepareCancel;
    return encodeWireRequest({ PrepareCancel: { job, at } });
  }
  const { method, target, body } = request.Relay;
  return encodeWireRequest({ Relay: { method, target, body } });
}

/** Decodes a peer's request; throws Avro's error if the bytes are not a request. */
export function decodeRequest(bytes: Buffer): PeerRequest {
  const request = decodeWireRequest(bytes);
  if ('Gossip' in request) return { Gossip: fromWireGossip(request.Gossip) };
  if ('Ask' in request) return { Ask: fromWireAsk(request.Ask) };
  if ('PrepareCancel' in request) {
    const { job, at } = request.PrepareCancel;
    return { PrepareCancel: { job, sentAt: at } };
  }
  return request;
}

/** Encodes the answer to a peer's request. */
export function encodeAnswer(answer: PeerAnswer): Buffer {
  if ('Estimates' in answer) {
    return encodeWireAnswer({ Estimates: { of: answer.Estimates.of.map(toWireEstimate) } });
  }
  if ('PreparedChunks' in answer) {
    const of = answer.PreparedChunks.of.map(toWirePreparedChunk);
    return encodeWireAnswer({ PreparedChunks: { of } });
  }
  return encodeWireAnswer(answer);
}

/** Decodes a peer's answer; throws Avro's error if the bytes are not an answer. */
export function decodeAnswer(bytes: Buffer): PeerAnswer {
  const answer = decodeWireAnswer(bytes);
  if ('Estimates' in answer) {
    return { Estimates: { of: answer.Estimates.of.map(fromWireEstimate) } };
  }
  if ('PreparedChunks' in answer) {
    return { PreparedChunks: { of: answer.PreparedChunks.of.map(fromWirePreparedChunk) } };
  }
  return answer;
}

/** Encodes a job's description for an estimate request, without dependencies: these are done before peers are asked. */
export const encodeSpec = (spec: JobSpec): string =>
  JSON.stringify(toStoredSpec({ ...spec, dependencies: [] }));

/** Decodes the job description of a peer's estimate request. */
export const decodeSpec = (text: string): JobSpec =>
  fromStoredSpec({ ...(JSON.parse(text) as StoredJobSpec), waitsOn: [] });

function toWireGossip(gossip: Gossip): WireGossip {
  return {
    from: gossip.sender,
    process: gossip.process,
    sequence: gossip.sequence,
    at: gossip.sentAt,
    need: gossip.stateDemand,
    served: gossip.isServed,
    hosts: gossip.shards.map((host) => ({
      part: host.shard,
      token: host.fencingToken,
      utilisation: host.utilisation,
      waiting: host.waiting,
      liveRoom: host.serviceHeadroom,
    })),
    demands: gossip.demands.map(toWireDemand),
    spare: gossip.idleMachines,
    lost: gossip.lostMachines,
    used: gossip.teamUsage,
    throttled: gossip.throttledTeams,
    starving: gossip.starvedJobs.map(({ team, submittedAt, rank }) => ({
      team,
      at: submittedAt,
      rank,
    })),
  };
}

function fromWireGossip(gossip: WireGossip): Gossip {
  return {
    sender: gossip.from,
    process: gossip.process,
    sequence: gossip.sequence,
    sentAt: gossip.at,
    stateDemand: gossip.need,
    isServed: gossip.served,
    shards: gossip.hosts.map((host) => ({
      shard: host.part,
      fencingToken: host.token,
      utilisation: host.utilisation,
      waiting: host.waiting,
      serviceHeadroom: host.liveRoom,
    })),
    demands: gossip.demands.map(fromWireDemand),
    idleMachines: gossip.spare,
    lostMachines: gossip.lost,
    teamUsage: gossip.used,
    throttledTeams: gossip.throttled,
    starvedJobs: gossip.starving.map(({ team, at, rank }) => ({ team, submittedAt: at, rank })),
  };
}

function toWireDemand(demand: Demand): WireDemand {
  return {
    part: demand.shard,
    cpus: demand.cpus,
    gpus: demand.gpus,
    memory: demand.memoryGb,
    types: demand.machineTypes,
    zone: demand.zone,
    spot: demand.allowsSpot,
    rank: demand.rank,
    service: demand.isService,
    image: demand.image,
    imageGb: demand.imageGb,
    count: demand.count,
    urgent: demand.isUrgent,
    // The wire form has one field for two counts, of which services have one and batch work has the other.
    pressing: demand.isService ? demand.boundCount : demand.onDemandCount,
    run: demand.expectedRunSeconds,
  };
}

function fromWireDemand(demand: WireDemand): Demand {
  return {
    shard: demand.part,
    cpus: demand.cpus,
    gpus: demand.gpus,
    memoryGb: demand.memory,
    machineTypes: demand.types,
    zone: demand.zone,
    allowsSpot: demand.spot,
    rank: demand.rank,
    isService: demand.service,
    image: demand.image,
    imageGb: demand.imageGb,
    count: demand.count,
    isUrgent: demand.urgent,
    onDemandCount: demand.service ? 0 : demand.pressing,
    boundCount: demand.service ? demand.pressing : 0,
    expectedRunSeconds: demand.run,
  };
}

const toWireAsk = (ask: EstimateRequest): WireAsk => ({
  spec: ask.spec,
  zone: ask.zone,
  tasks: ask.tasks,
});

const fromWireAsk = (ask: WireAsk): EstimateRequest => ({
  spec: ask.spec,
  zone: ask.zone,
  tasks: ask.tasks,
});

const toWireEstimate = (estimate: TurnaroundEstimate): WireEstimate => ({
  part: estimate.shard,
  wait: estimate.wait,
  turnaround: estimate.turnaround,
  utilisation: estimate.utilisation,
});

const fromWireEstimate = (estimate: WireEstimate): TurnaroundEstimate => ({
  shard: estimate.part,
  wait: estimate.wait,
  turnaround: estimate.turnaround,
  utilisation: estimate.utilisation,
});

const toWirePreparedChunk = (chunk: PreparedChunk): WirePreparedChunk => ({
  index: chunk.index,
  part: chunk.shard,
  token: chunk.fencingToken,
});

const fromWirePreparedChunk = (chunk: WirePreparedChunk): PreparedChunk => ({
  index: chunk.index,
  shard: chunk.part,
  fencingToken: chunk.token,
});
