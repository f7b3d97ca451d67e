/**
 * A configuration moves the route of a batch to another service while its texts are generated.
 */
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {wait} from '../lib-2/http.mjs';
import {
	makeConfiguration, modelService, plainService, runCase,
} from '../lib-2/deployment.mjs';
import {Server} from '../lib-2/servers.mjs';
import {makeItems, model} from '../lib-2/trainer.mjs';

const hasTrouble = process.env.TROUBLE !== '0';

/** The service that the route is moved to. */
const newService = 'huvo22b';

/** `configApplyMs`, and when the configuration is written after the submission, in milliseconds. */
const configApplyMs = 2000;
const changeAfterMs = 1500;

/** A text: events, and the time of each at the slow and at the fast server, in milliseconds. */
const events = 150;
const slowMs = 80;
const fastMs = 30;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async deployment => {
	const {store, record} = deployment;
	const text = {models: [model], countEvents: () => events};
	const isReady = await deployment.start({
		servers: [
			{service: modelService, eventMs: slowMs, ...text},
			{service: modelService, eventMs: fastMs, ...text},
			{service: newService, eventMs: fastMs, ...text},
			{service: newService, eventMs: fastMs, ...text},
			...Array.from({length: 3}, () => ({service: plainService, slots: 6})),
		],
	});
	if (!isReady) {
		throw new Error('the gateways did not become ready');
	}

	await wait(2000);
	const trainer = deployment.createTrainer();
	const items = makeItems(4, 4);
	const batch = await trainer.submit(items, {desiredCount: 4});
	await wait(changeAfterMs);
	let confirmedAt = Number.POSITIVE_INFINITY;
	if (hasTrouble) {
		store.put('op', 'config', makeConfiguration(2, {service: newService}));
		confirmedAt = performance.now();
		record('configuration_confirmed', {version: 2, service: newService});
	}

	const results = await trainer.readAll(batch, items.length, 40_000);
	record('summary', {total: items.length, listed: results.length});
	const late = Server.runs.filter(({service, at}) => service === modelService && at > confirmedAt + configApplyMs);
	return late.map(({id, server, at, after}) => {
		const lateMs = Math.round(at - confirmedAt);
		return `item ${id} is run by server ${server} of the old service ${lateMs} ms after the configuration that moved its route, from event ${after} on`;
	});
});
