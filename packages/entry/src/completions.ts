/**
 * `POST /v1/completions` and `POST /v1/chat/completions`, in the shape that clients of model servers speak.
 */
import {randomUUID} from 'node:crypto';
import {readJson, type Exchange} from '@wasabiusher/daemon';
import {createProblem, hashText, type Configuration} from '@wasabiusher/shared';
import type {Run} from '@wasabiusher/systems';
import {bindRun} from './answers.js';
import {readCallHeaders} from './call-headers.js';
import type {CallerRoutes} from './caller-routes.js';
import {formatPrefix, orderSchemas, type Shape} from './completions-body.js';
import {createStreamListener, createWholeListener} from './completions-listener.js';
import {parseBody, ProblemError} from './errors.js';

/** Finds the pool that serves a model. */
export function findModelService({services}: Configuration, model: string): string {
	const found = Object.entries(services).find(([, service]) => service.kind === 'model' && service.models.includes(model));
	if (!found) {
		throw new ProblemError(createProblem('not-found', `field model: no service has the model "${model.slice(0, 128)}"`, 'no'));
	}

	return found[0];
}

/** Handles one exchange of either shape. */
export async function handleCompletion(shape: Shape, {request, response}: Exchange, {submit, configuration}: CallerRoutes): Promise<void> {
	const {profileName, profile, caller, deadlineAt, idempotencyKey} = readCallHeaders(request, configuration());
	const {generation, isStream, hasUsage} = parseBody(orderSchemas[shape], await readJson(request));
	const {model} = generation;
	const id = randomUUID();
	const identity = {
		shape, id, model, created: Math.floor(Date.now() / 1000),
	};
	// The listener hears of the call only after `submit` has returned.
	const runs: Run[] = [];
	const listener = isStream
		? createStreamListener(identity, response, {
			hasUsage,
			onFull() {
				runs[0]?.pause?.();
			},
		})
		: createWholeListener(identity, response);
	const run = submit({
		id,
		service: findModelService(configuration(), model),
		model,
		work: {kind: 'generate', request: generation},
		caller,
		profileName,
		profile,
		deadlineAt,
		cost: generation.maxTokens,
		fingerprint: hashText(JSON.stringify(generation)),
		prefix: formatPrefix(generation),
	}, listener, idempotencyKey);
	runs.push(run);
	bindRun(response, run);
}
