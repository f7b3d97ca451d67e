import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {ConfigurationHistory} from '@wasabiusher/record';
import {createSilentLog, Random, type Configuration} from '@wasabiusher/shared';
import {Faults, FaultyTables} from '../../record/__tests__/faulty-storage.js';
import {ConfigurationAdopter, Invariants, type ConfigurationOutput} from '../src/index.js';

const dataCentres = ['tomakomai', 'muroran', 'ishikari'];
const entriesEach = 8;
const agentsEach = 26;

/** Agents of its own data centre that an entry has a link to, and of each other one. */
const linksAtHome = 8;
const linksAway = 1;

/** One-way delay of a link, in milliseconds. */
const linkMs = 1.5;

const configuration: Configuration = {profiles: {}, services: {}};

/** A hundred processes in three data centres, each with a tick of its own. */
class Spread {
	readonly tables = new FaultyTables(new Faults());
	readonly history = new ConfigurationHistory(this.tables);
	/** When each process had a version in force, in milliseconds. */
	readonly inForceAt = new Map<string, number>();
	bytes = 0;
	readonly #adopters = new Map<string, ConfigurationAdopter>();
	readonly #random = new Random(1);

	constructor() {
		for (const dataCentre of dataCentres) {
			const entries = listNames(`${dataCentre}-entry`, entriesEach);
			for (const name of entries) {
				this.#add(name, dataCentre, () => entries);
			}

			for (const name of listNames(`${dataCentre}-agent`, agentsEach)) {
				this.#add(name, dataCentre);
			}
		}

		for (const dataCentre of dataCentres) {
			for (const entry of listNames(`${dataCentre}-entry`, entriesEach)) {
				for (const other of dataCentres) {
					this.#connect(entry, listNames(`${other}-agent`, agentsEach), other === dataCentre ? linksAtHome : linksAway);
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
				this.inForceAt.set(name, performance.now());
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

describe('a configuration on its way to a hundred processes', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('is in force everywhere well within 8 s', async () => {
		const spread = new Spread();
		await clock.tickAsync(10_000);
		const delays: number[] = [];
		for (let change = 0; change < 20; change += 1) {
			spread.inForceAt.clear();
			const changedAt = performance.now();
			// eslint-disable-next-line no-await-in-loop
			await spread.history.append({configuration, author: 'test', acceptedAt: 1});
			// eslint-disable-next-line no-await-in-loop
			await clock.tickAsync(2170);
			expect(spread.inForceAt.size).to.equal(spread.size);
			delays.push(...[...spread.inForceAt.values()].map(at => at - changedAt));
		}

		expect(spread.size).to.equal(102);
		expect(findPercentile(delays, 0.5)).to.be.at.most(80);
		expect(findPercentile(delays, 0.99)).to.be.at.most(390);
		// A process sends less than 200 bytes a second, of messages as JSON, at one change in 2.2 s.
		expect(spread.bytes / spread.size / (performance.now() / 1000)).to.be.below(200);
	});
});
