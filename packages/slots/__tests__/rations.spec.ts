import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {RationDesk, RationHome} from '../src/index.js';
import {createHosts, createWant, wayMs} from './fixtures.js';

const names = ['a', 'b', 'c', 'd', 'e', 'f'];
const [endpoint, other] = ['i', 'i2'] as const;

describe('Rations', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install({now: 1_000_000});
	});

	afterEach(() => {
		clock.uninstall();
	});

	/** Each host has six texts of 50 ms at once for an endpoint with six slots. */
	class Replay {
		readonly begun: string[] = [];
		refused = 0;
		idleSlotMs = 0;
		readonly #desks: ReadonlyMap<string, RationDesk> | undefined;
		readonly #urgentHost: string;
		readonly #left = new Map(names.map(name => [name, 6]));
		readonly #filled = new Map(names.map(name => [name, 0]));
		#running = 0;

		constructor(usesRations: boolean, urgentHost = '') {
			this.#desks = usesRations ? createHosts(names).desks : undefined;
			this.#urgentHost = urgentHost;
		}

		async run(): Promise<this> {
			for (let ms = 0; ms < 600 && this.begun.length < 36; ms += 1) {
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
			const limit = this.#desks?.get(name)!.findLimit(endpoint) ?? 6;
			if (this.#left.get(name)! > 0 && this.#filled.get(name)! < limit) {
				if (this.#running < 6) {
					this.#begin(name);
				} else {
					this.refused += 1;
				}
			}

			this.#tell(name);
		}

		#begin(name: string): void {
			this.begun.push(name);
			this.#running += 1;
			this.#left.set(name, this.#left.get(name)! - 1);
			this.#filled.set(name, this.#filled.get(name)! + 1);
			setTimeout(() => {
				this.#running -= 1;
				this.#filled.set(name, this.#filled.get(name)! - 1);
				this.#tell(name);
			}, 50);
		}

		#tell(name: string): void {
			const count = this.#left.get(name)!;
			this.#desks?.get(name)!.want({endpoint, filled: this.#filled.get(name)!, wants: count > 0 ? [createWant(count, {urgency: name === this.#urgentHost ? 0 : 1})] : []});
		}
	}

	it('lets an endpoint with six slots turn nobody away while six hosts fill it, and leaves few slots idle', async () => {
		const without = await new Replay(false).run();
		const {refused, begun, idleSlotMs} = await new Replay(true).run();
		expect(without.refused).to.be.above(100);
		expect(refused).to.equal(0);
		expect(begun).to.have.length(36);
		// Six rounds of a demand and its answer at most, against 1,800 ms of work.
		expect(idleSlotMs).to.be.below(6 * 6 * ((2 * wayMs) + 4));
	});

	it('serves what is most urgent first, whichever host has it', async () => {
		const {begun} = await new Replay(true, 'f').run();
		expect(begun.slice(0, 15).filter(name => name === 'f')).to.have.length(6);
	});

	it('tells nothing anew while nothing changes, but once in a while', async () => {
		const {desks: [desk], home} = takeFirst(createHosts(names));
		desk.want({endpoint, filled: 2, wants: []});
		await clock.tickAsync(20);
		for (let i = 0; i < 10; i += 1) {
			desk.want({endpoint, filled: 2, wants: []});
			desk.tick();
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(20);
		}

		expect(desk.counts.demands).to.equal(1);
		await clock.tickAsync(300);
		desk.tick();
		expect(desk.counts.demands).to.equal(2);
		expect(home.size).to.equal(1);
	});

	it('goes by what the host sees itself where no home is linked, also if that was cut a moment ago', async () => {
		const {desks: [desk], switches} = takeFirst(createHosts(names));
		desk.want({endpoint, filled: 1, wants: [createWant(2)]});
		await clock.tickAsync(10);
		expect(desk.findLimit(endpoint)).to.equal(3);
		expect(desk.findLimit(other)).to.equal(1);
		switches.isLinked = false;
		expect(desk.findLimit(other)).to.equal(undefined);
		await clock.tickAsync(1000);
		expect(desk.findLimit(endpoint)).to.equal(undefined);
	});

	/** What a host may fill while messages of one way are lost, and after it. */
	async function findLimitsAroundCut(cut: 'passesDemands' | 'passesRations'): Promise<Array<number | undefined>> {
		const {desks: [desk], switches} = takeFirst(createHosts(names));
		switches[cut] = false;
		desk.want({endpoint, filled: 1, wants: [createWant(2)]});
		await clock.tickAsync(10);
		const limits = [desk.findLimit(endpoint)];
		await clock.tickAsync(100);
		desk.tick();
		limits.push(desk.findLimit(endpoint));
		switches[cut] = true;
		await clock.tickAsync(900);
		desk.want({endpoint, filled: 1, wants: [createWant(2)]});
		await clock.tickAsync(110);
		desk.tick();
		await clock.tickAsync(10);
		expect(desk.counts.unanswered).to.equal(1);
		return [...limits, desk.findLimit(endpoint)];
	}

	it('does not wait for a home that is frozen or cut off one way, and asks it again later', async () => {
		expect(await findLimitsAroundCut('passesDemands')).to.deep.equal([1, undefined, 3]);
		expect(await findLimitsAroundCut('passesRations')).to.deep.equal([1, undefined, 3]);
	});

	it('ignores a ration that answers an older demand, and a demand that comes after a newer one', async () => {
		const {desks: [desk], home} = takeFirst(createHosts(names));
		desk.want({endpoint, filled: 1, wants: [createWant(1)]});
		await clock.tickAsync(10);
		desk.take({
			endpoint, slots: 6, termMs: 1000, sequence: 1,
		});
		expect(desk.findLimit(endpoint)).to.equal(2);
		const late = {
			endpoint, filled: 0, wants: [], sequence: 1,
		};
		home.take('a', late, 6);
		expect([desk.counts.lateRations, home.counts.lateDemands]).to.deep.equal([1, 1]);
	});

	it('gives the slots of a host that has died to others when its term has ended, not before', async () => {
		const told = new Map<string, number>();
		const home = createHome(told);
		const take = async (host: string, sequence: number) => {
			home.take(host, {
				endpoint, filled: 0, wants: [createWant(6)], sequence,
			}, 6);
			await clock.tickAsync(5);
			return told.get(host);
		};

		expect(await take('dead', 1)).to.equal(6);
		await clock.tickAsync(1000);
		expect(await take('b', 1)).to.equal(0);
		await clock.tickAsync(250);
		expect(await take('b', 2)).to.equal(6);
		await clock.tickAsync(2000);
		home.sweep();
		expect(home.size).to.equal(0);
	});

	it('gives no slots that hosts fill which tell nothing, as far as the endpoint tells of them', async () => {
		const told = new Map<string, number>();
		createHome(told).take('a', {
			endpoint, filled: 1, wants: [createWant(6)], others: 3, sequence: 1,
		}, 6);
		await clock.tickAsync(5);
		expect(told.get('a')).to.equal(3);
	});

	it('lets two homes give for one endpoint no longer than a term', async () => {
		const limits: number[] = [];
		const homes = [0, 1].map(() => new RationHome(rations => {
			for (const {host, ration} of rations) {
				desks[Number(host)]!.take(ration);
			}
		}));
		const current: {home?: number} = {};
		const desks: RationDesk[] = [0, 1].map(i => new RationDesk({
			send(demand) {
				homes[current.home ?? i]!.take(String(i), demand, 6);
				return true;
			},
			isUsable: () => true,
			findFreePart: () => 1,
		}));
		const look = async () => {
			for (const desk of desks) {
				desk.want({endpoint, filled: 0, wants: [createWant(6)]});
				desk.tick();
			}

			await clock.tickAsync(10);
			return desks.reduce((sum, desk) => sum + (desk.findLimit(endpoint) ?? 0), 0);
		};

		limits.push(await look());
		current.home = 0;
		for (let i = 0; i < 100; i += 1) {
			// eslint-disable-next-line no-await-in-loop
			limits.push(await look());
		}

		expect(limits[0]).to.equal(12);
		expect(limits.at(-1)).to.equal(6);
	});
});

function createHome(told: Map<string, number>): RationHome {
	return new RationHome(rations => {
		for (const {host, ration} of rations) {
			told.set(host, ration.slots);
		}
	});
}

function takeFirst({desks, ...rest}: ReturnType<typeof createHosts>) {
	const [desk] = desks.values();
	return {...rest, desks: [desk!] as const};
}
