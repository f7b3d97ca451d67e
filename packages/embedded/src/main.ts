/**
 * `npm start`: all of the system in one process, for a first look.
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

/** Longest wait for the configuration to be in force and the endpoints to be in view, in milliseconds. */
const readyMs = 10_000;

const settings = loadSettings('wasabiusher-demo', '0.1.0', settingsSchema);

function say(line: string): void {
	if (!settings.json) {
		process.stdout.write(`${line}\n`);
	}
}

async function loadExample({example}: Site): Promise<Configuration> {
	const text = await readFile(new URL(`../../../examples/${example}`, import.meta.url), 'utf8');
	return configurationSchema.parse(parse(text));
}

async function apply(deployment: Deployment, configuration: Configuration): Promise<void> {
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
	const until = performance.now() + readyMs;
	for (const {addresses} of deployment.entries) {
		// One entry after the other.
		// eslint-disable-next-line no-await-in-loop
		while (!(await isReady(addresses.callers))) {
			if (performance.now() > until) {
				throw new Error(`the entry at ${addresses.callers} is not ready after ${readyMs} ms`);
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
	say(`${site.title}: ${size.dataCentres.join(', ')}; ${size.entries} entries, ${size.engines} engines, ${size.plains} plain endpoints`);
	const deployment = new Deployment(size, name => new Log(name, settings.logLevel));
	await deployment.start();
	const configuration = await loadExample(site);
	await apply(deployment, configuration);
	await waitUntilReady(deployment);
	return {site, deployment, configuration};
}

function sayCommands({site, deployment}: {site: Site; deployment: Deployment}): void {
	const {callers, operators} = deployment.entries[0]!.addresses;
	const {query, posting} = site;
	say(`\n${site.title}, to try:`);
	say(`  curl -N http://${callers}/v1/completions -H 'wasabiusher-profile: ${query.profile}' -d '{"model":"${query.model}","prompt":"${query.prompt}","max_tokens":20,"stream":true}'`);
	say(`  curl http://${callers}/${posting.service}/postings -H 'wasabiusher-profile: ${posting.profile}' -H 'idempotency-key: k1' -d '{"key":"k1"}'`);
	say(`  curl http://${operators}/v1/configuration`);
	say(`  curl http://${callers}/metrics`);
}

const names = settings.site === 'both' ? siteNames : [settings.site];
const running = await Promise.all(names.map(async name => startSite(findSite(name))));
const summaries = await Promise.all(running.map(async scenario => runScenario({...scenario, report: say})));
for (const summary of summaries) {
	say(`\n${formatSummary(summary)}`);
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
		sayCommands(scenario);
	}

	say('\nServing until Ctrl-C.');
	process.once('SIGINT', () => {
		void stop();
	});
}
