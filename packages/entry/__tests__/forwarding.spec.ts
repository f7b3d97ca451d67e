import {expect} from 'chai';
import {Pool} from 'undici';
import {listEndToEndHeaders} from '@wasabiusher/backends';
import {
	startRoutes, waitUntil, type Reply, type Routes,
} from './fixtures.js';

function answerWhole({part}: Reply): void {
	part({kind: 'head', status: 201, headers: {'content-type': 'text/plain', 'x-tank': '7'}});
	part({kind: 'body', chunk: new TextEncoder().encode('posted')});
	part({kind: 'finished'});
}

describe('handleForward', () => {
	let routes: Routes;
	let pool: Pool;

	async function start(answer: (reply: Reply) => void): Promise<void> {
		routes = await startRoutes(answer);
		pool = new Pool(routes.origin, {connections: 1});
	}

	afterEach(async () => {
		await pool.destroy();
		await routes.stop();
	});

	it('preserves method, path, query, headers, body and status', async () => {
		await start(answerWhole);
		const response = await pool.request({
			method: 'PUT', path: '/ledger//postings/a%2Fb?tank=7&day=1', body: 'dip', headers: {'wasabiusher-profile': 'posting', 'x-gauge': 'g1', 'proxy-connection': 'x'},
		});
		expect(response.statusCode).to.equal(201);
		expect(response.headers).to.include({'x-tank': '7', 'content-type': 'text/plain'});
		expect(await response.body.text()).to.equal('posted');
		const [open] = routes.sent;
		const {work} = open as {work: {headers: Record<string, string>}};
		expect(work).to.deep.include({
			kind: 'forward', method: 'PUT', path: '//postings/a%2Fb?tank=7&day=1', body: new TextEncoder().encode('dip'),
		});
		expect(work.headers).to.include({'x-gauge': 'g1'});
		expect(work.headers).to.not.have.any.keys('proxy-connection', 'host', 'content-length');
	});

	it('responds to GET and then HEAD on a persistent connection', async () => {
		await start(answerWhole);
		const headers = {'wasabiusher-profile': 'ranger'};
		const whole = await pool.request({method: 'GET', path: '/ledger', headers});
		expect(await whole.body.text()).to.equal('posted');
		const head = await pool.request({method: 'HEAD', path: '/ledger/x', headers});
		expect(head.statusCode).to.equal(201);
		expect(await head.body.text()).to.equal('');
		expect(routes.sent.filter(({kind}) => kind === 'open').map(open => (open as {work: {method: string; path: string}}).work))
			.to.deep.include.members([
				{
					kind: 'forward', method: 'GET', path: '/', headers,
				},
				{
					kind: 'forward', method: 'HEAD', path: '/x', headers,
				},
			]);
	});

	it('keeps several cookies as separate headers', async () => {
		const cookies = ['a=1; Expires=Wed, 02 Dec 2026 21:00:00 GMT', 'b=2'];
		await start(({part}) => {
			part({kind: 'head', status: 200, headers: listEndToEndHeaders({'set-cookie': cookies, vary: ['a', 'b']})});
			part({kind: 'finished'});
		});
		const response = await pool.request({method: 'GET', path: '/ledger/x', headers: {'wasabiusher-profile': 'ranger'}});
		await response.body.dump();
		expect(response.headers).to.deep.include({'set-cookie': cookies, vary: 'a, b'});
	});

	it('streams a body as it arrives', async () => {
		const replies: Reply[] = [];
		await start(reply => {
			replies.push(reply);
			reply.part({kind: 'head', status: 200, headers: {}});
		});
		const response = await pool.request({method: 'GET', path: '/ledger/x', headers: {'wasabiusher-profile': 'ranger'}});
		expect(response.statusCode).to.equal(200);
		replies[0]!.part({kind: 'body', chunk: new TextEncoder().encode('a')});
		replies[0]!.part({kind: 'finished'});
		expect(await response.body.text()).to.equal('a');
	});

	it('closes the connection if the answer fails after its head', async () => {
		await start(({part, fail}) => {
			part({kind: 'head', status: 200, headers: {}});
			fail('unknown');
		});
		const outcome = await pool.request({method: 'POST', path: '/ledger/x', headers: {'wasabiusher-profile': 'posting'}})
			.then(async ({body}) => body.text())
			.catch((error: unknown) => error);
		expect(outcome).to.be.instanceOf(Error);
		expect(routes.records.map(({outcome: name, progress}) => [name, progress])).to.deep.equal([['failed', 'head']]);
	});

	it('reports that a non-idempotent call may have run, and does not retry it', async () => {
		await start(({fail}) => {
			fail('unknown');
		});
		const response = await pool.request({method: 'POST', path: '/ledger/x', headers: {'wasabiusher-profile': 'posting'}});
		expect(response.statusCode).to.equal(502);
		expect(response.headers).to.not.have.any.keys('retry-after');
		expect(await response.body.json()).to.include({ran: 'unknown'});
		expect(routes.sent.filter(({kind}) => kind === 'open')).to.have.lengthOf(1);
	});

	it('fails an answer with invalid headers, and continues to serve', async () => {
		await start(({part}) => {
			part({kind: 'head', status: 200, headers: {'x-bad': 'line\nbreak'}});
		});
		const response = await pool.request({method: 'GET', path: '/ledger/x', headers: {'wasabiusher-profile': 'ranger'}});
		expect(response.statusCode).to.equal(502);
		await response.body.dump();
		await waitUntil(() => routes.records.length === 1);
		expect(routes.dispatcher.openCalls).to.equal(0);
	});
});
