import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {AllocationClient, AllocationCoordinator} from '../src/index.js';
import {createHosts, createWant, messageDelayMs} from './fixtures.js';

const names = ['a', 'b', 'c', 'd', 'e', 'f'];
const [endpoint, other] = ['i', 'i2'] as const;

describe('Slot allocation', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install({now: 1_000_000});
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Simulates hosts that each start with six generations of 50 ms for an endpoint with six slots. */
	class Replay {
		readonly started: string[] = [];
		refused = 0;
		idleSlotMs = 0;
		readonly #clients: ReadonlyMap<string, AllocationClient> | undefined;
		readonly #urgentHost: string;
		readonly #waiting = new Map(names.map(name => [name, 6]));
		readonly #filled = new Map(names.map(name => [name, 0]));
		#running = 0;

		constructor(usesRations: boolean, urgentHost = '') {
			this.#clients = usesRations ? createHosts(names).clients : undefined;
			this.#urgentHost = urgentHost;
		}

		async run(): Promise<this> {
			for (let ms = 0; ms < 600 && this.started.length < 36; ms += 1) {
				for (const name of names) {
					this.#send(name);
				}

				this.idleSlotMs += 6 - this.#running;
				// eslint-disable-next-line no-await-in-loop
				await clock.tickAsync(1);
			}

			return this;
		}

		#send(name: string): void {
			const limit = this.#clients?.get(name)!.findLimit(endpoint) ?? 6;
			if (this.#waiting.get(name)! > 0 && this.#filled.get(name)! < limit) {
				if (this.#running < 6) {
					this.#begin(name);
				} else {
					this.refused += 1;
				}
			}

			this.#report(name);
		}

		#begin(name: string): void {
			this.started.push(name);
			this.#running += 1;
			this.#waiting.set(name, this.#waiting.get(name)! - 1);
			this.#filled.set(name, this.#filled.get(name)! + 1);
			setTimeout(() => {
				this.#running -= 1;
				this.#filled.set(name, this.#filled.get(name)! - 1);
				this.#report(name);
			}, 50);
		}

		#report(name: string): void {
			const count = this.#waiting.get(name)!;
			this.#clients?.get(name)!.updateDemand({endpoint, filled: this.#filled.get(name)!, wants: count > 0 ? [createWant(count, {urgency: name === this.#urgentHost ? 0 : 1})] : []});
		}
	}

	it('avoids refusals of an endpoint with six slots that six hosts fill, and leaves few slots idle', async () => {
		const without = await new Replay(false).run();
		const {refused, started, idleSlotMs} = await new Replay(true).run();
		expect(without.refused).to.be.above(100);
		expect(refused).to.equal(0);
		expect(started).to.have.length(36);
		// At most six rounds of a demand and its answer, compared with 1,800 ms of work.
		expect(idleSlotMs).to.be.below(6 * 6 * ((2 * messageDelayMs) + 4));
	});

	it('serves the most urgent work first, whichever host has it', async () => {
		const {started} = await new Replay(true, 'f').run();
		expect(started.slice(0, 15).filter(name => name === 'f')).to.have.length(6);
	});

	it('sends an unchanged demand again only at the renewal interval', async () => {
		const {clients: [client], coordinator} = takeFirst(createHosts(names));
		client.updateDemand({endpoint, filled: 2, wants: []});
		await clock.tickAsync(20);
		for (let i = 0; i < 10; i += 1) {
			client.updateDemand({endpoint, filled: 2, wants: []});
			client.tick();
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(20);
		}

		expect(client.counts.demands).to.equal(1);
		await clock.tickAsync(300);
		client.tick();
		expect(client.counts.demands).to.equal(2);
		expect(coordinator.size).to.equal(1);
	});

	it('sets no limit while no coordinator is linked, also if the link was just lost', async () => {
		const {clients: [client], switches} = takeFirst(createHosts(names));
		client.updateDemand({endpoint, filled: 1, wants: [createWant(2)]});
		await clock.tickAsync(10);
		expect(client.findLimit(endpoint)).to.equal(3);
		expect(client.findLimit(other)).to.equal(1);
		switches.isLinked = false;
		expect(client.findLimit(other)).to.equal(undefined);
		await clock.tickAsync(1000);
		expect(client.findLimit(endpoint)).to.equal(undefined);
	});

	/** Returns the limits of a host while messages of one direction are lost, after the time limit, and after the recovery. */
	async function findLimitsAroundCut(cut: 'passesDemands' | 'passesRations'): Promise<Array<number | undefined>> {
		const {clients: [client], switches} = takeFirst(createHosts(names));
		switches[cut] = false;
		client.updateDemand({endpoint, filled: 1, wants: [createWant(2)]});
		await clock.tickAsync(10);
		const limits = [client.findLimit(endpoint)];
		await clock.tickAsync(100);
		client.tick();
		limits.push(client.findLimit(endpoint));
		switches[cut] = true;
		await clock.tickAsync(900);
		client.updateDemand({endpoint, filled: 1, wants: [createWant(2)]});
		await clock.tickAsync(110);
		client.tick();
		await clock.tickAsync(10);
		expect(client.counts.unanswered).to.equal(1);
		return [...limits, client.findLimit(endpoint)];
	}

	it('does not wait for a coordinator that is frozen or cut off in one direction, and sends demands again later', async () => {
		expect(await findLimitsAroundCut('passesDemands')).to.deep.equal([1, undefined, 3]);
		expect(await findLimitsAroundCut('passesRations')).to.deep.equal([1, undefined, 3]);
	});

	it('ignores an allocation that answers an older demand, and a demand that arrives after a newer one', async () => {
		const {clients: [client], coordinator} = takeFirst(createHosts(names));
		client.updateDemand({endpoint, filled: 1, wants: [createWant(1)]});
		await clock.tickAsync(10);
		client.handleAllocation({
			endpoint, slots: 6, termMs: 1000, sequence: 1,
		});
		expect(client.findLimit(endpoint)).to.equal(2);
		const late = {
			endpoint, filled: 0, wants: [], sequence: 1,
		};
		coordinator.handleDemand('a', late, 6);
		expect([client.counts.lateRations, coordinator.counts.lateDemands]).to.deep.equal([1, 1]);
	});

	it('reallocates the slots of a crashed host when its term has ended, not before', async () => {
		const slotsByHost = new Map<string, number>();
		const coordinator = createCoordinator(slotsByHost);
		const take = async (host: string, sequence: number) => {
			coordinator.handleDemand(host, {
				endpoint, filled: 0, wants: [createWant(6)], sequence,
			}, 6);
			await clock.tickAsync(5);
			return slotsByHost.get(host);
		};

		expect(await take('dead', 1)).to.equal(6);
		await clock.tickAsync(1000);
		expect(await take('b', 1)).to.equal(0);
		await clock.tickAsync(250);
		expect(await take('b', 2)).to.equal(6);
		await clock.tickAsync(2000);
		coordinator.sweep();
		expect(coordinator.size).to.equal(0);
	});

	it('subtracts the load that an endpoint reports for hosts without an allocation', async () => {
		const slotsByHost = new Map<string, number>();
		createCoordinator(slotsByHost).handleDemand('a', {
			endpoint, filled: 1, wants: [createWant(6)], others: 3, sequence: 1,
		}, 6);
		await clock.tickAsync(5);
		expect(slotsByHost.get('a')).to.equal(3);
	});

	it('lets two coordinators allocate the slots of one endpoint for a term at most', async () => {
		const limits: number[] = [];
		const coordinators = [0, 1].map(() => new AllocationCoordinator(allocations => {
			for (const {host, ration} of allocations) {
				clients[Number(host)]!.handleAllocation(ration);
			}
		}));
		const current: {coordinator?: number} = {};
		const clients: AllocationClient[] = [0, 1].map(i => new AllocationClient({
			send(demand) {
				coordinators[current.coordinator ?? i]!.handleDemand(String(i), demand, 6);
				return true;
			},
			isCoordinatorAvailable: () => true,
			findDefaultLimit: () => 1,
		}));
		const tick = async () => {
			for (const client of clients) {
				client.updateDemand({endpoint, filled: 0, wants: [createWant(6)]});
				client.tick();
			}

			await clock.tickAsync(10);
			return clients.reduce((sum, client) => sum + (client.findLimit(endpoint) ?? 0), 0);
		};

		limits.push(await tick());
		current.coordinator = 0;
		for (let i = 0; i < 100; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			limits.push(await tick());
		}

		expect(limits[0]).to.equal(12);
		expect(limits.at(-1)).to.equal(6);
	});
});

function createCoordinator(slotsByHost: Map<string, number>): AllocationCoordinator {
	return new AllocationCoordinator(allocations => {
		for (const {host, ration} of allocations) {
			slotsByHost.set(host, ration.slots);
		}
	});
}

function takeFirst({clients, ...rest}: ReturnType<typeof createHosts>) {
	const [client] = clients.values();
	return {...rest, clients: [client!] as const};
}
