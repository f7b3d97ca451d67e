import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {formatLine, type LogValue} from '@wasabiusher/shared';
import {explainId, type Explanation} from '../src/index.js';

/** Start of the logs, in milliseconds since the epoch. */
const startMs = Date.parse('2026-03-25T09:00:00Z');

/** How far the clocks of hosts are ahead, in milliseconds. */
const clockOffsets: Readonly<Record<string, number>> = {b: 4000};

describe('explainId', () => {
	let directory: string;

	beforeEach(() => {
		directory = mkdtempSync(path.join(tmpdir(), 'explain-'));
	});

	afterEach(() => {
		rmSync(directory, {recursive: true});
	});

	/** Formats a line with the time on its host's clock. */
	function createLine(host: string, atMs: number, event: string, values: Record<string, LogValue>): string {
		return `${host} time=${new Date(startMs + atMs + (clockOffsets[host] ?? 0)).toISOString()} level=info program=p ${formatLine(event, values)}`;
	}

	function write(name: string, lines: readonly string[]): string {
		const file = path.join(directory, name);
		writeFileSync(file, lines.join('\n'));
		return file;
	}

	function list({lines}: Explanation): string[] {
		return lines.map(({event, host}) => `${host} ${event}`);
	}

	/** Writes logs of a sample that breaks at a removed endpoint and is generated at another one. The clock of host b is four seconds ahead. */
	function writeBrokenRun(): string[] {
		const adopted = (host: string) => [1, 2, 3].map(version => createLine(host, version * 10, 'configuration_adopted', {version}));
		return [
			write('a.log', [
				...adopted('a'),
				createLine('a', 100, 'batch_accepted', {batch: 'x', total: 1}),
				createLine('a', 900, 'endpoint_removed', {endpoint: 'e1'}),
				createLine('a', 900, 'endpoint_removed', {endpoint: 'e7'}),
				createLine('a', 30_000, 'endpoint_removed', {endpoint: 'e2'}),
			]),
			write('b.log', [
				...adopted('b'),
				createLine('b', 200, 'batch_begun', {batch: 'x', share: 0}),
				createLine('b', 1000, 'run_broken', {
					batch: 'x', sample: 's1', endpoint: 'e1', reason: 'closed',
				}),
				createLine('b', 1010, 'run_broken', {
					batch: 'x', sample: 's10', endpoint: 'e1', reason: 'closed',
				}),
				createLine('b', 2000, 'text_made', {
					batch: 'x', sample: 's1', endpoint: 'e2', events: 9,
				}),
				createLine('b', 2100, 'result_listed', {batch: 'x', sample: 's1', position: 0}),
				'b time=2026-03-25T09:00:06.200Z level=info program=p event=run_ended sample=s1 reason="cut o',
			]),
			write('c.log', adopted('c')),
		];
	}

	it('orders the history of a sample across hosts with different clocks, and includes events of its batch and endpoints and the deciding line', async () => {
		const explanation = await explainId('s1', writeBrokenRun());
		expect(explanation.kind).to.equal('sample');
		expect(list(explanation)).to.deep.equal([
			'a batch_accepted', 'b batch_begun', 'a endpoint_removed', 'b run_broken', 'b text_made', 'b result_listed',
		]);
		expect(explanation.lines[2]!.values.endpoint).to.equal('e1');
		expect(explanation.lines.map(({isRelated}) => isRelated)).to.deep.equal([true, true, true, false, false, false]);
		expect(explanation.decided).to.equal(5);
		expect(explanation.offsets).to.deep.equal({b: 4000});
		expect(explanation.count.skipped).to.equal(1);
	});

	it('derives the kind of an id from the lines that name it', async () => {
		const files = writeBrokenRun();
		const explanations = await Promise.all(['x', 'e1', 'b', 's'].map(async id => explainId(id, files)));
		expect(explanations.map(({kind}) => kind)).to.deep.equal(['batch', 'endpoint', 'host', undefined]);
	});

	it('does not treat a count as a version, and finds a lease by its name', async () => {
		const file = write('v.log', [
			createLine('a', 0, 'configuration_adopted', {version: 7, routes: 9}),
			createLine('a', 1, 'run_ended', {sample: 's', events: 7}),
			createLine('a', 2, 'lease_taken', {shard: 'weights', fence: 7}),
			createLine('a', 3, 'text_made', {sample: 's', versions: '6,7'}),
		]);
		const version = await explainId('7', [file]);
		expect([version.kind, list(version)]).to.deep.equal(['version', ['a configuration_adopted', 'a text_made']]);
		expect(version.decided).to.equal(0);
		const lease = await explainId('weights', [file]);
		expect([lease.kind, lease.decided]).to.deep.equal(['lease', 0]);
		const none = await explainId('9', [file]);
		expect(none.kind).to.equal(undefined);
	});

	it('treats the end of a refused request as the deciding line', async () => {
		const file = write('r.log', [
			createLine('a', 0, 'attempt_failed', {request: 'q', endpoint: 'e1', reason: 'closed'}),
			createLine('a', 5, 'call_ended', {request: 'q', outcome: 'not-run', reason: 'e2 refused with status 503'}),
			createLine('a', 6, 'call_ended', {request: 'q2', outcome: 'timeout'}),
		]);
		const explanation = await explainId('q', [file]);
		expect(list(explanation)).to.deep.equal(['a attempt_failed', 'a call_ended']);
		expect(explanation.decided).to.equal(1);
	});
});
