import {expect} from 'chai';
import {FairPriorityQueue, type SchedulingAttributes} from '../src/index.js';

const never = () => false;

function createAttributes(changes: Partial<SchedulingAttributes> = {}): SchedulingAttributes {
	return {
		urgency: 0, turn: 'a', weight: 1, eligibilityKey: 'l', beginBy: 1000, rank: 0, cost: 1, ...changes,
	};
}

function addMany(queue: FairPriorityQueue<string>, count: number, changes: Partial<SchedulingAttributes>, name = changes.turn ?? 'a'): void {
	for (let i = 0; i < count; i++) {
		queue.add(createAttributes(changes), name);
	}
}

/** Serves the next entries and returns their names. */
function serve(queue: FairPriorityQueue<string>, count: number, now = 0, isBlocked: (eligibilityKey: string) => boolean = never): string[] {
	const names: string[] = [];
	for (let i = 0; i < count; i++) {
		const entry = queue.findFirst(now, isBlocked);
		if (entry) {
			queue.serve(entry);
			names.push(entry.job);
		}
	}

	return names;
}

function count(names: readonly string[], name: string): number {
	return names.filter(other => other === name).length;
}

describe('FairPriorityQueue', () => {
	let queue: FairPriorityQueue<string>;

	beforeEach(() => {
		queue = new FairPriorityQueue();
	});

	it('serves the more urgent class first, and the less urgent one at a quarter of the overall rate', () => {
		addMany(queue, 500, {urgency: 0}, 'urgent');
		addMany(queue, 500, {urgency: 5}, 'patient');
		const served = serve(queue, 400);
		expect(served[0]).to.equal('urgent');
		// 400 of 1,000 entries are served: an overall rate of 0.4.
		expect(count(served, 'patient') / 500).to.be.within(0.25 * 0.4, 0.35 * 0.4);
	});

	it('serves small customers beside one that sends half of all requests, which is served at a quarter of the overall rate', () => {
		for (let i = 0; i < 400; i++) {
			addMany(queue, 1, {turn: 'large'});
			addMany(queue, 1, {turn: `small${i % 40}`});
		}

		const served = serve(queue, 200);
		expect(count(served, 'large') / 400).to.be.at.least(0.25 * 0.25);
		for (let i = 0; i < 40; i++) {
			expect(count(served, `small${i}`)).to.be.at.least(3);
		}
	});

	it('serves flows in proportion to their weights', () => {
		addMany(queue, 100, {turn: 'double', weight: 2});
		addMany(queue, 100, {turn: 'single'});
		const served = serve(queue, 60);
		expect(count(served, 'double') / count(served, 'single')).to.be.within(1.5, 2);
	});

	it('charges a flow for the work that it was served, also after it was idle', () => {
		addMany(queue, 100, {turn: 'long', cost: 10});
		addMany(queue, 100, {turn: 'short', cost: 1});
		expect(count(serve(queue, 44), 'short')).to.be.at.least(30);
	});

	it('serves short calls beside long generations of the same class', () => {
		addMany(queue, 100, {turn: 'trainer', cost: 2000}, 'text');
		addMany(queue, 20, {turn: 'customer', cost: 20}, 'call');
		expect(count(serve(queue, 22), 'call')).to.equal(20);
	});

	it('serves two steps of one trainer in order of their due times, across eligibility keys', () => {
		addMany(queue, 5, {beginBy: 2000, eligibilityKey: 'newer'}, 'second');
		addMany(queue, 5, {beginBy: 1000, eligibilityKey: 'older'}, 'first');
		expect(serve(queue, 10)).to.deep.equal([...Array.from({length: 5}, () => 'first'), ...Array.from({length: 5}, () => 'second')]);
	});

	it('does not let a late step delay one that can be on time, and still serves it', () => {
		addMany(queue, 8, {beginBy: 1000, eligibilityKey: 'older'}, 'late');
		addMany(queue, 8, {beginBy: 9000, eligibilityKey: 'newer'}, 'timely');
		const served = serve(queue, 8, 2000);
		expect(served.slice(0, 3)).to.deep.equal(['timely', 'timely', 'timely']);
		expect(count(served, 'late')).to.equal(2);
	});

	it('serves entries due at the same time in order of rank, also one that is added again', () => {
		for (const rank of [3, 1, 2]) {
			queue.add(createAttributes({rank}), String(rank));
		}

		queue.add(createAttributes({rank: 0}), 'back');
		expect(serve(queue, 4)).to.deep.equal(['back', '1', '2', '3']);
	});

	it('skips blocked eligibility keys', () => {
		addMany(queue, 2, {eligibilityKey: 'blocked', urgency: 0}, 'blocked');
		addMany(queue, 2, {eligibilityKey: 'open', urgency: 3}, 'open');
		expect(serve(queue, 4, 0, lane => lane === 'blocked')).to.deep.equal(['open', 'open']);
		expect(queue.size).to.equal(2);
	});

	it('removes an entry that leaves without charging its flow', () => {
		const entry = queue.add(createAttributes({turn: 'a', cost: 100}), 'left');
		queue.remove(entry);
		addMany(queue, 1, {turn: 'b'});
		addMany(queue, 1, {turn: 'a', beginBy: 1});
		expect([queue.size, serve(queue, 2)]).to.deep.equal([2, ['b', 'a']]);
	});

	it('counts as ahead the entries that a new one waits for, not the whole queue of a large customer', () => {
		addMany(queue, 50, {turn: 'large'});
		addMany(queue, 3, {turn: 'large', urgency: 7});
		expect(queue.countAhead({urgency: 0, turn: 'large'})).to.equal(50);
		expect(queue.countAhead({urgency: 0, turn: 'small'})).to.equal(1);
		expect(queue.countAhead({urgency: 7, turn: 'small'})).to.equal(51);
	});
});
