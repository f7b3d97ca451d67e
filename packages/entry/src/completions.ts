/**
 * Handles `POST /v1/completions` and `POST /v1/chat/completions`, compatible with common clients of model servers.
 */
import {randomUUID} from 'node:crypto';
import {readJson, type Exchange} from '@wasabiusher/daemon';
import {createProblem, hashText, type Configuration} from '@wasabiusher/shared';
import type {Run} from '@wasabiusher/systems';
import {bindRun} from './answers.js';
import {readCallHeaders} from './call-headers.js';
import type {CallerRoutes} from './caller-routes.js';
import {formatPrefix, requestSchemas, type Shape} from './completions-body.js';
import {createStreamListener, createCollectingListener} from './completions-listener.js';
import {parseBody, ProblemError} from './errors.js';

/** Returns the name of the service that has a model; throws a `not-found` problem if there is none. */
export function findModelService({services}: Configuration, model: string): string {
	const found = Object.entries(services).find(([, service]) => service.kind === 'model' && service.models.includes(model));
	if (!found) {
		throw new ProblemError(createProblem('not-found', `field model: no service has the model "${model.slice(0, 128)}"`, 'no'));
	}

	return found[0];
}

/** Handles one request of either shape. */
export async function handleCompletion(shape: Shape, {request, response}: Exchange, {submit, configuration}: CallerRoutes): Promise<void> {
	const {profileName, profile, caller, deadlineAt, idempotencyKey} = readCallHeaders(request, configuration());
	const {generation, isStream, hasUsage} = parseBody(requestSchemas[shape], await readJson(request));
	const {model} = generation;
	const id = randomUUID();
	const identity = {
		shape, id, model, created: Math.floor(Date.now() / 1000),
	};
	// The listener is called only after `submit` has returned, so the run is in the list by then.
	const runs: Run[] = [];
	const listener = isStream
		? createStreamListener(identity, response, {
			hasUsage,
			onBackpressure() {
				runs[0]?.pause?.();
			},
		})
		: createCollectingListener(identity, response);
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
