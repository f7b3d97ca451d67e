/** A client of simulated endpoints that queue a few requests, take a fixed time for each, refuse further ones and report their load. */
import PQueue from 'p-queue';
import type {EndpointTarget, ServingAnswer, ServingClient} from '@wasabiusher/backends';
import type {Bench} from './fixtures.js';

/** Maximum number of requests in an endpoint's queue. */
const queueLength = 4;

export function createQueueingClient(bench: Bench, slots: number, findWorkMs: (id: string) => number): ServingClient {
	const queues = new Map<string, PQueue>();
	const client: Pick<ServingClient, 'call'> = {
		async call({id}: EndpointTarget): Promise<ServingAnswer> {
			const queue = queues.get(id) ?? new PQueue({concurrency: slots});
			queues.set(id, queue);
			const isNotRun = queue.size >= queueLength;
			if (!isNotRun) {
				await queue.add(async () => new Promise<void>(resolve => {
					setTimeout(resolve, findWorkMs(id));
				}));
			}

			return {
				status: isNotRun ? 503 : 200, headers: {}, isNotRun, stamp: 's', load: {running: queue.pending, waiting: queue.size, slots}, weightVersion: undefined, isFramed: true,
				isClosing: false, body: new Uint8Array(),
			};
		},
	};
	return Object.assign(Object.create(bench.client) as ServingClient, client);
}
