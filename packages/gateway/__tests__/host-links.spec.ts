import {expect} from 'chai';
import {createSilentLog, Random} from '@wasabiusher/shared';
import {HostLinks} from '../src/host-links.js';

/** An address on which no process listens. */
const deadAddress = '127.0.0.1:1';

const message = {
	kind: 'slot-ration', ration: {
		endpoint: 'i', slots: 1, termMs: 1000, sequence: 1,
	},
} as const;

describe('HostLinks', () => {
	let links: HostLinks;

	function create(key: string | undefined): HostLinks {
		links = new HostLinks({
			host: 'a', random: new Random(1), log: createSilentLog(), findKey: () => key,
			onUp() {
				// The tests need no notification.
			},
			onMessage() {
				// The tests receive no messages.
			},
		});
		return links;
	}

	afterEach(() => {
		links.close();
	});

	it('treats a link as usable while it is being opened, and as unusable once it has not come up in time', async () => {
		const {counts} = create('key');
		expect(links.isUsable(deadAddress)).to.equal(true);
		expect(links.send(deadAddress, message)).to.equal(false);
		expect(links.isUsable(deadAddress)).to.equal(true);
		await new Promise<void>(resolve => {
			setTimeout(resolve, 200);
		});
		expect(links.isUsable(deadAddress)).to.equal(false);
		expect(counts).to.deep.equal({opened: 1, sent: 0, unopened: 0});
	});

	it('opens no links after it was closed', () => {
		create('key');
		links.close();
		expect([links.send(deadAddress, message), links.size]).to.deep.equal([false, 0]);
	});

	it('limits the number of links, and opens none without the key', () => {
		create('key');
		for (let i = 0; i < 40; i += 1) {
			links.send(`127.0.0.1:${i + 1}`, message);
		}

		expect([links.size, links.counts.unopened, links.isUsable('127.0.0.1:99')]).to.deep.equal([32, 8, false]);
		links.close();
		create(undefined);
		expect([links.send(deadAddress, message), links.size, links.isUsable(deadAddress)]).to.deep.equal([false, 0, false]);
	});
});
