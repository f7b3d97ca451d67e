import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Random} from '@wasabiusher/shared';
import {Pace, listFasterEndpoints} from '../src/index.js';

describe('Pace', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	function record(pace: Pace, unitsMs: readonly number[]): void {
		for (const unitMs of unitsMs) {
			clock.tick(5);
			pace.record(unitMs);
		}
	}

	it('does not mistake a healthy endpoint for a slow one because single events differ by half', () => {
		const random = new Random(3);
		const paces = [new Pace(), new Pace()];
		const create = (pace: Pace, id: string) => ({
			id, slots: 8, open: 0, openElsewhere: 0, paceMs: pace.unitMs, hasCachedPrefix: false, isDedicated: false, isConnected: false,
		});
		let moves = 0;
		for (let i = 0; i < 1000; i += 1) {
			for (const pace of paces) {
				record(pace, [38 + (random.next() < 0.2 ? 19 : -4.75)]);
			}

			const [current, other] = paces.map((pace, number) => create(pace, String(number)));
			moves += listFasterEndpoints(current!, [other!], true).length;
		}

		// A mean that weighs each new event by a quarter moved 89 times.
		expect(moves).to.be.below(10);
	});

	it('detects a slow endpoint within twenty events', () => {
		const pace = new Pace();
		record(pace, Array.from({length: 100}, () => 38));
		record(pace, Array.from({length: 20}, () => 120));
		expect(pace.unitMs).to.be.above(38 * 1.8);
	});

	it('is unknown before some events, and after a time without any', () => {
		const pace = new Pace();
		record(pace, [38, 38]);
		expect(pace.unitMs).to.equal(undefined);
		record(pace, [38, 38, 38]);
		expect(pace.unitMs).to.equal(38);
		clock.tick(2000);
		expect(pace.unitMs).to.equal(undefined);
	});
});
