/**
 * Scores of samples, asked for as each sample finishes and before it is handed over.
 *
 * A score belongs to the text that it was made for: the scorer is given the sample's id with a hash of the text as
 * its idempotency key. When its answer is lost it is asked once more under the same key, which settles the
 * score and does not make a second one. The wait is bounded by the profile; then the sample goes
 * unscored and says so.
 */
import {Buffer} from 'node:buffer';
import {
	hashText, profileSchema, type Problem, type Profile, type Sample, type Score,
} from '@wasabiusher/shared';
import {z} from 'zod';
import {AnswerCollector} from './answer-collector.js';
import type {Call, Dispatcher} from './dispatcher.js';
import {pause} from './pause.js';

/** Greatest answer of a scorer, in bytes. */
const maxAnswerBytes = 16_384;

/** Times that the scorer may have got the request: the second settles a lost answer. */
const maxRuns = 2;

/** Wait before a scorer that refused, and so has not scored, is asked again, in milliseconds. */
const refusedMs = 200;

const answerSchema = z.looseObject({score: z.number()});

type Outcome = {score: number} | {problem: Problem} | {malformed: string};

/** Asks scorers of any number of steps. */
export class Scorer {
	readonly #dispatcher: Pick<Dispatcher, 'submit'>;

	constructor(dispatcher: Pick<Dispatcher, 'submit'>) {
		this.#dispatcher = dispatcher;
	}

	/** Asks for a score; resolves within the profile's wait, to the reason if there is none. Never rejects. */
	async score(sample: Sample, {scoring, priority, class: priorityClass, share}: Profile): Promise<Score | undefined> {
		if (!scoring) {
			return undefined;
		}

		const deadlineAt = performance.now() + scoring.waitMs;
		// The dispatcher must not repeat it by itself; what is lost is settled here, under the same key.
		const profile = profileSchema.parse({
			class: priorityClass, priority, share, idempotent: false, deadlineMs: Math.max(1, scoring.waitMs),
		});
		let missing = 'the scorer did not answer in time';
		for (let tries = 0, runs = 0; runs < maxRuns && performance.now() < deadlineAt; tries += 1) {
			// Each try depends on how the last one ended.
			// eslint-disable-next-line no-await-in-loop
			const outcome = await this.#ask(createScoreCall(sample, {
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
				await pause(Math.min(refusedMs, deadlineAt - performance.now()));
			} else {
				runs += 1;
			}
		}

		return {missing};
	}

	async #ask(call: Call): Promise<Outcome> {
		return new Promise(resolve => {
			const collector = new AnswerCollector(maxAnswerBytes);
			this.#dispatcher.submit(call, {
				onEvent(event) {
					collector.take(event);
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
