/**
 * Requests the score of each sample when it finishes, before it is delivered.
 *
 * A score belongs to the text that it was computed for: the idempotency key is the sample's id with a hash of the text.
 * When the scorer's answer is lost, the request is repeated once under the same key, which returns the
 * score and does not compute a second one. The profile limits the wait; after it the sample is delivered
 * without a score, with the reason.
 */
import {Buffer} from 'node:buffer';
import {
	hashText, profileSchema, type Problem, type Profile, type Sample, type Score,
} from '@wasabiusher/shared';
import {z} from 'zod';
import {AnswerCollector} from './answer-collector.js';
import type {Call, Dispatcher} from './dispatcher.js';
import {pause} from './pause.js';

/** Maximum size of a scorer's answer, in bytes. */
const maxAnswerBytes = 16_384;

/** Maximum number of requests that the scorer may have received; the second one recovers a lost answer. */
const maxRuns = 2;

/** Delay before the request is repeated to a scorer that refused it and so has not scored, in milliseconds. */
const refusalRetryMs = 200;

const answerSchema = z.looseObject({score: z.number()});

type Outcome = {score: number} | {problem: Problem} | {malformed: string};

/** Requests scores for any number of steps. */
export class Scorer {
	readonly #dispatcher: Pick<Dispatcher, 'submit'>;

	constructor(dispatcher: Pick<Dispatcher, 'submit'>) {
		this.#dispatcher = dispatcher;
	}

	/** Requests a score; resolves within the profile's wait, to the score or to the reason why it is missing, or to undefined if the profile requires none. Never rejects. */
	async score(sample: Sample, {scoring, priority, class: priorityClass, share}: Profile): Promise<Score | undefined> {
		if (!scoring) {
			return undefined;
		}

		const deadlineAt = performance.now() + scoring.waitMs;
		// The dispatcher must not retry by itself; a lost answer is recovered here, under the same key.
		const profile = profileSchema.parse({
			class: priorityClass, priority, share, idempotent: false, deadlineMs: Math.max(1, scoring.waitMs),
		});
		let missing = 'the scorer did not answer in time';
		for (let tries = 0, runs = 0; runs < maxRuns && performance.now() < deadlineAt; tries += 1) {
			// Each request depends on the outcome of the previous one.
			// eslint-disable-next-line no-await-in-loop
			const outcome = await this.#request(createScoreCall(sample, {
				service: scoring.service, profile, deadlineAt, tries,
			}));
			if ('score' in outcome) {
				return {value: outcome.score};
			}

			if ('malformed' in outcome) {
				return {missing: outcome.malformed};
			}

			missing = outcome.problem.detail;
			if (outcome.problem.ran === 'no') {
				// eslint-disable-next-line no-await-in-loop
				await pause(Math.min(refusalRetryMs, deadlineAt - performance.now()));
			} else {
				runs += 1;
			}
		}

		return {missing};
	}

	async #request(call: Call): Promise<Outcome> {
		return new Promise(resolve => {
			const collector = new AnswerCollector(maxAnswerBytes);
			this.#dispatcher.submit(call, {
				onEvent(event) {
					collector.add(event);
					if (event.kind === 'finished') {
						resolve(readScore(collector));
					}
				},
				onRestart() {
					collector.reset();
					return true;
				},
				onFailed(problem) {
					resolve({problem});
				},
			});
		});
	}
}

function readScore({answer}: AnswerCollector): Outcome {
	if (answer?.status !== 200) {
		return {malformed: `the scorer answered with status ${answer?.status ?? 'none'}`};
	}

	try {
		return answerSchema.parse(JSON.parse(Buffer.from(answer.body).toString()));
	} catch {
		return {malformed: 'the scorer\'s answer has no score'};
	}
}

function createScoreCall(sample: Sample, {service, profile, deadlineAt, tries}: {service: string; profile: Profile; deadlineAt: number; tries: number}): Call {
	const key = `${sample.id}#${hashText(sample.text)}`;
	const body = Buffer.from(JSON.stringify({
		id: sample.id, attempt: sample.attempt, model: sample.model, text: sample.text,
	}));
	return {
		id: `${key}/score-${sample.attempt}-${tries}`,
		service,
		work: {
			kind: 'forward', method: 'POST', path: '/scores', headers: {'content-type': 'application/json', 'idempotency-key': key}, body,
		},
		caller: sample.step,
		profileName: 'scoring',
		profile,
		deadlineAt,
		cost: 1,
		fingerprint: hashText(key),
	};
}
