import {connect} from 'node:net';
import {once} from 'node:events';
import {expect} from 'chai';
import {request} from 'undici';
import {LedgerServer, Relay, ScorerServer} from '../src/index.js';

async function post(origin: string, path: string, body: unknown): Promise<unknown> {
	const response = await request(new URL(path, origin), {method: 'POST', body: JSON.stringify(body)});
	return response.body.json();
}

describe('stand-ins for plain services', () => {
	it('count each posting by its key, also when the answer is lost', async () => {
		const ledger = new LedgerServer();
		const origin = await ledger.start();
		ledger.answersToLose = 1;
		let isLost = false;
		await post(origin, '/postings', {key: 'tank-1'}).catch(() => {
			isLost = true;
		});
		await post(origin, '/postings', {key: 'tank-1'});
		await post(origin, '/postings', {key: 'tank-2'});
		const {body} = await request(new URL('/postings', origin));
		expect(isLost).to.equal(true);
		expect(await body.json()).to.deep.equal({'tank-1': 2, 'tank-2': 1});
		await ledger.stop();
	});

	it('score a text the same each time, and count the samples', async () => {
		const scorer = new ScorerServer();
		const origin = await scorer.start();
		const first = await post(origin, '/scores', {id: 's/0/0', text: 'a'});
		expect(await post(origin, '/scores', {id: 's/0/0', text: 'a'})).to.deep.equal(first);
		expect((first as {score: number}).score).to.be.within(0, 1);
		expect(scorer.scored.get('s/0/0')).to.equal(2);
		await scorer.stop();
	});

	it('relay bytes until silenced, and continue to relay new connections', async () => {
		const ledger = new LedgerServer();
		const relay = new Relay(new URL(await ledger.start()).host);
		const address = await relay.start();
		const port = Number(address.split(':')[1]);
		const silent = connect(port, '127.0.0.1');
		silent.write('GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n');
		await once(silent, 'data');
		expect(relay.silence()).to.equal(1);
		let received = 0;
		silent.on('data', () => {
			received += 1;
		});
		silent.write('GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n');
		const {body} = await request(new URL('/healthz', `http://${address}`));
		expect(await body.text()).to.equal('ok\n');
		expect(received).to.equal(0);
		expect(silent.destroyed).to.equal(false);
		await relay.stop();
		await ledger.stop();
	});
});
