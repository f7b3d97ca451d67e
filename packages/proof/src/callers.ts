/**
 * Simulated callers: each sends a request, retries it if its entry has died, and records the outcome of each attempt.
 */
import type {Problem} from '@wasabiusher/shared';
import type {Call, CallListener} from '@wasabiusher/systems';
import {formatToken} from './fake-engine.js';
import {modelName, profiles, type World} from './world.js';

/** Number of tokens in an answer. */
const answerTokens = 6;

/** Interval at which a caller checks that its entry is alive, and delay before it retries a request, in milliseconds. */
const resendMs = 1000;

/** The outcome of one attempt, as the caller received it. */
export type Told
	= | {kind: 'answered'; text: string}
		| {kind: 'failed'; problem: Problem}
	/** The connection broke because the entry died. */
		| {kind: 'broken'};

/** One request of a caller with all its attempts. */
export type Request = {
	id: string;
	kind: 'query' | 'posting';
	/** The prompt, or the key of the posting. */
	content: string;
	/** Whether the caller retries a request that was refused without being executed. */
	isPersistent: boolean;
	told: Told[];
	/** Number of outcomes that attempts received after their first one. */
	extraEnds: number;
};

/** Sends requests to the entries of a world. */
export class Callers {
	readonly requests: Request[] = [];
	readonly #world: World;

	constructor(world: World) {
		this.#world = world;
	}

	send(kind: Request['kind'], content = `${kind}-${this.requests.length}`): Request {
		const request: Request = {
			id: `r${this.requests.length}`, kind, content, isPersistent: kind === 'posting', told: [], extraEnds: 0,
		};
		this.requests.push(request);
		this.#try(request, 0);
		return request;
	}

	#try(request: Request, turn: number): void {
		const entry = this.#world.pickEntry(this.requests.indexOf(request) + turn);
		if (!entry) {
			this.#tryLater(request, turn);
			return;
		}

		let isOver = false;
		let text = '';
		const end = (told: Told) => {
			if (isOver) {
				request.extraEnds += 1;
				return;
			}

			isOver = true;
			clearInterval(watch);
			request.told.push(told);
			this.#considerResend(request, told, turn);
		};

		const watch = setInterval(() => {
			if (!entry.isAlive) {
				end({kind: 'broken'});
			}
		}, resendMs);
		const listener: CallListener = {
			onEvent(event) {
				if (event.kind === 'parts') {
					text += event.parts.map(part => part.text).join('');
				}

				if (event.kind === 'body') {
					text += new TextDecoder().decode(event.chunk);
				}

				if (event.kind === 'finished') {
					end({kind: 'answered', text});
				}
			},
			onRestart() {
				text = '';
				return true;
			},
			onFailed(problem) {
				end({kind: 'failed', problem});
			},
		};
		entry.submit(createCall(request, turn), listener, request.kind === 'posting' ? request.content : undefined);
	}

	/** Retries after a broken connection or a refusal without execution, under the same key. */
	#considerResend(request: Request, told: Told, turn: number): void {
		const isRefused = told.kind === 'failed' && told.problem.ran === 'no';
		if (told.kind === 'broken' || (isRefused && request.isPersistent && turn < 5)) {
			this.#tryLater(request, turn);
		}
	}

	#tryLater(request: Request, turn: number): void {
		setTimeout(() => {
			this.#try(request, turn + 1);
		}, resendMs);
	}
}

function createCall({id, kind, content}: Request, turn: number): Call {
	const profile = profiles[kind];
	return {
		id: `${id}.${turn}`,
		service: kind === 'query' ? 'models' : 'ledger',
		model: kind === 'query' ? modelName : undefined,
		work: kind === 'query'
			? {kind: 'generate', request: {model: modelName, prompt: content, maxTokens: answerTokens}}
			: {
				kind: 'forward', method: 'POST', path: '/postings', headers: {}, body: new TextEncoder().encode(content),
			},
		caller: 'caller',
		profileName: kind,
		profile,
		deadlineAt: performance.now() + profile.deadlineMs,
		cost: kind === 'query' ? answerTokens : 1,
		fingerprint: content,
	};
}

/** Returns the complete answer that a request should get: all tokens of a query, or the key of a posting. */
export function createExpectedText({kind, content}: Request): string {
	if (kind === 'posting') {
		return content;
	}

	return Array.from({length: answerTokens}, (_, index) => formatToken(index + 1, 1, content)).join('');
}
