import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {Member} from '@wasabiusher/backends';
import {MemoryMembershipList, MemoryWeightStore} from '../src/index.js';

function createMember(state: Member['state']): Member {
	return {
		id: 'agent-1', role: 'agent', address: '127.0.0.1:1', dataCentre: 'muroran', region: 'hokkaido', state,
	};
}

async function listStates(members: MemoryMembershipList): Promise<string[]> {
	const listed = await members.list();
	return listed.map(({state}) => state);
}

describe('MemoryMembershipList and MemoryWeightStore', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('lists an announcement after the lag, and the previous one until then', async () => {
		const members = new MemoryMembershipList({lagMs: 2000});
		await members.announce(createMember('live'));
		expect(await members.list()).to.deep.equal([]);
		await clock.tickAsync(2000);
		await members.announce(createMember('leaving'));
		expect(await listStates(members)).to.deep.equal(['live']);
		await clock.tickAsync(2000);
		expect(await listStates(members)).to.deep.equal(['leaving']);
	});

	it('lists a dead host until it has been silent for the expiry', async () => {
		const members = new MemoryMembershipList({expiryMs: 10_000});
		await members.announce(createMember('live'));
		await clock.tickAsync(10_000);
		expect(await members.list()).to.have.lengthOf(1);
		await clock.tickAsync(1);
		expect(await members.list()).to.deep.equal([]);
	});

	it('queues simultaneous transfers of weights', async () => {
		const weights = new MemoryWeightStore({versionBytes: 1000, bytesPerSecond: 1000});
		weights.publish('trail', 4);
		const finished: number[] = [];
		for (const engine of [1, 2, 3]) {
			void weights.fetch('trail', 4).then(() => finished.push(engine));
		}

		await clock.tickAsync(2000);
		expect(finished).to.deep.equal([1, 2]);
		await clock.tickAsync(1000);
		expect(finished).to.deep.equal([1, 2, 3]);
	});

	it('refuses to transfer weights that were not published', async () => {
		const weights = new MemoryWeightStore();
		weights.publish('trail', 4);
		let code = '';
		try {
			await weights.fetch('trail', 5);
		} catch (error) {
			code = (error as {code: string}).code;
		}

		expect(code).to.equal('refused');
	});
});
