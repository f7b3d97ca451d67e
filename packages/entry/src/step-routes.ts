/**
 * The trainers' interface: steps, samples as server-sent events, and acknowledgements.
 */
import {z} from 'zod';
import {
	readJson, sendJson, type Exchange, type HttpServer,
} from '@wasabiusher/daemon';
import {createProblem, type Configuration} from '@wasabiusher/shared';
import type {StepRunner} from '@wasabiusher/systems';
import {sendEvent, startEvents} from './answers.js';
import {findModelService} from './completions.js';
import {ProblemError} from './errors.js';
import {checkToken} from './tokens.js';

/** Most samples of one step; ten times the size designed for. */
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
	after: z.coerce.number().int().min(0).default(0),
	version: z.coerce.number().int().min(0),
});

export type StepRoutes = {
	runner: StepRunner;
	tokens: readonly string[];
	configuration(): Configuration;
};

function parse<Schema extends z.ZodType>(schema: Schema, value: unknown): z.infer<Schema> {
	const parsed = schema.safeParse(value);
	if (!parsed.success) {
		const issue = parsed.error.issues[0]!;
		throw new ProblemError(createProblem('bad-request', `field ${issue.path.join('.')}: ${issue.message}`, 'no'));
	}

	return parsed.data;
}

/** Adds the routes to a server. */
export function addStepRoutes(server: HttpServer, routes: StepRoutes): void {
	server.on('post', '/v1/steps', async exchange => {
		checkToken(exchange.request, routes.tokens);
		await openStep(exchange, routes);
	});
	server.on('get', '/v1/steps/:id', exchange => {
		checkToken(exchange.request, routes.tokens);
		sendJson(exchange.response, 200, findStep(exchange, routes));
	});
	server.on('get', '/v1/steps/:id/samples', async exchange => {
		checkToken(exchange.request, routes.tokens);
		await streamSamples(exchange, routes);
	});
	server.on('post', '/v1/steps/:id/acks', async exchange => {
		checkToken(exchange.request, routes.tokens);
		await acknowledge(exchange, routes);
	});
}

async function openStep({request, response}: Exchange, {runner, configuration}: StepRoutes): Promise<void> {
	const {profile: profileName, ...step} = parse(stepSchema, await readJson(request));
	const profile = configuration().profiles[profileName];
	if (!profile) {
		throw new ProblemError(createProblem('bad-request', `field profile: there is no profile "${profileName}"`, 'no'));
	}

	if (step.groups.length * step.groupSize > maxSamples) {
		throw new ProblemError(createProblem('bad-request', `field groups: expected at most ${maxSamples} samples a step`, 'no'));
	}

	const service = findModelService(configuration(), step.model);
	sendJson(response, 201, runner.open({
		...step, profileName, profile, service,
	}));
}

function findStep({parameters}: Exchange, {runner}: StepRoutes) {
	const status = runner.describe(parameters.id!);
	if (!status) {
		throw new ProblemError(createProblem('not-found', `there is no step "${parameters.id}"`, 'no'));
	}

	return status;
}

async function streamSamples(exchange: Exchange, routes: StepRoutes): Promise<void> {
	const {id} = findStep(exchange, routes);
	const {response, query} = exchange;
	const {after, version} = parse(pullSchema, Object.fromEntries(query));
	const {runner} = routes;
	const gone = new AbortController();
	response.on('close', () => {
		gone.abort();
	});
	startEvents(response);
	let cursor = after;
	while (!gone.signal.aborted && !runner.describe(id)!.isWhole) {
		for (const delivery of runner.listAfter(id, cursor, version)) {
			sendEvent(response, {...delivery.sample, cursor: delivery.cursor}, 'sample');
			cursor = delivery.cursor;
		}

		// Each round waits for what the last one has left.
		// eslint-disable-next-line no-await-in-loop
		await runner.waitForMore(id, gone.signal);
	}

	sendEvent(response, {step: id}, 'end');
	response.end();
}

async function acknowledge(exchange: Exchange, routes: StepRoutes): Promise<void> {
	const {samples} = parse(acknowledgementSchema, await readJson(exchange.request));
	const problem = routes.runner.acknowledge(exchange.parameters.id!, samples);
	if (problem) {
		throw new ProblemError(problem);
	}

	sendJson(exchange.response, 200, findStep(exchange, routes));
}
