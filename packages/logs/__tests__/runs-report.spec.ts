import {expect} from 'chai';
import {formatLine, type LogValue} from '@wasabiusher/shared';
import {parseLine, RunStatistics} from '../src/index.js';

describe('RunStatistics', () => {
	function report(...lines: Array<readonly [atMs: number, host: string, event: string, values: Record<string, LogValue>]>) {
		const count = new RunStatistics();
		for (const [atMs, host, event, values] of lines) {
			count.add(parseLine(`${host} time=${new Date(atMs).toISOString()} level=info program=p ${formatLine(event, values)}`)!);
		}

		return count.report();
	}

	it('separates refusals during a load that any host ordered from other refusals', () => {
		const {runs, refused, refusedLoading} = report(
			[1100, 'a', 'run_ended', {endpoint: 'e', status: 503, tookMs: 10}],
			[3000, 'a', 'run_ended', {endpoint: 'e', status: 503, tookMs: 10}],
			[1100, 'a', 'run_ended', {endpoint: 'f', status: 503, tookMs: 10}],
			[1100, 'a', 'run_ended', {endpoint: 'e', status: 200, tookMs: 10}],
			[2100, 'a', 'run_ended', {endpoint: 'e', status: 503, tookMs: 600}],
			[1900, 'b', 'weights_loaded', {endpoint: 'e'}],
			[1000, 'c', 'weights_ordered', {endpoint: 'e'}],
		);
		expect([runs, refused, refusedLoading]).to.deep.equal([5, 4, 2]);
	});

	it('reports the times of texts and results, moves, failed writes that one line counts, and the texts by host', () => {
		const {waits, moves, earlyMoves, failedCommits, hosts, texts} = report(
			[1, 'a', 'text_made', {tookMs: 100, waitedMs: 50}],
			[2, 'b', 'text_made', {tookMs: 200}],
			[3, 'b', 'text_made', {tookMs: 300}],
			[4, 'b', 'result_listed', {committedMs: 7}],
			[5, 'b', 'run_moved', {events: 4}],
			[6, 'b', 'run_moved', {events: 5}],
			[7, 'b', 'commit_failed', {times: 12}],
			[8, 'b', 'commit_failed', {}],
		);
		expect(waits.tookMs).to.deep.equal({p50: 200, p90: 300, p99: 300});
		expect(waits.waitedMs).to.deep.equal({p50: 0, p90: 50, p99: 50});
		expect(waits.committedMs!.p50).to.equal(7);
		expect([moves, earlyMoves, failedCommits, texts]).to.deep.equal([2, 1, 13, 3]);
		expect(hosts).to.deep.equal([{host: 'b', texts: 2}, {host: 'a', texts: 1}]);
	});
});
