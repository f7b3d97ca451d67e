import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {createSubmission, CrashBurst} from './crash-burst.js';

const itemCount = 8;

/** Crashes of each endpoint of a burst, and the time between them, in milliseconds. */
const crashCount = 5;
const crashIntervalMs = 400;

/** Time after a burst in which all items must be complete, in milliseconds: placed within 5 s, and 2 s for the text and its score. */
const completeMs = 7000;

describe('items under which endpoints crashed', () => {
	let clock: Clock;
	let fleet: CrashBurst;

	beforeEach(async () => {
		clock = install();
		fleet = new CrashBurst();
		const started = fleet.start();
		await clock.tickAsync(100);
		await started;
	});

	afterEach(() => {
		fleet.stop();
		clock.uninstall();
	});

	async function startGateway(host: string) {
		const gateway = fleet.startGateway(host);
		await clock.tickAsync(1500);
		return gateway;
	}

	async function crashInBurst(prefix: string): Promise<void> {
		for (let i = 0; i < crashCount; i += 1) {
			fleet.crash(prefix);
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(crashIntervalMs);
		}
	}

	async function countMade(host: string): Promise<number> {
		const reading = fleet.read(host, 'b');
		await clock.tickAsync(100);
		const results = await reading;
		return results.filter(({state}) => state === 'made').length;
	}

	async function submit(host: string): Promise<void> {
		const gateway = await startGateway(host);
		await startGateway('b');
		const submitted = gateway.batches.submit('b', createSubmission(itemCount));
		await clock.tickAsync(200);
		await submitted;
	}

	it('are placed again once the burst is over', async () => {
		await submit('a');
		await crashInBurst('e');
		await clock.tickAsync(completeMs);
		expect(await countMade('a')).to.equal(itemCount);
	});

	it('are placed again by the host that takes them over', async () => {
		await submit('a');
		await crashInBurst('e');
		fleet.killGateway('a');
		// A takeover begins up to 2 s after the owner's last heartbeat.
		await clock.tickAsync(2000 + completeMs);
		expect(await countMade('b')).to.equal(itemCount);
	});

	it('are placed again by a host that starts anew', async () => {
		await submit('a');
		await crashInBurst('e');
		fleet.killGateway('a');
		await startGateway('a');
		await clock.tickAsync(completeMs);
		expect(await countMade('a')).to.equal(itemCount);
	});

	it('are scored once the burst is over', async () => {
		await submit('a');
		await clock.tickAsync(1450);
		await crashInBurst('k');
		await clock.tickAsync(completeMs);
		expect(await countMade('a')).to.equal(itemCount);
	});
});
