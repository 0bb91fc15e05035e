/** Process with the state service of a soak. */
import { sleep } from '../../src/base/clock.js';
import { seededRandom } from '../../src/base/random.js';
import { StateStandIn } from '../support/state.js';
import { duplicationFor } from './duplicationRequest.js';
import type { StateRequest } from './messages.js';
import { serveRequests } from './standIn.js';

const { seed } = JSON.parse(process.argv[2] ?? '{}') as { seed: number };
const random = seededRandom(seed);
const state = new StateStandIn();
/** Maximum delay of answers by client, in seconds; `*` stands for all clients. */
const maxAnswerDelays = new Map<string, number>();

state.beforeAnswer = async (client) => {
  const maxDelay = Math.max(maxAnswerDelays.get(client) ?? 0, maxAnswerDelays.get('*') ?? 0);
  if (maxDelay > 0) await sleep(random() * maxDelay);
};

function loseAnswers(share: number, atOnce: number, maxDelay: number): void {
  state.withholds =
    share === 0
      ? null
      : (body) => {
          if (random() >= share) return false;
          if (random() < atOnce) state.apply(body);
          else setTimeout(() => state.apply(body), random() * maxDelay * 1000).unref();
          return true;
        };
}

serveRequests<StateRequest>((request) => {
  switch (request.kind) {
    case 'listen':
      return state.listenFor(request.client);
    case 'refuse':
      if (request.isOn) state.refusedClients.add(request.client);
      else state.refusedClients.delete(request.client);
      return null;
    case 'slow':
      state.answerDelays.set(request.client, request.seconds);
      return null;
    case 'late-answers':
      maxAnswerDelays.set(request.client, request.maxDelay);
      return null;
    case 'lose-answers':
      loseAnswers(request.share, request.atOnce, request.maxDelay);
      return null;
    case 'copies':
      state.duplication = duplicationFor(request, random);
      return null;
  }
});
