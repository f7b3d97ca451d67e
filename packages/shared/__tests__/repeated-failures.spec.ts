import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Log, RepeatedFailures} from '../src/index.js';

describe('RepeatedFailures', () => {
	let clock: Clock;
	let lines: string[];
	let failures: RepeatedFailures;

	beforeEach(() => {
		clock = install();
		lines = [];
		const log = new Log('p', 'info', line => {
			lines.push(line.slice(line.indexOf('event=')));
		});
		failures = new RepeatedFailures({log, event: 'write_failed', overEvent: 'writes_resumed'});
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('logs the first failure at once, then the count once a second, and the recovery', () => {
		for (let i = 0; i < 25; i += 1) {
			failures.record({reason: 'silent'});
			clock.tick(100);
		}

		failures.recover();
		failures.recover();
		expect(lines).to.deep.equal([
			'event=write_failed reason=silent times=1',
			'event=write_failed reason=silent times=10',
			'event=write_failed reason=silent times=10',
			'event=writes_resumed failures=25 forMs=2500',
		]);
	});

	it('logs each isolated failure, without a line for its recovery', () => {
		failures.record({});
		failures.recover();
		failures.record({});
		expect(lines).to.deep.equal(['event=write_failed times=1', 'event=write_failed times=1']);
	});
});
