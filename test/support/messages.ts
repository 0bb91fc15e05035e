/** One message of each kind that controllers send, in each form that matters to its encoding. */
import type { PeerAnswer, PeerRequest } from '../../src/protocol/peerMessages.js';

export const productionRequests: PeerRequest[] = [
  { PrepareCancel: { job: 'wk-1', at: 1000.5 } },
  { Ask: { spec: '{}', zone: null, tasks: 3 } },
  { Ask: { spec: '{}', zone: 'a', tasks: 3 } },
  { Relay: { method: 'GET', target: '/v1/jobs/wk-1', body: '' } },
  {
    Gossip: {
      from: 'drone-1',
      process: 'p1',
      sequence: 3,
      at: 1000.5,
      need: { requests: 4, writes: 2.5 },
      served: true,
      hosts: [{ part: 'drone-1', token: 7, utilisation: 0.5, waiting: 2, liveRoom: 8 }],
      demands: [
        {
          part: 'drone-1',
          cpus: 1,
          gpus: 0,
          memory: 2,
          types: ['m8'],
          zone: null,
          spot: true,
          rank: 'normal',
          service: false,
          image: 'i',
          imageGb: 1,
          count: 4,
          urgent: false,
          pressing: 0,
          run: 9,
        },
      ],
      spare: ['n-1'],
      lost: [],
      used: [{ team: 'crew', cpus: 4, gpus: 0 }],
      throttled: ['crew'],
      starving: [{ team: 'crew', at: 12.5, rank: 1 }],
    },
  },
];

export const productionAnswers: PeerAnswer[] = [
  { PreparedChunks: { of: [{ index: 1, part: 'drone-1', token: 7 }] } },
  { Relayed: { status: 503, body: '{}', retryAfter: 2 } },
  { Relayed: { status: 200, body: '{}', retryAfter: null } },
  { Estimates: { of: [{ part: 'p', wait: Infinity, turnaround: 1, utilisation: 0 }] } },
  { Noted: {} },
];
