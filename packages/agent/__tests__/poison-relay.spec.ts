import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {Message, MessageOf} from '@wasabiusher/link';
import {PoisonRelay} from '../src/poison-relay.js';

type Told = {message: Message; except?: string};

function createRelay(endpoint: string) {
	const told: Told[] = [];
	const relay = new PoisonRelay(endpoint, (message, except) => {
		told.push({message, except});
	});
	return {relay, told};
}

function findSuspicions({message}: Told): MessageOf<'suspicions'> {
	return message as MessageOf<'suspicions'>;
}

describe('poison relay', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('tells all entries what was in flight at a crash, and judges it suspect', () => {
		const {relay, told} = createRelay('agent-1');
		relay.recordCrash('run-1', ['guilty', 'innocent']);
		expect(findSuspicions(told[0]!).suspicions.map(({fingerprint, crashes}) => [fingerprint, crashes])).to.deep.equal([
			['guilty', ['agent-1@run-1']],
			['innocent', ['agent-1@run-1']],
		]);
		expect(relay.judge('guilty')).to.equal('isolate');
		expect(relay.judge('other')).to.equal('free');
	});

	it('quarantines at the second crash wherever that was, and passes news on once, but not back', () => {
		const first = createRelay('agent-1');
		const second = createRelay('agent-2');
		first.relay.recordCrash('run-1', ['guilty']);
		const news = findSuspicions(first.told[0]!);
		second.relay.receive(news, 'entry-1');
		second.relay.receive(news, 'entry-2');
		expect(second.told.map(({except}) => except)).to.deep.equal(['entry-1']);
		second.relay.recordCrash('run-8', ['guilty']);
		expect(second.relay.judge('guilty')).to.equal('quarantined');
		first.relay.receive(findSuspicions(second.told.at(-1)!), 'entry-1');
		expect(first.relay.judge('guilty')).to.equal('quarantined');
	});

	it('clears the innocent by finishing, everywhere', () => {
		const first = createRelay('agent-1');
		const second = createRelay('agent-2');
		first.relay.recordCrash('run-1', ['innocent']);
		second.relay.receive(findSuspicions(first.told[0]!), 'entry-1');
		second.relay.recordFinished('innocent');
		first.relay.receive(findSuspicions(second.told.at(-1)!), 'entry-1');
		expect(first.relay.judge('innocent')).to.equal('free');
		expect(second.relay.judge('innocent')).to.equal('free');
	});

	it('lets a quarantine end with its term', () => {
		const {relay} = createRelay('agent-1');
		relay.recordCrash('run-1', ['guilty']);
		relay.recordCrash('run-2', ['guilty']);
		expect(relay.judge('guilty')).to.equal('quarantined');
		clock.tick(86_400_000);
		expect(relay.judge('guilty')).to.equal('isolate');
	});
});
