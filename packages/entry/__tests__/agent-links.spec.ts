import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {LinkClientOptions, Message} from '@wasabiusher/link';
import type {Member} from '@wasabiusher/backends';
import {createSilentLog, Random} from '@wasabiusher/shared';
import {Dispatcher} from '@wasabiusher/systems';
import {AgentLinks, type AgentLink} from '../src/agent-links.js';
import {AgentSubset} from '../src/agent-subset.js';
import {createStatus} from './fixtures.js';

/** A link that the test opens and closes. */
class FakeLink implements AgentLink {
	isUp = false;
	isClosed = false;
	readonly sent: Message[] = [];
	readonly options: LinkClientOptions;

	constructor(options: LinkClientOptions) {
		this.options = options;
	}

	send(message: Message): boolean {
		if (this.isUp) {
			this.sent.push(message);
		}

		return this.isUp;
	}

	open(): void {
		this.isUp = true;
		this.options.onUp('');
		this.options.onMessage({kind: 'status', status: createStatus()});
	}

	close(): void {
		this.isClosed = true;
		if (this.isUp) {
			this.isUp = false;
			this.options.onDown();
		}
	}
}

function createMember(id: string, changes: Partial<Member> = {}): Member {
	return {
		id, role: 'agent', address: `10.0.0.1:${id.length}`, dataCentre: 'muroran', region: 'hokkaido', service: 'models', state: 'live', ...changes,
	};
}

type Fixture = {view: AgentLinks; dispatcher: Dispatcher; links: FakeLink[]; members: Member[] | Error; lost: string[]; readings: number};

function createFixture(members: Member[]): Fixture {
	const links: FakeLink[] = [];
	const fixture: Fixture = {
		links,
		members,
		lost: [],
		readings: 0,
		dispatcher: new Dispatcher({random: new Random(1), send: (agent, message) => fixture.view.send(agent, message)}),
		view: new AgentLinks({
			identity: {name: 'entry-1', keys: ['k']},
			dataCentre: 'muroran',
			region: 'hokkaido',
			membership: {
				async list() {
					fixture.readings += 1;
					if (fixture.members instanceof Error) {
						throw fixture.members;
					}

					return fixture.members;
				},
				async announce() {
					// AgentLinks only reads the list.
				},
			},
			random: new Random(1),
			log: createSilentLog(),
			dispatcher: () => fixture.dispatcher,
			onMessage(agent, message) {
				fixture.dispatcher.receive(agent, message);
			},
			onUp: () => undefined,
			onDown(agent) {
				fixture.lost.push(agent);
			},
			connect(options) {
				const link = new FakeLink(options);
				links.push(link);
				return link;
			},
		}),
	};
	return fixture;
}

