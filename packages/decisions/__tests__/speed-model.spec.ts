import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {SpeedModel} from '../src/index.js';

describe('SpeedModel', () => {
	let clock: Clock;
	let model: SpeedModel;

	beforeEach(() => {
		clock = install();
		model = new SpeedModel();
	});

	afterEach(() => {
		clock.uninstall();
	});

	function recordUnits(unitMs: number): void {
		for (let i = 0; i < 20; i += 1) {
			clock.tick(unitMs);
			model.recordUnit(unitMs);
		}
	}

	it('knows the persistent speed between two steps, when nothing was measured for seconds', () => {
		recordUnits(26);
		model.recordRun(26);
		clock.tick(4000);
		expect(model.expectedMs).to.equal(26);
	});

	it('distinguishes episodic slowness of some seconds from the persistent speed, and drops it afterwards', () => {
		model.recordRun(26);
		recordUnits(78);
		model.recordRun(78);
		expect(model.speed).to.deep.equal({persistentMs: 26, episodicFactor: 3, transientFactor: 1});
		clock.tick(2000);
		expect(model.expectedMs).to.equal(26);
	});

	it('fades a reported transient slowdown within a second', () => {
		model.assumePersistent(40);
		model.recordTransient(2.5);
		expect(model.expectedMs).to.equal(100);
		clock.tick(300);
		expect(model.expectedMs).to.equal(70);
		clock.tick(300);
		expect(model.expectedMs).to.equal(40);
	});

	it('drops a wrong assumption, whether too fast or too slow', () => {
		model.assumePersistent(20);
		model.recordRun(56);
		expect(model.persistentMs).to.equal(20);
		for (let i = 0; i < 8; i += 1) {
			model.recordRun(56);
		}

		expect(model.persistentMs).to.equal(56);
		const slow = new SpeedModel();
		slow.assumePersistent(56);
		slow.recordRun(26);
		expect(slow.persistentMs).to.equal(26);
	});
});
