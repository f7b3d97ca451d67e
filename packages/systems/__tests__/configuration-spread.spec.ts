import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {ConfigurationHistory} from '@wasabiusher/record';
import {createSilentLog, Random, type Configuration} from '@wasabiusher/shared';
import {Faults, FaultyTables} from '../../record/__tests__/faulty-storage.js';
import {ConfigurationAdopter, Invariants, type ConfigurationOutput} from '../src/index.js';

const dataCentres = ['tomakomai', 'muroran', 'ishikari'];
const entriesPerDataCentre = 8;
const agentsPerDataCentre = 26;

/** Number of links from an entry to agents of its own data centre. */
const localLinks = 8;

/** Number of links from an entry to agents of each other data centre. */
const remoteLinks = 1;

/** One-way delay of a link, in milliseconds. */
const linkMs = 1.5;

const configuration: Configuration = {profiles: {}, services: {}};

/** Simulates about a hundred processes in three data centres, whose ticks start at different times. */
class FakeNetwork {
	readonly tables = new FaultyTables(new Faults());
	readonly history = new ConfigurationHistory(this.tables);
	/** When each process adopted a version, on the monotonic clock. */
	readonly adoptedAt = new Map<string, number>();
	bytes = 0;
	readonly #adopters = new Map<string, ConfigurationAdopter>();
	readonly #random = new Random(1);

	constructor() {
		for (const dataCentre of dataCentres) {
			const entries = listNames(`${dataCentre}-entry`, entriesPerDataCentre);
			for (const name of entries) {
				this.#add(name, dataCentre, () => entries);
			}

			for (const name of listNames(`${dataCentre}-agent`, agentsPerDataCentre)) {
				this.#add(name, dataCentre);
			}
		}

		for (const dataCentre of dataCentres) {
			for (const entry of listNames(`${dataCentre}-entry`, entriesPerDataCentre)) {
				for (const other of dataCentres) {
					this.#connect(entry, listNames(`${other}-agent`, agentsPerDataCentre), other === dataCentre ? localLinks : remoteLinks);
				}
			}
		}
	}

	get size(): number {
		return this.#adopters.size;
	}

	#add(name: string, dataCentre: string, listEntries?: () => string[]): void {
		const log = createSilentLog();
		const adopter = new ConfigurationAdopter({
			name,
			dataCentre,
			log,
			random: this.#random,
			invariants: new Invariants(log),
			reader: listEntries && {history: this.history, listEntries},
			onAdopted: () => {
				this.adoptedAt.set(name, performance.now());
			},
		});
		this.#adopters.set(name, adopter);
		setTimeout(() => {
			setInterval(() => {
				void adopter.tick().then(outputs => {
					this.#send(name, outputs);
				});
			}, 1000);
		}, this.#random.integer(0, 999));
	}

	#connect(entry: string, agents: string[], count: number): void {
		const start = this.#random.integer(0, agents.length - 1);
		for (const agent of Array.from({length: count}, (_, index) => agents[(start + index) % agents.length]!)) {
			this.#send(entry, this.#adopters.get(entry)!.onLinkUp(agent));
			this.#send(agent, this.#adopters.get(agent)!.onLinkUp(entry));
		}
	}

	#send(from: string, outputs: ConfigurationOutput[]): void {
		for (const {to, message} of outputs) {
			this.bytes += JSON.stringify(message).length;
			setTimeout(() => {
				this.#send(to, this.#adopters.get(to)!.receive(from, message));
			}, linkMs);
		}
	}
}

function listNames(prefix: string, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${prefix}-${index}`);
}

function findPercentile(values: number[], fraction: number): number {
	return values.toSorted((a, b) => a - b)[Math.ceil(values.length * fraction) - 1]!;
}

describe('ConfigurationAdopter with a hundred processes', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('adopts a change in every process well within 8 s', async () => {
		const network = new FakeNetwork();
		await clock.tickAsync(10_000);
		const delays: number[] = [];
		for (let change = 0; change < 20; change += 1) {
			network.adoptedAt.clear();
			const changedAt = performance.now();
			// eslint-disable-next-line no-await-in-loop
			await network.history.append({configuration, author: 'test', acceptedAt: 1});
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(2170);
			expect(network.adoptedAt.size).to.equal(network.size);
			delays.push(...[...network.adoptedAt.values()].map(at => at - changedAt));
		}

		expect(network.size).to.equal(102);
		expect(findPercentile(delays, 0.5)).to.be.at.most(80);
		expect(findPercentile(delays, 0.99)).to.be.at.most(390);
		// With one change per 2.2 s, a process sends less than 200 bytes per second of JSON messages on average.
		expect(network.bytes / network.size / (performance.now() / 1000)).to.be.below(200);
	});
});