describe('AgentLinks', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('links to the agents in the membership list', async () => {
		const {view, links, dispatcher} = createFixture([createMember('a1'), createMember('e2', {role: 'entry'})]);
		await view.refresh();
		links[0]!.open();
		expect(links).to.have.lengthOf(1);
		expect(view.entries).to.deep.equal(['e2']);
		expect(dispatcher.endpoints.get('a1')).to.include({isUp: true, dataCentre: 'muroran'});
	});

	it('reports a lost link once, and no failed attempts to open it', async () => {
		const fixture = createFixture([createMember('a1')]);
		await fixture.view.refresh();
		const [link] = fixture.links;
		link!.options.onDown();
		expect(fixture.lost).to.deep.equal([]);
		link!.open();
		link!.options.onDown();
		link!.options.onDown();
		expect(fixture.lost).to.deep.equal(['a1']);
	});

	it('reads a short list every second and a long one less often, until it is stopped', async () => {
		const fixture = createFixture([]);
		await fixture.view.start();
		await clock.tickAsync(20_000);
		expect(fixture.readings).to.be.within(18, 24);
		fixture.members = Array.from({length: 2000}, (_, i) => createMember(`e${i}`, {role: 'entry'}));
		await clock.tickAsync(1200);
		const before = fixture.readings;
		await clock.tickAsync(300_000);
		expect(fixture.readings - before).to.be.within(9, 11);
		fixture.view.stop();
		await clock.tickAsync(300_000);
		expect(fixture.readings - before).to.be.within(9, 11);
	});

	it('keeps its links while the list is unavailable or empty', async () => {
		const fixture = createFixture([createMember('a1')]);
		await fixture.view.refresh();
		fixture.links[0]!.open();
		fixture.members = new Error('down');
		await fixture.view.refresh();
		fixture.members = [];
		await clock.tickAsync(60_000);
		await fixture.view.refresh();
		expect(fixture.links[0]!.isClosed).to.equal(false);
		expect(fixture.dispatcher.endpoints.listServing('models')).to.have.lengthOf(1);
	});

	it('retires a leaving agent, and closes its link when no attempt is open there', async () => {
		const fixture = createFixture([createMember('a1'), createMember('b22')]);
		await fixture.view.refresh();
		for (const link of fixture.links) {
			link.open();
		}

		const row = fixture.dispatcher.endpoints.get('a1')!;
		row.open = 1;
		fixture.members = [createMember('a1', {state: 'leaving'}), createMember('b22')];
		await fixture.view.refresh();
		expect(fixture.dispatcher.endpoints.listServing('models').map(({id}) => id)).to.deep.equal(['b22']);
		expect(fixture.links[0]!.isClosed).to.equal(false);
		row.open = 0;
		await fixture.view.refresh();
		expect(fixture.links[0]!.isClosed).to.equal(true);
		expect(fixture.dispatcher.endpoints.has('a1')).to.equal(false);
	});

	it('keeps an agent that is missing from the list for a grace period', async () => {
		const fixture = createFixture([createMember('a1'), createMember('b22')]);
		await fixture.view.refresh();
		for (const link of fixture.links) {
			link.open();
		}

		fixture.members = [createMember('b22')];
		await fixture.view.refresh();
		await clock.tickAsync(9000);
		await fixture.view.refresh();
		expect(fixture.dispatcher.endpoints.listServing('models')).to.have.lengthOf(2);
		fixture.members = [createMember('a1'), createMember('b22')];
		await fixture.view.refresh();
		await clock.tickAsync(9000);
		fixture.members = [createMember('b22')];
		await fixture.view.refresh();
		expect(fixture.dispatcher.endpoints.listServing('models')).to.have.lengthOf(2);
		await clock.tickAsync(11_000);
		await fixture.view.refresh();
		expect(fixture.dispatcher.endpoints.listServing('models')).to.have.lengthOf(1);
	});

	it('opens a new link to an agent whose address has changed, and ignores the old link', async () => {
		const fixture = createFixture([createMember('a1')]);
		await fixture.view.refresh();
		fixture.links[0]!.open();
		fixture.members = [createMember('a1', {address: '10.0.0.9:1'})];
		await fixture.view.refresh();
		expect(fixture.links.map(({options, isClosed}) => [options.address, isClosed])).to.deep.equal([['10.0.0.1:2', true], ['10.0.0.9:1', false]]);
		expect(fixture.dispatcher.endpoints.get('a1')!.isUp).to.equal(false);
		fixture.links[1]!.open();
		fixture.links[0]!.options.onDown();
		fixture.links[0]!.options.onMessage({kind: 'status', status: createStatus({service: 'other'})});
		expect(fixture.dispatcher.endpoints.listServing('models')).to.have.lengthOf(1);
	});
});

describe('AgentSubset', () => {
	function listMembers(entries: number, agents: number): Member[] {
		return [
			...Array.from({length: entries}, (_, i) => createMember(`e${i}`, {role: 'entry'})),
			...Array.from({length: agents}, (_, i) => createMember(`a${i}`)),
		];
	}

	it('bounds the links of entries and agents, and does not depend on the order of members', () => {
		const members = listMembers(20, 200);
		const counts = new Map<string, number>();
		for (let i = 0; i < 20; i += 1) {
			const chosen = new AgentSubset({name: `e${i}`, dataCentre: 'muroran', region: 'hokkaido'}).choose(members.toReversed());
			expect([...chosen]).to.have.members([...new AgentSubset({name: `e${i}`, dataCentre: 'muroran', region: 'hokkaido'}).choose(members)]);
			expect(chosen.size).to.be.within(60, 64);
			for (const agent of chosen) {
				counts.set(agent, (counts.get(agent) ?? 0) + 1);
			}
		}

		// 20 entries with 64 links each make 6.4 per agent.
		expect(Math.min(...counts.values())).to.be.at.least(5);
		expect(Math.max(...counts.values())).to.be.at.most(8);
	});

	it('selects agents per service, and a few in other data centres for spillover', () => {
		const members = [
			...listMembers(1, 100),
			createMember('ledger-1', {service: 'ledger'}),
			...Array.from({length: 30}, (_, i) => createMember(`far${i}`, {dataCentre: 'ishikari'})),
		];
		const chosen = [...new AgentSubset({name: 'e0', dataCentre: 'muroran', region: 'hokkaido'}).choose(members)];
		expect(chosen).to.include('ledger-1');
		expect(chosen.filter(id => id.startsWith('far'))).to.have.lengthOf(8);
		expect(chosen).to.have.lengthOf(64 + 1 + 8);
	});

	it('selects few other data centres, those of its own region first', () => {
		const members = Array.from({length: 18}, (_, place) => Array.from({length: 20}, (__, i) => createMember(`dc${place}-${i}`, {
			dataCentre: `dc${place}`, region: place === 11 ? 'hokkaido' : `region-${place % 6}`,
		}))).flat();
		const chosen = [...new AgentSubset({name: 'e0', dataCentre: 'muroran', region: 'hokkaido'}).choose(members)];
		const dataCentres = new Set(chosen.map(id => id.split('-')[0]));
		expect(chosen).to.have.lengthOf(3 * 8);
		expect([...dataCentres]).to.have.lengthOf(3).and.include('dc11');
	});
});
