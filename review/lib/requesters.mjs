/**
 * Requesters with kept channels: one request after the other, as soon as the last one was answered.
 */
import {Agent, request as sendHttp} from 'node:http';
import {wait} from './deployment.mjs';
import {host} from './trainer.mjs';

/** Sends one request on the agent's channel; `status` is 0 if the channel was closed without an answer. */
async function sendKept(agent, {gateway, path, id, budgetMs}) {
	const [address, port] = gateway.callers.split(':');
	return new Promise(resolve => {
		const request = sendHttp({
			host: address, port, agent, method: 'POST', path, headers: {
				host, 'x-wasabiusher-attempt-id': id, 'x-wasabiusher-deadline-ms': String(budgetMs), 'content-length': 2,
			},
		}, response => {
			response.on('data', () => {
				// Only the status and the end matter.
			});
			response.on('end', () => {
				resolve({status: response.statusCode, retryAfterS: Number(response.headers['retry-after'] ?? 0), isKept: request.reusedSocket});
			});
			response.on('error', () => {
				resolve({status: 0, isKept: request.reusedSocket});
			});
		});
		request.on('error', () => {
			resolve({status: 0, isKept: request.reusedSocket});
		});
		request.end('{}');
	});
}

/** Requesters of one machine, each with one kept channel. */
export class Requesters {
	/** Answers by status. */
	answers = new Map();
	/** Requests from kept channels that were passed on to a server, and whose channel was closed without an answer. */
	lost = [];
	isStopped = false;

	constructor({
		gateway, count, prefix, budgetMs, servers, record,
	}) {
		Object.assign(this, {
			gateway, count, prefix, budgetMs, servers, record,
		});
	}

	get total() {
		return [...this.answers.values()].reduce((sum, count) => sum + count, 0);
	}

	/** Sends until `stop` is called or a channel was closed without an answer. */
	async run() {
		await Promise.all(Array.from({length: this.count}, async (_, i) => this.#runOne(`r${String(i).padStart(2, '0')}`)));
	}

	stop() {
		this.isStopped = true;
	}

	async #runOne(name) {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		for (let i = 0; !this.isStopped; i += 1) {
			const id = `${this.prefix.slice(1, 3)}${name}${String(i).padStart(8, '0')}`;
			// A requester sends one request after the other.
			// eslint-disable-next-line no-await-in-loop
			const {status, retryAfterS, isKept} = await sendKept(agent, {
				gateway: this.gateway, path: this.prefix + id, id, budgetMs: this.budgetMs,
			});
			this.answers.set(status, (this.answers.get(status) ?? 0) + 1);
			if (status === 0) {
				this.#recordClosed(id, isKept);
				break;
			}

			if (status === 503) {
				// eslint-disable-next-line no-await-in-loop
				await wait(retryAfterS * 1000);
			}
		}

		agent.destroy();
	}

	#recordClosed(id, isKept) {
		const server = this.servers.find(({begun}) => begun.some(begun => begun.id === id));
		const begin = server ? `server ${server.id}, which is sound, had begun it` : 'no server had begun it';
		this.record(`the ${isKept ? 'kept' : 'new'} channel of request ${id} to ${this.gateway.name} was closed without an answer; ${begin}`);
		if (isKept && server) {
			this.lost.push(id);
		}
	}
}
