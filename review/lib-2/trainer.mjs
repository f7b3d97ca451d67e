/**
 * A trainer, by PROTOCOL.md: submits a batch, reads its results and ends it. Each call goes to the next gateway, on a new connection.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {send, wait} from './http.mjs';

export const host = 'ficu95.example';
export const model = 'daka510000';

export function newId() {
	return randomBytes(8).toString('hex');
}

/** Makes the items of a step: groups that share a prompt, each item with a reward call. */
export function makeItems(groups, size) {
	return Array.from({length: groups}, (_, group) => Array.from({length: size}, () => {
		const id = newId();
		return {
			id, path: `/pule252/3/${id.slice(0, 4)}`, headers: {
				'X-Wasabiusher-Model': model, 'X-Wasabiusher-Token-Count': '271,400', 'X-Wasabiusher-Prompt-Prefix': `9c2e${group}:255,${id.slice(0, 6)}:16`,
			},
			body: randomBytes(24).toString('base64'), tokenCount: 671, groupId: `g-${group}`,
			scorerUrl: {
				id: newId(), host, path: `/pufi791/${id.slice(0, 4)}`, body: randomBytes(12).toString('base64'),
			},
		};
	})).flat();
}

export class Trainer {
	/** @param settings - `listFronts()`, `record`, `timeoutMs` */
	constructor(settings) {
		this.settings = settings;
		this.turn = 0;
	}

	nextFront() {
		const fronts = this.settings.listFronts();
		this.turn += 1;
		return fronts[this.turn % fronts.length];
	}

	/** Submits a batch until it is accepted; resolves to its id. */
	async submit(items, {step = 0, minVersion = 1, desiredCount, id = newId(), address} = {}) {
		const {record} = this.settings;
		const body = JSON.stringify({
			step, model, minVersion, desiredCount, requests: items,
		});
		for (let attempt = 0; attempt < 20; attempt += 1) {
			const front = address ?? this.nextFront();
			// eslint-disable-next-line no-await-in-loop
			const {status} = await send({
				address: front, method: 'POST', path: `/pule252/${id.slice(0, 6)}`, headers: {
					host, 'content-type': 'application/json', 'x-wasabiusher-attempt-id': id, 'x-wasabiusher-deadline-ms': '12000',
				}, body,
			});
			record('submit', {
				id, front, status, items: items.length,
			});
			if (status === 202) {
				return id;
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(300);
		}

		throw new Error(`batch ${id} was not accepted`);
	}

	/** Reads results about twice a second until all are listed or the time is up. */
	async readAll(id, total, timeoutMs, onResult = () => undefined) {
		const {record} = this.settings;
		const results = [];
		const until = performance.now() + timeoutMs;
		while (results.length < total && performance.now() < until) {
			const front = this.nextFront();
			// eslint-disable-next-line no-await-in-loop
			const {status, body} = await send({
				address: front, path: `/-/lots/${id}?after=${results.length}`, headers: {host, 'x-wasabiusher-wait-ms': '1000'}, timeoutMs: 2500,
			});
			const page = status === 200 ? JSON.parse(Buffer.from(body).toString()) : undefined;
			record('read', {
				id, front, status, after: results.length, results: page?.results.length,
			});
			for (const result of page?.results ?? []) {
				results.push(result);
				record('result', {item: result.id, state: result.state, versions: result.weightVersions});
				onResult(result);
			}

			// eslint-disable-next-line no-await-in-loop
			await wait(400);
		}

		return results;
	}

	async end(id) {
		const front = this.nextFront();
		const {status} = await send({
			address: front, method: 'DELETE', path: `/-/lots/${id}`, headers: {host},
		});
		this.settings.record('end', {id, front, status});
		return status;
	}
}
