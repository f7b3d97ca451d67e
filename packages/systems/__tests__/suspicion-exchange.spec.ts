import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {PoisonGuard} from '@wasabiusher/decisions';
import type {Message, MessageOf} from '@wasabiusher/link';
import {SuspicionExchange} from '../src/index.js';

type Told = {message: Message; except?: string};

/** One process that sees crashes, and what it has told others. */
function createProcess() {
	const told: Told[] = [];
	const exchange = new SuspicionExchange({
		guard: new PoisonGuard(),
		broadcast(message, except) {
			told.push({message, except});
		},
	});
	return {exchange, told};
}

function findSuspicions({message}: Told): MessageOf<'suspicions'> {
	return message as MessageOf<'suspicions'>;
}

describe('suspicion exchange', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('tells all entries what was in flight at a crash, and judges it suspect', () => {
		const {exchange, told} = createProcess();
		exchange.recordCrash({endpoint: 'agent-1', incarnation: 'run-1', fingerprints: ['guilty', 'innocent']});
		expect(findSuspicions(told[0]!).suspicions.map(({fingerprint, crashes}) => [fingerprint, crashes])).to.deep.equal([
			['guilty', ['agent-1@run-1']],
			['innocent', ['agent-1@run-1']],
		]);
		expect(exchange.judge('guilty').kind).to.equal('isolate');
		expect(exchange.judge('other').kind).to.equal('free');
	});

	it('quarantines at the second crash wherever that was, and passes news on once, but not back', () => {
		const first = createProcess();
		const second = createProcess();
		first.exchange.recordCrash({endpoint: 'agent-1', incarnation: 'run-1', fingerprints: ['guilty']});
		const news = findSuspicions(first.told[0]!);
		second.exchange.receive('entry-1', news);
		second.exchange.receive('entry-2', news);
		expect(second.told.map(({except}) => except)).to.deep.equal(['entry-1']);
		second.exchange.recordCrash({endpoint: 'agent-2', incarnation: 'run-8', fingerprints: ['guilty']});
		expect(second.exchange.judge('guilty').kind).to.equal('quarantined');
		first.exchange.receive('entry-1', findSuspicions(second.told.at(-1)!));
		expect(first.exchange.judge('guilty').kind).to.equal('quarantined');
	});

	it('clears the innocent by finishing, everywhere', () => {
		const first = createProcess();
		const second = createProcess();
		first.exchange.recordCrash({endpoint: 'agent-1', incarnation: 'run-1', fingerprints: ['innocent']});
		second.exchange.receive('entry-1', findSuspicions(first.told[0]!));
		second.exchange.recordFinished('innocent');
		first.exchange.receive('entry-1', findSuspicions(second.told.at(-1)!));
		expect(first.exchange.judge('innocent').kind).to.equal('free');
		expect(second.exchange.judge('innocent').kind).to.equal('free');
	});

	it('lets a quarantine end with its term', () => {
		const {exchange} = createProcess();
		exchange.recordCrash({endpoint: 'agent-1', incarnation: 'run-1', fingerprints: ['guilty']});
		exchange.recordCrash({endpoint: 'agent-1', incarnation: 'run-2', fingerprints: ['guilty']});
		expect(exchange.judge('guilty').kind).to.equal('quarantined');
		clock.tick(86_400_000);
		expect(exchange.judge('guilty').kind).to.equal('isolate');
	});
});
