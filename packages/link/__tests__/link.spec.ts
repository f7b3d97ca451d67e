import {createServer, type Server} from 'node:http';
import {expect} from 'chai';
import {Random} from '@wasabiusher/shared';
import {
	LinkClient, LinkServer, type Link, type LinkError, type Message,
} from '../src/index.js';

type Pair = {
	client: LinkClient;
	received: Message[];
	rejected: LinkError[];
	close(): void;
};

async function listenAnywhere(server: Server): Promise<string> {
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	return `127.0.0.1:${typeof address === 'object' ? address!.port : ''}`;
}

async function createPair(clientKey: string, serverKeys: [string, ...string[]]): Promise<Pair & {outcome: Promise<LinkError | undefined>}> {
	const http = createServer();
	const received: Message[] = [];
	const rejected: LinkError[] = [];
	const server = new LinkServer(http, {
		identity: {name: 'agent-1', keys: serverKeys},
		onLink: (link: Link) => ({
			onMessage(message) {
				received.push(message);
				link.send(message);
			},
			onClose: () => undefined,
		}),
		onReject(error) {
			rejected.push(error);
		},
	});
	const address = await listenAnywhere(http);
	let client: LinkClient | undefined;
	const outcome = new Promise<LinkError | undefined>(resolve => {
		client = new LinkClient({
			address,
			identity: {name: 'entry-1', keys: [clientKey]},
			random: new Random(1),
			onUp() {
				client!.send({kind: 'digest', configurationVersion: 7});
			},
			onDown: resolve,
			onMessage() {
				resolve(undefined);
			},
		});
	});
	return {
		client: client!,
		received,
		rejected,
		outcome,
		close() {
			client!.close();
			server.close();
			http.close();
		},
	};
}

describe('link', () => {
	it('carries a message there and back', async () => {
		const pair = await createPair('k1', ['k1']);
		expect(await pair.outcome).to.equal(undefined);
		expect(pair.received).to.deep.equal([{kind: 'digest', configurationVersion: 7}]);
		pair.close();
	});

	it('accepts an older key while two are valid', async () => {
		const pair = await createPair('old', ['new', 'old']);
		await pair.outcome;
		pair.close();
		expect(pair.rejected).to.deep.equal([]);
	});

	it('refuses a peer with a wrong key', async () => {
		const pair = await createPair('wrong', ['k1']);
		await pair.outcome;
		pair.close();
		expect(pair.rejected.map(error => error.code)).to.deep.equal(['unauthorized']);
		expect(pair.received).to.deep.equal([]);
	});
});
