import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {EndpointDirectory} from '@wasabiusher/direct';
import {createSilentLog, Random} from '@wasabiusher/shared';
import {MemoryServing, type MemoryEndpoint} from '@wasabiusher/standins';
import {scoreSample, type ScoringSettings} from '../src/scoring.js';
import {createDeployment, createRoute} from './fixtures.js';

const scoredSample = {
	id: 's', path: '/steps/s', headers: {}, body: '', score: {
		id: 'c', host: 'h', path: '/scores/c', body: '',
	},
};

describe('scoreSample', () => {
	let clock: Clock;
	let scorers: MemoryEndpoint[];
	let settings: ScoringSettings;

	beforeEach(() => {
		clock = install();
		const serving = new MemoryServing();
		const directory = new EndpointDirectory(new Random(1));
		scorers = Array.from({length: 3}, (_, i) => {
			directory.put({
				id: `k${i}`, service: 'scorer', address: `k${i}`, dataCentre: 'd', slots: 8, isDraining: false, models: [], orderCount: 0, coldMs: 0,
			});
			return serving.add(`k${i}`, `k${i}`);
		});
		const route = createRoute({
			name: 'scores', prefix: '/scores/', kind: 'idempotent', timeoutMs: 3000, objectiveMs: 800, maxAttempts: 4, targets: [{service: 'scorer', weight: 1}],
		});
		settings = {
			directory, client: serving, random: new Random(2), log: createSilentLog(), findDeployment: () => createDeployment([route]),
		};
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Changes the endpoint that is called first, whichever it is, just before the call. */
	function changeFirst(change: (scorer: MemoryEndpoint) => void): void {
		const {client} = settings;
		let isFirst = true;
		settings = {
			...settings, client: Object.assign(Object.create(client) as typeof client, {
				async call(...[target, request, signal]: Parameters<typeof client.call>) {
					if (isFirst) {
						isFirst = false;
						change(scorers.find(({id}) => id === target.id)!);
					}

					return client.call(target, request, signal);
				},
			}),
		};
	}

	async function score(ms: number): Promise<string | undefined> {
		const stamp = scoreSample(settings, scoredSample, new AbortController().signal);
		await clock.tickAsync(ms);
		return stamp;
	}

	function countRuns(): number {
		return scorers.reduce((sum, {runs}) => sum + runs.length, 0);
	}

	it('calls only one endpoint if it answers in time', async () => {
		for (const {switches} of scorers) {
			switches.callMs = 300;
		}

		expect(await score(350)).to.match(/\/c$/v);
		expect(countRuns()).to.equal(1);
	});

	it('does not wait for a slow endpoint', async () => {
		for (const {switches} of scorers) {
			switches.callMs = 200;
		}

		changeFirst(({switches}) => {
			switches.callMs = 2500;
		});
		expect(await score(700)).to.match(/\/c$/v);
		expect(countRuns()).to.equal(2);
	});

	it('gives up only after as many failures as the route allows attempts, not counting a lost answer', async () => {
		for (const {switches} of scorers) {
			switches.status = 500;
		}

		changeFirst(({switches}) => {
			switches.answersToLose = 1;
		});
		expect(await score(5000)).to.equal(undefined);
		// The answer of one of them was lost.
		expect(countRuns()).to.equal(5);
	});

	it('fails at most as often as the route allows attempts', async () => {
		for (const {switches} of scorers) {
			switches.status = 500;
		}

		expect(await score(3000)).to.equal(undefined);
		expect(countRuns()).to.equal(4);
	});

	it('calls again however many calls got no answer, as an endpoint that crashes leaves them', async () => {
		for (const {switches} of scorers) {
			switches.answersToLose = 3;
		}

		expect(await score(10_000)).to.match(/\/c$/v);
		expect(countRuns()).to.be.at.least(10);
	});
});
