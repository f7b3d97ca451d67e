import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {
	HttpServer, JsonDocuments, JsonMeasure, MemoryBudget, beginBody, sendJson, HttpError,
} from '../src/index.js';

describe('JsonMeasure', () => {
	function countValues(value: unknown): number {
		if (typeof value !== 'object' || value === null) {
			return 1;
		}

		const inner = Object.values(value).reduce<number>((sum, part) => sum + countValues(part), 0);
		return 1 + inner + (Array.isArray(value) ? 0 : Object.keys(value).length);
	}

	it('counts no fewer values than a document has, wherever it is split', () => {
		fc.assert(fc.property(fc.jsonValue(), fc.nat(), (value, at) => {
			const bytes = Buffer.from(JSON.stringify(value));
			const measure = new JsonMeasure(1000);
			measure.add(bytes.subarray(0, at % (bytes.length + 1)));
			measure.add(bytes.subarray(at % (bytes.length + 1)));
			expect(measure.values).to.be.at.least(countValues(value));
			expect(measure.isTooDeep).to.equal(false);
		}));
	});

	it('ignores brackets in strings', () => {
		const measure = new JsonMeasure(1);
		measure.add(Buffer.from(String.raw`["[[[\"[[[\\", "{"]`));
		expect([measure.isTooDeep, measure.values]).to.deep.equal([false, 3]);
		measure.add(Buffer.from('[['));
		expect(measure.isTooDeep).to.equal(true);
	});
});

describe('JsonDocuments', () => {
	const budget = new MemoryBudget({totalBytes: 4_000_000, reservedBytes: 0, smallBytes: 1000});
	let server: HttpServer;
	let address: string;

	async function post(body: string): Promise<{status: number; text: string}> {
		const response = await fetch(`http://${address}/`, {method: 'POST', body});
		return {status: response.status, text: await response.text()};
	}

	beforeEach(async () => {
		const documents = new JsonDocuments(3_000_000);
		server = new HttpServer((error, {response}) => {
			sendJson(response, error instanceof HttpError && error.code === 'no-room' ? 503 : 400, {reason: String(error)});
		}, {budget});
		server.on('post', '/', async ({request, response}) => {
			sendJson(response, 200, await documents.read(beginBody(request), value => (value as {a: unknown[]}).a.length));
		});
		address = await server.listen('127.0.0.1:0');
	});

	afterEach(async () => {
		await server.kill();
	});

	it('parses small and large documents', async () => {
		for (const length of [1, 20_000]) {
			// eslint-disable-next-line no-await-in-loop
			expect(await post(JSON.stringify({a: Array.from({length}, () => 'some text')}))).to.deep.equal({status: 200, text: `${length}\n`});
		}
	});

	it('refuses documents that are no JSON, nested too deeply, or of more values than there is memory for', async () => {
		const count = 100_000;
		const cases: Array<[body: string, status: number, reason: string]> = [
			['{', 400, 'not JSON'],
			[`{"a":[${'1,'.repeat(count / 20)}`.padEnd(count), 400, 'not JSON'],
			['['.repeat(count), 400, 'nested'],
			[`{"a":[${'{},'.repeat(count)}1]}`, 503, 'memory'],
		];
		for (const [body, status, reason] of cases) {
			// eslint-disable-next-line no-await-in-loop
			const answer = await post(body);
			expect(answer.status, reason).to.equal(status);
			expect(answer.text).to.contain(reason);
		}

		expect(await post('{"a":[]}')).to.include({status: 200});
	});
});
