import {expect} from 'chai';
import fc from 'fast-check';
import type {PriorityClass} from '@wasabiusher/shared';
import {FairQueue, type Ticket} from '../src/index.js';

let ids = 0;

function createTicket(changes: Partial<Ticket> = {}): Ticket {
	ids += 1;
	return {
		id: `t${ids}`, class: 'rollout', priority: 5, caller: 'a', share: 1, cost: 1, ...changes,
	};
}

function pushMany(queue: FairQueue<Ticket>, count: number, changes: Partial<Ticket>): void {
	for (let i = 0; i < count; i++) {
		const ticket = createTicket(changes);
		queue.push(ticket, ticket);
	}
}

/** Returns the work of each caller, or class, among the next jobs. */
function serve(queue: FairQueue<Ticket>, count: number, key: 'caller' | 'class' | 'priority'): Record<string, number> {
	const work: Record<string, number> = {};
	for (let i = 0; i < count; i++) {
		const ticket = queue.pop()!;
		work[ticket[key]] = (work[ticket[key]] ?? 0) + ticket.cost;
	}

	return work;
}

describe('FairQueue', () => {
	it('gives callers equal work, however long their backlog', () => {
		const queue = new FairQueue<Ticket>();
		pushMany(queue, 2000, {caller: 'hot'});
		pushMany(queue, 100, {caller: 'cold'});
		expect(serve(queue, 200, 'caller')).to.deep.equal({hot: 100, cold: 100});
	});

	it('counts work, not jobs', () => {
		const queue = new FairQueue<Ticket>();
		pushMany(queue, 100, {caller: 'long', cost: 10});
		pushMany(queue, 1000, {caller: 'short', cost: 1});
		const work = serve(queue, 550, 'caller');
		expect(work.long! / work.short!).to.be.within(0.95, 1.05);
	});

	it('divides work by share', () => {
		const queue = new FairQueue<Ticket>();
		pushMany(queue, 400, {caller: 'three', share: 3});
		pushMany(queue, 400, {caller: 'one', share: 1});
		expect(serve(queue, 400, 'caller')).to.deep.equal({three: 300, one: 100});
	});

	it('doubles the weight with each priority level, so that none starves', () => {
		const queue = new FairQueue<Ticket>();
		pushMany(queue, 400, {priority: 6});
		pushMany(queue, 400, {priority: 5});
		expect(serve(queue, 300, 'priority')).to.deep.equal({6: 200, 5: 100});
	});

	it('gives the less urgent classes their minimum part of the work', () => {
		const queue = new FairQueue<Ticket>();
		pushMany(queue, 2000, {class: 'interactive'});
		pushMany(queue, 2000, {class: 'rollout'});
		pushMany(queue, 2000, {class: 'background'});
		const work = serve(queue, 1000, 'class');
		expect(work.rollout).to.be.within(80, 100);
		expect(work.background).to.be.within(40, 55);
	});

	it('accrues no credit for a class without waiting jobs', () => {
		const queue = new FairQueue<Ticket>();
		pushMany(queue, 2000, {class: 'interactive'});
		serve(queue, 1000, 'class');
		pushMany(queue, 100, {class: 'rollout'});
		expect(serve(queue, 20, 'class').rollout).to.be.within(1, 2);
	});

	it('lends an idle share and reclaims it at the next pop', () => {
		const queue = new FairQueue<Ticket>();
		pushMany(queue, 1000, {caller: 'busy'});
		serve(queue, 500, 'caller');
		pushMany(queue, 100, {caller: 'back'});
		// It gets its half immediately and no more: the idle time was lent, not accrued.
		expect(serve(queue, 100, 'caller')).to.deep.equal({busy: 50, back: 50});
		pushMany(queue, 1, {class: 'interactive', caller: 'urgent'});
		expect(queue.pop()!.caller).to.equal('urgent');
	});

	it('limits a caller that leaves and returns to its share', () => {
		const queue = new FairQueue<Ticket>();
		pushMany(queue, 100, {caller: 'steady', cost: 1});
		pushMany(queue, 1, {caller: 'flicker', cost: 10});
		let returningWork = 0;
		for (let i = 0; i < 44; i++) {
			const ticket = queue.pop()!;
			if (ticket.caller === 'flicker') {
				returningWork += ticket.cost;
				pushMany(queue, 1, {caller: 'flicker', cost: 10});
			}
		}

		expect(returningWork).to.be.within(30, 50);
	});

	it('refuses a job beyond its caller\'s bound, and accepts those of others', () => {
		const queue = new FairQueue<Ticket>({count: 2, work: 100});
		pushMany(queue, 2, {caller: 'hot'});
		const third = createTicket({caller: 'hot'});
		expect(queue.push(third, third)).to.equal(false);
		const other = createTicket({caller: 'cold'});
		expect(queue.push(other, other)).to.equal(true);
		expect(queue.size).to.equal(3);
	});

	it('doesn\'t charge a caller for a job that was removed unserved', () => {
		const queue = new FairQueue<Ticket>();
		const expensive = createTicket({caller: 'a', cost: 1000});
		queue.push(expensive, expensive);
		pushMany(queue, 10, {caller: 'a'});
		pushMany(queue, 10, {caller: 'b'});
		expect(queue.remove(expensive.id)).to.equal(expensive);
		expect(queue.remove(expensive.id)).to.equal(undefined);
		expect(serve(queue, 10, 'caller')).to.deep.equal({a: 5, b: 5});
	});

	it('returns each job once and keeps count and work correct, in any order of operations', () => {
		const operation = fc.record({
			kind: fc.constantFrom('push', 'push', 'pop', 'remove'),
			class: fc.constantFrom<PriorityClass>('interactive', 'rollout', 'background'),
			caller: fc.constantFrom('a', 'b', 'c'),
			cost: fc.integer({min: 0, max: 9}),
			pick: fc.nat(),
		});
		fc.assert(fc.property(fc.array(operation, {maxLength: 200}), operations => {
			const queue = new FairQueue<Ticket>();
			const waiting = new Map<string, Ticket>();
			for (const {kind, pick, ...changes} of operations) {
				if (kind === 'push') {
					const ticket = createTicket(changes);
					queue.push(ticket, ticket);
					waiting.set(ticket.id, ticket);
				} else {
					const taken = kind === 'pop' ? queue.pop() : queue.remove([...waiting.keys()][pick % Math.max(1, waiting.size)] ?? '');
					expect(taken === undefined).to.equal(waiting.size === 0);
					expect(waiting.delete(taken?.id ?? '')).to.equal(taken !== undefined);
				}

				expect(queue.size).to.equal(waiting.size);
				expect(queue.work).to.equal([...waiting.values()].reduce((sum, {cost}) => sum + cost, 0));
			}

			while (queue.size > 0) {
				expect(waiting.delete(queue.pop()!.id)).to.equal(true);
			}

			expect(waiting.size).to.equal(0);
		}), {seed: 4, numRuns: 200});
	});
});
