import {expect} from 'chai';
import type {PriorityClass} from '@wasabiusher/shared';
import {createExecutorQueue, type ExecutorQueue} from '../src/executor-queue.js';

let ids = 0;

/** Adds a job that runs until the returned `finish` is called. */
function addJob(queue: ExecutorQueue, name: PriorityClass, started: string[]): {done: Promise<unknown>; finish: () => void} {
	ids += 1;
	const id = `${name}${ids}`;
	let finish!: () => void;
	const job = new Promise<void>(resolve => {
		finish = resolve;
	});
	const done = queue.add(async () => {
		started.push(name);
		await job;
	}, {
		id, ticket: {
			id, class: name, priority: 5, caller: 'a', share: 1, cost: 1,
		},
	});
	return {done, finish};
}

describe('createExecutorQueue', () => {
	it('rejects a job beyond its caller\'s bound', async () => {
		const queue = createExecutorQueue(1, {bounds: {count: 1, work: 10}});
		const started: string[] = [];
		const running = addJob(queue, 'rollout', started);
		const waiting = addJob(queue, 'rollout', started);
		const error = await addJob(queue, 'rollout', started).done.catch((error_: unknown) => error_);
		expect(error).to.have.property('code', 'caller-full');
		running.finish();
		waiting.finish();
		await queue.onIdle();
		expect(started).to.have.lengthOf(2);
	});

	it('leaves slots free of less urgent work, whichever class is added first', async () => {
		const queue = createExecutorQueue(4, {limitFor: name => name === 'interactive' ? 4 : 2});
		const started: string[] = [];
		const jobs = Array.from({length: 6}, () => addJob(queue, 'rollout', started));
		expect(started).to.deep.equal(['rollout', 'rollout']);
		jobs.push(...Array.from({length: 3}, () => addJob(queue, 'interactive', started)));
		expect(started.slice(2)).to.deep.equal(['interactive', 'interactive']);
		jobs[0]!.finish();
		await jobs[0]!.done;
		await Promise.resolve();
		expect(started.slice(4)).to.deep.equal(['interactive']);
		for (const {finish} of jobs) {
			finish();
		}

		await queue.onIdle();
		expect(started).to.have.lengthOf(9);
	});
});
