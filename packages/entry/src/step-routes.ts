/**
 * HTTP routes for trainers: steps, samples as server-sent events, and acknowledgements.
 */
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {
	readJson, sendJson, type Exchange, type HttpServer, type Method,
} from '@wasabiusher/daemon';
import {createProblem, type Configuration} from '@wasabiusher/shared';
import type {
	Delivery, FindOptions, Placement, Step, StepRunner,
} from '@wasabiusher/systems';
import {sendEvent, startEventStream} from './answers.js';
import {findModelService} from './completions.js';
import {parseBody, ProblemError} from './errors.js';
import {isRelayed, keepAliveMs, relayExchange} from './step-relay.js';
import {checkToken} from './tokens.js';
import {waitUntilWritable} from './writable.js';

/** Maximum number of samples in one step; ten times the size that the service is designed for. */
const maxSamples = 20_480;

const stepSchema = z.strictObject({
	id: z.string().regex(/^[\w\-]{1,64}$/v, 'expected up to 64 letters, digits, hyphens or underscores'),
	profile: z.string(),
	trainer: z.string().min(1).max(64),
	model: z.string().min(1),
	groups: z.array(z.strictObject({prompt: z.string()})).min(1),
	groupSize: z.int().min(1).max(maxSamples),
	maxTokens: z.int().min(1).max(1_000_000),
});

const acknowledgementSchema = z.strictObject({samples: z.array(z.string()).max(maxSamples)});

const pullSchema = z.object({
	/** Cursor of the last sample received. */
	after: z.string().default(''),
	version: z.coerce.number().int().min(0),
});

/** Retry delay suggested to a trainer while its step is moving, in milliseconds. */
const retryAfterMs = 1000;

export type StepRoutes = {
	runner: StepRunner;
	tokens: readonly string[];
	configuration(): Configuration;
};

/** An operation on a step, run by the entry that runs the step. */
type StepOperation = {
	/** The parsed request body, sent along if the request is relayed. */
	body?: unknown;
	locate(options: FindOptions): Promise<Placement>;
	serve(step: Step): void | Promise<void>;
};

/** Adds the routes to a server. */
export function addStepRoutes(server: HttpServer, routes: StepRoutes): void {
	const on = (method: Method, path: string, handler: (exchange: Exchange, routes: StepRoutes) => Promise<void>) => {
		server.on(method, path, async exchange => {
			checkToken(exchange.request, routes.tokens);
			await handler(exchange, routes);
		});
	};

	on('post', '/v1/steps', openStep);
	on('get', '/v1/steps/:id', describeStep);
	on('get', '/v1/steps/:id/samples', streamSamples);
	on('post', '/v1/steps/:id/acks', acknowledge);
}

/** Runs an operation here if this entry runs the step, and relays the request otherwise. */
async function serveStep(exchange: Exchange, {locate, body, serve}: StepOperation): Promise<void> {
	const isOwnerGone = isRelayed(exchange);
	let placement = await locate({isOwnerGone});
	if (placement.kind === 'elsewhere') {
		if (await relayExchange(exchange, placement.address, body)) {
			return;
		}

		// The owner does not respond: resume the step here from its record.
		placement = await locate({isOwnerGone: true});
	}

	if (placement.kind !== 'here') {
		throw new ProblemError(placement.kind === 'refused' ? placement.problem : createProblem('unavailable', 'the step is being moved to another entry; try again', 'no', retryAfterMs));
	}

	await serve(placement.step);
}

async function openStep(exchange: Exchange, {runner, configuration}: StepRoutes): Promise<void> {
	const {request, response} = exchange;
	const body = await readJson(request);
	const {profile: profileName, ...step} = parseBody(stepSchema, body);
	const profile = configuration().profiles[profileName];
	if (!profile) {
		throw new ProblemError(createProblem('bad-request', `field profile: there is no profile "${profileName}"`, 'no'));
	}

	if (step.groups.length * step.groupSize > maxSamples) {
		throw new ProblemError(createProblem('bad-request', `field groups: expected at most ${maxSamples} samples a step`, 'no'));
	}

	const service = findModelService(configuration(), step.model);
	await serveStep(exchange, {
		body,
		locate: async options => runner.open({
			...step, profileName, profile, service,
		}, options),
		serve(opened) {
			sendJson(response, 201, opened.describe());
		},
	});
}

async function describeStep(exchange: Exchange, {runner}: StepRoutes): Promise<void> {
	await serveStep(exchange, {
		locate: async options => runner.locate(exchange.parameters.id!, options),
		serve(step) {
			sendJson(exchange.response, 200, step.describe());
		},
	});
}

async function streamSamples(exchange: Exchange, {runner}: StepRoutes): Promise<void> {
	const {query, parameters} = exchange;
	const {after, version} = parseBody(pullSchema, Object.fromEntries(query));
	await serveStep(exchange, {
		locate: async options => runner.locate(parameters.id!, options),
		async serve(step) {
			const disconnect = new AbortController();
			exchange.response.on('close', () => {
				disconnect.abort();
			});
			const deliveries = runner.pull(step, {after, version, signal: disconnect.signal});
			if ('kind' in deliveries) {
				throw new ProblemError(deliveries);
			}

			await writeDeliveries(exchange, step, deliveries);
		},
	});
}

async function writeDeliveries({response}: Exchange, step: Step, deliveries: AsyncGenerator<Delivery, void>): Promise<void> {
	startEventStream(response);
	const keepAlive = setInterval(() => {
		response.write(': waiting\n\n');
	}, keepAliveMs);
	let last: Delivery['kind'] | undefined;
	try {
		for await (const delivery of deliveries) {
			last = delivery.kind;
			write(response, step, delivery);
			if (response.writableNeedDrain) {
				await waitUntilWritable(response);
			}
		}
	} finally {
		clearInterval(keepAlive);
	}

	// The step continues at another entry; a stream without the terminal event tells the trainer to pull again.
	if (last !== 'whole') {
		sendEvent(response, {step: step.request.id}, 'moved');
	}

	response.end();
}

function write(response: ServerResponse, step: Step, delivery: Delivery): void {
	// The table pairs each kind with a writer of that kind's delivery.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	(writers[delivery.kind] as (response: ServerResponse, step: Step, delivery: Delivery) => void)(response, step, delivery);
}

/** Writers by kind of delivery. */
const writers: {readonly [Kind in Delivery['kind']]: (response: ServerResponse, step: Step, delivery: Extract<Delivery, {kind: Kind}>) => void} = {
	sample(response, _step, {sample, cursor}) {
		sendEvent(response, {...sample, cursor}, 'sample');
	},
	failed(response, _step, {id, problem, cursor}) {
		sendEvent(response, {id, problem, cursor}, 'failed');
	},
	whole(response, step) {
		sendEvent(response, {step: step.request.id}, 'end');
	},
};

async function acknowledge(exchange: Exchange, {runner}: StepRoutes): Promise<void> {
	const body = await readJson(exchange.request);
	const {samples} = parseBody(acknowledgementSchema, body);
	await serveStep(exchange, {
		body,
		locate: async options => runner.locate(exchange.parameters.id!, options),
		serve(step) {
			const problem = runner.acknowledge(step, samples);
			if (problem) {
				throw new ProblemError(problem);
			}

			sendJson(exchange.response, 200, step.describe());
		},
	});
}
