import {expect} from 'chai';
import {
	HttpServer, readJson, sendJson, SettingsError,
} from '@wasabiusher/daemon';
import {createProblem} from '@wasabiusher/shared';
import {judgePosting} from '../src/ledger-check.js';
import {checkOrigins} from '../src/loopback.js';
import {
	createReport, isTrue, loadSettingsSchema, runLoad, type LoadReport,
} from '../src/index.js';

type Body = {prompt: string; max_tokens: number; stream: boolean};

const formatTokens = (tag: string, count: number) => Array.from({length: count}, (_, index) => `t${index + 1}:${tag} `).join('');

const chunk = (text: string) => `data: ${JSON.stringify({choices: [{text}]})}\n\n`;

describe('runLoad', () => {
	let server: HttpServer;
	let origin: string;

	beforeEach(async () => {
		server = new HttpServer();
		origin = `http://${await server.listen('127.0.0.1:0')}`;
	});

	afterEach(async () => {
		await server.kill();
	});

	async function run(settings: Record<string, string>): Promise<LoadReport> {
		return createReport(await runLoad(loadSettingsSchema.parse({
			entries: origin, profile: 'p', rate: '1000', seconds: '1', requests: '10', tokens: '3', ...settings,
		})));
	}

	/** Responds to completion requests with the text that `answer` returns for the tag and number of tokens. */
	function serveText(answer: (tag: string, count: number) => string): void {
		server.on('post', '/v1/completions', async ({request, response}) => {
			const {prompt, max_tokens: count, stream} = await readJson(request) as Body;
			const text = answer(prompt.slice('tag='.length), count);
			if (stream) {
				response.end(text);
			} else {
				sendJson(response, 200, {choices: [{text}]});
			}
		});
	}

	it('reports no violations for complete answers', async () => {
		serveText(formatTokens);
		const report = await run({kind: 'call'});
		expect(report).to.deep.include({
			sent: 10, answered: 10, refused: 0, unknown: 0, notSent: 0, violations: {},
		});
		expect(isTrue(report)).to.equal(true);
		expect(report.latency!.p50).to.be.greaterThan(0);
	});

	it('reports answers that are truncated or belong to another request', async () => {
		const answers: Record<string, (tag: string, count: number) => string> = {
			'not-whole': (tag, count) => formatTokens(tag, count - 1),
			foreign: (_tag, count) => formatTokens('other', count),
		};
		for (const [violation, answer] of Object.entries(answers)) {
			serveText(answer);
			// Runs sequentially, since both answers use the same route.
			// eslint-disable-next-line no-await-in-loop
			const {violations} = await run({kind: 'call'});
			expect(violations).to.deep.equal({[violation]: 10});
			// eslint-disable-next-line no-await-in-loop
			await server.kill();
			server = new HttpServer();
			// eslint-disable-next-line no-await-in-loop
			origin = `http://${await server.listen('127.0.0.1:0')}`;
		}
	});

	it('counts a stream as answered only after its terminal event', async () => {
		serveText((tag, count) => `${chunk(formatTokens(tag, count))}data: [DONE]\n\n`);
		expect(await run({kind: 'stream'})).to.deep.include({answered: 10, violations: {}});
		await server.kill();
		server = new HttpServer();
		origin = `http://${await server.listen('127.0.0.1:0')}`;
		serveText((tag, count) => chunk(formatTokens(tag, count)));
		expect(await run({kind: 'stream'})).to.deep.include({answered: 0, unknown: 10, reasons: {'cut-off': 10}});
	});

	it('distinguishes refusals from requests that may have run', async () => {
		let count = 0;
		server.on('post', '/v1/completions', ({response}) => {
			count += 1;
			sendJson(response, 503, createProblem('unavailable', '', count % 2 === 0 ? 'no' : 'unknown'));
		});
		expect(await run({})).to.deep.include({refused: 5, unknown: 5, reasons: {unavailable: 10}});
	});

	it('compares the outcomes of postings with the counts of the ledger', async () => {
		const counts: Record<string, number> = {};
		server.on('post', '/ledger/postings', async ({request, response}) => {
			const {key} = await readJson(request) as {key: string};
			const place = Number(key.split('-')[1]);
			counts[key] = [1, 2, 0, 1][place % 4]!;
			if (place % 4 === 3) {
				sendJson(response, 503, createProblem('unavailable', '', 'no'));
			} else {
				sendJson(response, 201, {});
			}
		});
		server.on('get', '/postings', ({response}) => {
			sendJson(response, 200, counts);
		});
		const {violations} = await run({kind: 'posting', ledgers: origin, requests: '8'});
		expect(violations).to.deep.equal({doubled: 2, lost: 2, 'untrue-refusal': 2});
	});

	it('keeps to the concurrency limit', async () => {
		const open: Array<() => void> = [];
		server.on('post', '/v1/completions', ({response}) => {
			open.push(() => {
				sendJson(response, 503, createProblem('unavailable', '', 'no'));
			});
		});
		const running = run({concurrency: '2', rate: '100000'});
		while (open.length < 2) {
			// eslint-disable-next-line no-await-in-loop
			await new Promise<void>(resolve => {
				setTimeout(resolve, 1);
			});
		}

		for (const answer of open) {
			answer();
		}

		const report = await running;
		expect(report).to.deep.include({sent: 2, notSent: 8});
	});
});

describe('judgePosting', () => {
	it('allows a posting with an unknown outcome to be recorded at most once', () => {
		expect([0, 1, 2].map(count => judgePosting({kind: 'unknown'}, count))).to.deep.equal([[], [], ['doubled']]);
	});
});

describe('checkOrigins', () => {
	it('rejects remote origins unless they are allowed', () => {
		checkOrigins(['http://127.0.0.1:1', 'http://[::1]:2'], false);
		checkOrigins(['http://192.0.2.1:1'], true);
		expect(() => {
			checkOrigins(['http://192.0.2.1:1'], false);
		}).to.throw(SettingsError, '192.0.2.1');
	});
});
