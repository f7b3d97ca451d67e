import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {PoisonGuard} from '@wasabiusher/decisions';
import type {Message, MessageOf} from '@wasabiusher/link';
import {SuspicionExchange} from '../src/index.js';

type Broadcast = {message: Message; except?: string};

/** Creates one process, with a recording of its broadcasts. */
function createProcess() {
	const broadcasts: Broadcast[] = [];
	const exchange = new SuspicionExchange({
		guard: new PoisonGuard(),
		broadcast(message, except) {
			broadcasts.push({message, except});
		},
	});
	return {exchange, broadcasts};
}

function findSuspicions({message}: Broadcast): MessageOf<'suspicions'> {
	return message as MessageOf<'suspicions'>;
}

describe('SuspicionExchange', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('announces the requests in flight at a crash to all entries, and isolates them', () => {
		const {exchange, broadcasts} = createProcess();
		exchange.recordCrash({endpoint: 'agent-1', incarnation: 'run-1', fingerprints: ['guilty', 'innocent']});
		expect(findSuspicions(broadcasts[0]!).suspicions.map(({fingerprint, crashes}) => [fingerprint, crashes])).to.deep.equal([
			['guilty', ['agent-1@run-1']],
			['innocent', ['agent-1@run-1']],
		]);
		expect(exchange.judge('guilty').kind).to.equal('isolate');
		expect(exchange.judge('other').kind).to.equal('free');
	});

	it('quarantines at the second crash at any process, and forwards an announcement once, but not to its sender', () => {
		const first = createProcess();
		const second = createProcess();
		first.exchange.recordCrash({endpoint: 'agent-1', incarnation: 'run-1', fingerprints: ['guilty']});
		const announcement = findSuspicions(first.broadcasts[0]!);
		second.exchange.receive('entry-1', announcement);
		second.exchange.receive('entry-2', announcement);
		expect(second.broadcasts.map(({except}) => except)).to.deep.equal(['entry-1']);
		second.exchange.recordCrash({endpoint: 'agent-2', incarnation: 'run-8', fingerprints: ['guilty']});
		expect(second.exchange.judge('guilty').kind).to.equal('quarantined');
		first.exchange.receive('entry-1', findSuspicions(second.broadcasts.at(-1)!));
		expect(first.exchange.judge('guilty').kind).to.equal('quarantined');
	});

	it('clears a request that finishes, in all processes', () => {
		const first = createProcess();
		const second = createProcess();
		first.exchange.recordCrash({endpoint: 'agent-1', incarnation: 'run-1', fingerprints: ['innocent']});
		second.exchange.receive('entry-1', findSuspicions(first.broadcasts[0]!));
		second.exchange.recordFinished('innocent');
		first.exchange.receive('entry-1', findSuspicions(second.broadcasts.at(-1)!));
		expect(first.exchange.judge('innocent').kind).to.equal('free');
		expect(second.exchange.judge('innocent').kind).to.equal('free');
	});

	it('ends a quarantine after its duration', () => {
		const {exchange} = createProcess();
		exchange.recordCrash({endpoint: 'agent-1', incarnation: 'run-1', fingerprints: ['guilty']});
		exchange.recordCrash({endpoint: 'agent-1', incarnation: 'run-2', fingerprints: ['guilty']});
		expect(exchange.judge('guilty').kind).to.equal('quarantined');
		clock.tick(86_400_000);
		expect(exchange.judge('guilty').kind).to.equal('isolate');
	});
});
