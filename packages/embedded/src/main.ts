/**
 * `npm start`: runs the whole system in one process as a demo.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {request} from 'undici';
import {parse} from 'yaml';
import {z} from 'zod';
import {loadSettings} from '@wasabiusher/daemon';
import {configurationSchema, Log, type Configuration} from '@wasabiusher/shared';
import {Deployment} from './deployment.js';
import {runScenario} from './scenario.js';
import {
	findSite, sites, type Site, type SiteName,
} from './sites.js';
import {formatSummary, isClean} from './summary.js';

const siteNames = Object.keys(sites).filter((name): name is SiteName => name in sites);

const settingsSchema = z.object({
	once: z.stringbool().default(false).describe('end after the summary; exit 0 only if nothing was lost, doubled or stale'),
	json: z.stringbool().default(false).describe('print each summary as one line of JSON'),
	site: z.enum(['both', ...siteNames]).default('both').describe('which of the two deployments to run'),
	logLevel: z.enum(['error', 'warn', 'info', 'debug']).default('error').describe('least severe event logged'),
});

/** Time-out for the entries to apply the configuration and to discover the endpoints, in milliseconds. */
const readyTimeoutMs = 10_000;

const settings = loadSettings('wasabiusher-demo', '0.1.0', settingsSchema);

function printLine(line: string): void {
	if (!settings.json) {
		process.stdout.write(`${line}\n`);
	}
}

async function loadExample({example}: Site): Promise<Configuration> {
	const text = await readFile(new URL(`../../../examples/${example}`, import.meta.url), 'utf8');
	return configurationSchema.parse(parse(text));
}

async function applyConfiguration(deployment: Deployment, configuration: Configuration): Promise<void> {
	const {operators} = deployment.entries[0]!.addresses;
	const {statusCode, body} = await request(`http://${operators}/v1/configuration`, {
		method: 'POST', body: JSON.stringify({configuration, author: 'demo'}), headers: {'content-type': 'application/json'},
	});
	const text = await body.text();
	if (statusCode !== 200) {
		throw new Error(`the configuration was refused: ${text}`);
	}
}

async function waitUntilReady(deployment: Deployment): Promise<void> {
	const timeoutAt = performance.now() + readyTimeoutMs;
	for (const {addresses} of deployment.entries) {
		// Polls in sequence; the time-out covers all entries.
		// eslint-disable-next-line no-await-in-loop
		while (!(await isReady(addresses.callers))) {
			if (performance.now() > timeoutAt) {
				throw new Error(`the entry at ${addresses.callers} is not ready after ${readyTimeoutMs} ms`);
			}
		}
	}
}

async function isReady(address: string): Promise<boolean> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, 50);
	});
	const {statusCode, body} = await request(`http://${address}/readyz`);
	await body.dump();
	return statusCode === 200;
}

async function startSite(site: Site): Promise<{site: Site; deployment: Deployment; configuration: Configuration}> {
	const {size} = site;
	printLine(`${site.title}: ${size.dataCentres.join(', ')}; ${size.entries} entries, ${size.engines} engines, ${size.plainEndpoints} plain endpoints`);
	const deployment = new Deployment(size, name => new Log(name, settings.logLevel));
	await deployment.start();
	const configuration = await loadExample(site);
	await applyConfiguration(deployment, configuration);
	await waitUntilReady(deployment);
	return {site, deployment, configuration};
}

function printCommands({site, deployment}: {site: Site; deployment: Deployment}): void {
	const {callers, operators} = deployment.entries[0]!.addresses;
	const {query, posting} = site;
	printLine(`\n${site.title}, to try:`);
	printLine(`  curl -N http://${callers}/v1/completions -H 'wasabiusher-profile: ${query.profile}' -d '{"model":"${query.model}","prompt":"${query.prompt}","max_tokens":20,"stream":true}'`);
	printLine(`  curl http://${callers}/${posting.service}/postings -H 'wasabiusher-profile: ${posting.profile}' -H 'idempotency-key: k1' -d '{"key":"k1"}'`);
	printLine(`  curl http://${operators}/v1/configuration`);
	printLine(`  curl http://${callers}/metrics`);
}

const names = settings.site === 'both' ? siteNames : [settings.site];
const running = await Promise.all(names.map(async name => startSite(findSite(name))));
const summaries = await Promise.all(running.map(async scenario => runScenario({...scenario, report: printLine})));
for (const summary of summaries) {
	printLine(`\n${formatSummary(summary)}`);
}

process.exitCode = summaries.every(summary => isClean(summary)) ? 0 : 1;

async function stop(): Promise<void> {
	await Promise.all(running.map(async ({deployment}) => deployment.stop()));
}

if (settings.once) {
	await stop();
	if (settings.json) {
		process.stdout.write(`${JSON.stringify({isClean: process.exitCode === 0, sites: summaries})}\n`);
	}
} else {
	for (const scenario of running) {
		printCommands(scenario);
	}

	printLine('\nServing until Ctrl-C.');
	process.once('SIGINT', () => {
		void stop();
	});
}
