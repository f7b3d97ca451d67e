import {expect} from 'chai';
import {formatLine, type LogValue} from '@wasabiusher/shared';
import {
	parseLine, plotSlots, plotSteps, reportSteps, StepHistories, type StepsReport,
} from '../src/index.js';

const startMs = Date.parse('2026-03-25T09:00:00Z');

type Entry = [atMs: number, event: string, values: Record<string, LogValue>];

function report(entries: readonly Entry[]): StepsReport {
	const histories = new StepHistories();
	for (const [atMs, event, values] of entries) {
		histories.add(parseLine(`time=${new Date(startMs + atMs).toISOString()} level=info program=p ${formatLine(event, values)}`)!);
	}

	return reportSteps(histories);
}

/** Creates a step of three groups of two samples. The trainer waits for two groups; a text of the third group is generated last. */
function createStep(): Entry[] {
	const texts: Array<[string, string, number, number]> = [
		['a1', 'a', 30, 1300], ['a2', 'a', 40, 1700], ['b1', 'b', 50, 2500], ['b2', 'b', 90, 4700], ['c1', 'c', 20, 900], ['c2', 'c', 150, 6200],
	];
	return [
		[100, 'batch_begun', {
			batch: 'x', series: 't/', step: 3, model: 'm', total: 6, wanted: 2, groups: 3, ageMs: 100,
		}],
		...texts.flatMap(([sample, group, events, wholeAt], position): Entry[] => [
			[wholeAt, 'text_made', {
				batch: 'x', sample, endpoint: 'e1', events, kept: 0, runs: 1, tookMs: wholeAt - 200, waitedMs: 100, begunMs: 20, madeMs: wholeAt - 320,
			}],
			[wholeAt, 'run_ended', {
				batch: 'x', sample, endpoint: 'e1', model: 'm', status: 200, tookMs: wholeAt - 320,
			}],
			[wholeAt + 50, 'result_listed', {
				batch: 'x', sample, position, group, events, scoredMs: 30, committedMs: 20,
			}],
		]),
		[5000, 'results_read', {batch: 'x', after: 0, results: 4}],
		[5100, 'batch_ended', {batch: 'x'}],
	].toSorted((a, b) => Number(a[0]) - Number(b[0])) as Entry[];
}

describe('reportSteps', () => {
	it('finds the sample that completed the wanted groups, and the time of each of its phases', () => {
		const {steps: [step]} = report(createStep());
		expect(step!.chain).to.include({
			sample: 'b2', endpoint: 'e1', events: 90, runs: 1, wholeMs: 4750,
		});
		expect(step!.chain!.links).to.include({
			owned: 100, queued: 100, waited: 100, begun: 20, made: 4380, scored: 30, committed: 20, read: 250,
		});
		expect(step!.endedMs).to.equal(5100);
	});

	it('splits the time of the step into links that add up to it', () => {
		const {steps: [step]} = report(createStep());
		const {read, ...others} = step!.chain!.links;
		expect(Object.values(others).reduce((sum, ms) => sum + ms, 0)).to.equal(step!.wholeMs);
	});

	it('bounds the time of a step by the longest text of the shortest groups', () => {
		const {steps: [step], bestPaceMs} = report(createStep());
		expect(step!.boundMs).to.equal(90 * bestPaceMs!);
	});

	it('counts a step as unfinished while fewer groups are complete than the trainer waits for', () => {
		const {trainers: [trainer], steps: [step]} = report(createStep().filter(([, event, {sample}]) => event !== 'result_listed' || (sample !== 'b2' && sample !== 'c2')));
		expect(step!.chain).to.equal(undefined);
		expect(trainer).to.include({steps: 1, unfinished: 1});
	});

	it('treats a group that was carried over as awaited, although enough others are complete before it', () => {
		const carried = createStep().map(([atMs, event, values]): Entry => event === 'text_made' && values.sample === 'c2' ? [atMs, event, {...values, kept: 100}] : [atMs, event, values]);
		const {steps: [step]} = report(carried);
		expect(step!.chain).to.include({sample: 'c2', wholeMs: 6250});
		expect(step!.boundMs).to.equal(50 * report(carried).bestPaceMs!);
	});

	it('measures the pace of an endpoint correctly if the host reads late, by adding the pauses to the time of the events read after them', () => {
		const late = createStep().map(([atMs, event, values]): Entry => event === 'text_made'
			? [atMs, event, {...values, madeMs: Number(values.madeMs) / 100, stalledMs: Number(values.madeMs) * 0.99}]
			: [atMs, event, values]);
		expect(report(late).bestPaceMs).to.be.closeTo(report(createStep()).bestPaceMs!, 0.1);
	});

	it('measures the wait for its owner separately for each share', () => {
		const shared = createStep().map(([atMs, event, values]): Entry => event === 'result_listed' ? [atMs, event, {...values, share: values.group === 'b' ? 1 : 0}] : [atMs, event, values]);
		const other: Entry = [250, 'batch_begun', {
			batch: 'x', share: 1, series: 't/', step: 3, model: 'm', total: 6, wanted: 2, groups: 3, ageMs: 250,
		}];
		const taken: Entry = [900, 'batch_begun', {...other[2], share: 0}];
		const {steps: [step]} = report([...shared, other, taken].toSorted((a, b) => a[0] - b[0]));
		expect(step!.owners).to.equal(3);
		expect(step!.chain!.links).to.include({owned: 250, earlier: 0});
	});

	it('keeps the time of the request when another owner begins the step again', () => {
		const again: Entry = [3000, 'batch_begun', {
			batch: 'x', series: 't/', step: 3, model: 'm', total: 6, wanted: 2, groups: 3, ageMs: 2900,
		}];
		const {steps: [step]} = report([...createStep(), again].toSorted((a, b) => a[0] - b[0]));
		expect(step!.owners).to.equal(2);
		expect(step!.askedAt).to.equal(startMs);
		expect([step!.chain!.links.owned, step!.chain!.links.earlier]).to.deep.equal([100, 2900]);
	});

	it('plots a bar for each step and one line for the slots in use', () => {
		const {steps, slots, from, to} = report(createStep());
		expect(plotSteps(steps, from, to)[0]).to.match(/^t\/ {3}3 \|=+#+\.+$/v);
		expect(plotSlots(slots)).to.have.length(1);
	});

	it('is empty for logs without steps', () => {
		expect(report([[0, 'started', {}]])).to.deep.include({steps: [], trainers: [], slots: []});
	});
});
