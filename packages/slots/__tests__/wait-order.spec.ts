import {expect} from 'chai';
import {WaitOrder, type Place} from '../src/index.js';

const never = () => false;

function createPlace(changes: Partial<Place> = {}): Place {
	return {
		urgency: 0, turn: 'a', weight: 1, lane: 'l', beginBy: 1000, rank: 0, cost: 1, ...changes,
	};
}

function addMany(order: WaitOrder<string>, count: number, changes: Partial<Place>, name = changes.turn ?? 'a'): void {
	for (let i = 0; i < count; i++) {
		order.add(createPlace(changes), name);
	}
}

/** Names of the next that are served. */
function serve(order: WaitOrder<string>, count: number, now = 0, isPassedOver: (lane: string) => boolean = never): string[] {
	const names: string[] = [];
	for (let i = 0; i < count; i++) {
		const entry = order.findFirst(now, isPassedOver);
		if (entry) {
			order.serve(entry);
			names.push(entry.job);
		}
	}

	return names;
}

function count(names: readonly string[], name: string): number {
	return names.filter(other => other === name).length;
}

describe('WaitOrder', () => {
	let order: WaitOrder<string>;

	beforeEach(() => {
		order = new WaitOrder();
	});

	it('serves the more urgent first, and the less urgent a quarter as often as all', () => {
		addMany(order, 500, {urgency: 0}, 'urgent');
		addMany(order, 500, {urgency: 5}, 'patient');
		const served = serve(order, 400);
		expect(served[0]).to.equal('urgent');
		// All are served at a rate of 0.4.
		expect(count(served, 'patient') / 500).to.be.within(0.25 * 0.4, 0.35 * 0.4);
	});

	it('gives small customers their turns beside one that sends half of all, which is served a quarter as often as all', () => {
		for (let i = 0; i < 400; i++) {
			addMany(order, 1, {turn: 'large'});
			addMany(order, 1, {turn: `small${i % 40}`});
		}

		const served = serve(order, 200);
		expect(count(served, 'large') / 400).to.be.at.least(0.25 * 0.25);
		for (let i = 0; i < 40; i++) {
			expect(count(served, `small${i}`)).to.be.at.least(3);
		}
	});

	it('gives turns by weight', () => {
		addMany(order, 100, {turn: 'double', weight: 2});
		addMany(order, 100, {turn: 'single'});
		const served = serve(order, 60);
		expect(count(served, 'double') / count(served, 'single')).to.be.within(1.5, 2);
	});

	it('charges a turn for the work that it had, also when it comes again', () => {
		addMany(order, 100, {turn: 'long', cost: 10});
		addMany(order, 100, {turn: 'short', cost: 1});
		expect(count(serve(order, 44), 'short')).to.be.at.least(30);
	});

	it('serves short calls beside long texts of the same class', () => {
		addMany(order, 100, {turn: 'trainer', cost: 2000}, 'text');
		addMany(order, 20, {turn: 'customer', cost: 20}, 'call');
		expect(count(serve(order, 22), 'call')).to.equal(20);
	});

	it('serves two steps of one trainer by what is due first, across lanes', () => {
		addMany(order, 5, {beginBy: 2000, lane: 'newer'}, 'second');
		addMany(order, 5, {beginBy: 1000, lane: 'older'}, 'first');
		expect(serve(order, 10)).to.deep.equal([...Array.from({length: 5}, () => 'first'), ...Array.from({length: 5}, () => 'second')]);
	});

	it('does not let a step that is late in any case hold up one that can be in time, nor forgets it', () => {
		addMany(order, 8, {beginBy: 1000, lane: 'older'}, 'late');
		addMany(order, 8, {beginBy: 9000, lane: 'newer'}, 'timely');
		const served = serve(order, 8, 2000);
		expect(served.slice(0, 3)).to.deep.equal(['timely', 'timely', 'timely']);
		expect(count(served, 'late')).to.equal(2);
	});

	it('keeps the planned order of what is due at the same time, also for one that comes back', () => {
		for (const rank of [3, 1, 2]) {
			order.add(createPlace({rank}), String(rank));
		}

		order.add(createPlace({rank: 0}), 'back');
		expect(serve(order, 4)).to.deep.equal(['back', '1', '2', '3']);
	});

	it('passes over what nothing fits', () => {
		addMany(order, 2, {lane: 'blocked', urgency: 0}, 'blocked');
		addMany(order, 2, {lane: 'open', urgency: 3}, 'open');
		expect(serve(order, 4, 0, lane => lane === 'blocked')).to.deep.equal(['open', 'open']);
		expect(order.size).to.equal(2);
	});

	it('forgets one that leaves without charging its turn', () => {
		const entry = order.add(createPlace({turn: 'a', cost: 100}), 'left');
		order.remove(entry);
		addMany(order, 1, {turn: 'b'});
		addMany(order, 1, {turn: 'a', beginBy: 1});
		expect([order.size, serve(order, 2)]).to.deep.equal([2, ['b', 'a']]);
	});

	it('counts as ahead what a new one has to wait for, not the whole line of a large customer', () => {
		addMany(order, 50, {turn: 'large'});
		addMany(order, 3, {turn: 'large', urgency: 7});
		expect(order.countAhead({urgency: 0, turn: 'large'})).to.equal(50);
		expect(order.countAhead({urgency: 0, turn: 'small'})).to.equal(1);
		expect(order.countAhead({urgency: 7, turn: 'small'})).to.equal(51);
	});
});
