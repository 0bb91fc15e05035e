/** Sample messages between controllers: each kind in each form that is encoded differently. */
import type { PeerAnswer, PeerRequest } from '../../src/protocol/peerMessages.js';

export const productionRequests: PeerRequest[] = [
  { PrepareCancel: { job: 'wk-1', sentAt: 1000.5 } },
  { Ask: { spec: '{}', zone: null, tasks: 3 } },
  { Ask: { spec: '{}', zone: 'a', tasks: 3 } },
  { Relay: { method: 'GET', target: '/v1/jobs/wk-1', body: '' } },
  {
    Gossip: {
      sender: 'drone-1',
      process: 'p1',
      sequence: 3,
      sentAt: 1000.5,
      stateDemand: { requests: 4, writes: 2.5 },
      isServed: true,
      shards: [
        { shard: 'drone-1', fencingToken: 7, utilisation: 0.5, waiting: 2, serviceHeadroom: 8 },
      ],
      demands: [
        {
          shard: 'drone-1',
          cpus: 1,
          gpus: 0,
          memoryGb: 2,
          machineTypes: ['m8'],
          zone: null,
          allowsSpot: true,
          rank: 'normal',
          isService: false,
          image: 'i',
          imageGb: 1,
          count: 4,
          isUrgent: false,
          onDemandCount: 0,
          boundCount: 0,
          expectedRunSeconds: 9,
        },
      ],
      idleMachines: ['n-1'],
      lostMachines: [],
      teamUsage: [{ team: 'crew', cpus: 4, gpus: 0 }],
      throttledTeams: ['crew'],
      starvedJobs: [{ team: 'crew', submittedAt: 12.5, rank: 1 }],
    },
  },
];

export const productionAnswers: PeerAnswer[] = [
  { PreparedChunks: { of: [{ index: 1, shard: 'drone-1', fencingToken: 7 }] } },
  { Relayed: { status: 503, body: '{}', retryAfter: 2 } },
  { Relayed: { status: 200, body: '{}', retryAfter: null } },
  { Estimates: { of: [{ shard: 'p', wait: Infinity, turnaround: 1, utilisation: 0 }] } },
  { Noted: {} },
];
