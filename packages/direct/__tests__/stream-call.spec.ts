import {Buffer} from 'node:buffer';
import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {PlatformError, type ServingRequest, type ServingStream} from '@wasabiusher/backends';
import {Log, type Route} from '@wasabiusher/shared';
import {StreamCall, type PoisonRequestTracker, type StreamOutcome} from '../src/index.js';
import {createBench, createRequest, createRoute} from './fixtures.js';

/** Behavior of one attempt: the chunks that it sends, and how it ends; `lost` ends it before its head. An undefined script refuses the attempt. */
type Script = {pieces: string[]; end: 'whole' | 'broken' | 'silent' | 'unframed' | 'lost'; status?: number};

function createEvents(from: number, to: number): string {
	return Array.from({length: to - from + 1}, (_, i) => `id: ${from + i}\ndata: e${from + i}\n\n`).join('');
}

describe('StreamCall', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	async function * play({pieces, end}: Script, signal: AbortSignal): AsyncIterable<Uint8Array> {
		for (const piece of pieces) {
			yield Buffer.from(piece);
		}

		if (end === 'silent') {
			await new Promise<void>(resolve => {
				signal.addEventListener('abort', () => {
					resolve();
				});
			});
		}

		if (end === 'silent' || end === 'broken') {
			throw new PlatformError('unknown', 'the stream broke off');
		}
	}

	function start(scripts: Array<Script | undefined>, changes: Partial<Route> = {}, resumeAfter?: number, findRoute?: () => Route | undefined) {
		const bench = createBench(4);
		const requests: Array<ServingRequest & {endpoint: string}> = [];
		const client = {
			...bench.client,
			async open({id}: {id: string}, request: ServingRequest, signal: AbortSignal): Promise<ServingStream> {
				const script = scripts[requests.length];
				requests.push({...request, endpoint: id});
				if (script?.end === 'lost') {
					throw new PlatformError('unknown', 'the answer was lost');
				}

				return {
					status: script?.status ?? (script ? 200 : 503), headers: {}, isNotRun: !script, stamp: `mark-${requests.length}`, load: undefined, weightVersion: undefined,
					isFramed: script?.end !== 'unframed', isClosing: false, body: play(script ?? {pieces: [], end: 'whole'}, signal),
				};
			},
		};
		const route = createRoute({kind: 'stream', isResumable: true, ...changes});
		const lines: string[] = [];
		const log = new Log('test', 'info', line => {
			lines.push(line);
		});
		const call = new StreamCall({
			...bench, client, findRoute, log,
		}, route, {...createRequest(20_000), resumeAfter}, new AbortController().signal);
		return {
			requests, outcome: call.open(), bench, lines,
		};
	}

	async function read(outcome: StreamOutcome): Promise<string> {
		if (outcome.kind !== 'opened') {
			return outcome.kind;
		}

		let text = '';
		try {
			for await (const chunk of outcome.stream.body) {
				text += Buffer.from(chunk).toString();
			}
		} catch {
			text += '(broken off)';
		} finally {
			outcome.release();
		}

		return text;
	}

	async function readAll(outcome: Promise<StreamOutcome>, ms = 100): Promise<string> {
		const text = (async () => read(await outcome))();
		await clock.tickAsync(ms);
		return text;
	}

	it('resumes at another endpoint after the last complete event, with the head of the first endpoint', async () => {
		const {
			requests, outcome, bench, lines,
		} = start([
			{pieces: [createEvents(1, 2), 'id: 3\nda'], end: 'broken'},
			undefined,
			{pieces: [createEvents(3, 4)], end: 'whole'},
		]);
		expect(await readAll(outcome)).to.equal(createEvents(1, 4));
		const opened = await outcome;
		expect(opened.kind === 'opened' && opened.stream.stamp).to.equal('mark-1');
		expect(requests.map(({resumeAfter}) => resumeAfter)).to.deep.equal([undefined, 2, 2]);
		expect(new Set(requests.map(({endpoint}) => endpoint)).size).to.equal(3);
		expect(lines.filter(line => /event=stream_resumed request=\S+ after=2 reason=/v.test(line))).to.have.lengthOf(1);
		expect(['i0', 'i1', 'i2', 'i3'].map(id => bench.directory.countOpen(id))).to.deep.equal([0, 0, 0, 0]);
	});

	it('resumes after the event that the caller names, if it breaks before the first one', async () => {
		const {requests, outcome} = start([{pieces: [], end: 'broken'}, {pieces: [createEvents(6, 7)], end: 'whole'}], {}, 5);
		expect(await readAll(outcome)).to.equal(createEvents(6, 7));
		expect(requests.map(({resumeAfter}) => resumeAfter)).to.deep.equal([5, 5]);
	});

	it('resumes at another endpoint when no data arrives for a second', async () => {
		const {outcome} = start([{pieces: [createEvents(1, 2)], end: 'silent'}, {pieces: [createEvents(3, 3)], end: 'whole'}]);
		expect(await readAll(outcome, 2000)).to.equal(createEvents(1, 3));
	});

	it('fetches missing events after the end of a stream without a length', async () => {
		const {outcome} = start([{pieces: [createEvents(1, 2)], end: 'unframed'}, {pieces: [createEvents(3, 3)], end: 'whole'}]);
		expect(await readAll(outcome)).to.equal(createEvents(1, 3));
	});

	it('begins at no more endpoints than the route allows, and then ends with an error', async () => {
		const broken: Script = {pieces: [], end: 'broken'};
		const {requests, outcome} = start([{pieces: [createEvents(1, 1)], end: 'broken'}, broken, broken, broken], {maxAttempts: 2});
		expect(await readAll(outcome)).to.equal(`${createEvents(1, 1)}(broken off)`);
		expect(requests).to.have.length(2);
	});

	it('does not repeat an attempt that may have run if the route does not allow it', async () => {
		const {requests, outcome} = start([{pieces: [createEvents(1, 1)], end: 'broken'}, {pieces: [createEvents(2, 2)], end: 'whole'}], {isResumable: false});
		expect(await readAll(outcome)).to.equal(`${createEvents(1, 1)}(broken off)`);
		expect(requests).to.have.length(1);
	});

	it('counts as not run only if none of its attempts may have run, also when no endpoint is left', async () => {
		const lost: Script = {pieces: [], end: 'lost'};
		const refused = [undefined, undefined, undefined, undefined];
		expect(await readAll(start(refused).outcome)).to.equal('not-run');
		expect(await readAll(start([lost, ...refused]).outcome)).to.equal('unknown');
		expect(await readAll(start([undefined, lost, ...refused]).outcome)).to.equal('unknown');
	});

	it('passes on the failure of an endpoint unchanged', async () => {
		const {outcome} = start([{pieces: ['no'], end: 'whole', status: 500}]);
		const opened = await outcome;
		expect(opened.kind === 'opened' && opened.stream.status).to.equal(500);
		expect(await read(opened)).to.equal('no');
	});

	it('ends at the deadline of its caller while no endpoint begins, and tries none after it', async () => {
		const bench = createBench(4);
		let asked = 0;
		const client = {
			...bench.client,
			async open(_target: unknown, _request: ServingRequest, signal: AbortSignal): Promise<ServingStream> {
				asked += 1;
				return new Promise((_resolve, reject) => {
					signal.addEventListener('abort', () => {
						reject(new PlatformError('unknown', 'cut'));
					});
				});
			},
		};
		let outcome: StreamOutcome | undefined;
		void (async () => {
			outcome = await new StreamCall({...bench, client}, createRoute({kind: 'stream', isResumable: true}), createRequest(300), new AbortController().signal).open();
		})();

		await clock.tickAsync(290);
		expect(outcome).to.equal(undefined);
		await clock.tickAsync(20);
		expect(outcome).to.deep.equal({kind: 'timeout', hasSent: true});
		await clock.tickAsync(5000);
		expect(asked).to.equal(1);
		expect(bench.directory.list().map(({id}) => bench.directory.countOpen(id))).to.deep.equal([0, 0, 0, 0]);
	});

	it('reports a stream that its reader leaves as broken, and only a complete one as finished', async () => {
		const reports: string[] = [];
		const poisonRequests: PoisonRequestTracker = {
			findRetryDelayMs: () => undefined,
			recordAttempt: () => undefined,
			recordBroken() {
				reports.push('broken');
			},
			recordDown() {
				reports.push('down');
			},
			recordFinished() {
				reports.push('finished');
			},
		};
		const bench = createBench(1);
		const scripts: Script[] = [{pieces: ['a'], end: 'silent'}, {pieces: ['a'], end: 'whole', status: 500}, {pieces: ['a'], end: 'whole'}];
		for (const script of scripts) {
			const leave = new AbortController();
			const client = {
				...bench.client,
				async open(_target: unknown, _request: ServingRequest, signal: AbortSignal): Promise<ServingStream> {
					return {
						status: script.status ?? 200, headers: {}, isNotRun: false, stamp: 's', load: undefined, weightVersion: undefined, isFramed: true, isClosing: false, body: play(script, signal),
					};
				},
			};
			const opened = new StreamCall({...bench, client, poisonRequests}, createRoute({kind: 'stream'}), createRequest(), leave.signal).open();
			setTimeout(() => {
				leave.abort();
			}, 50);
			// eslint-disable-next-line no-await-in-loop
			await readAll(opened);
		}

		expect(reports).to.deep.equal(['broken', 'finished']);
	});

	// Guards against streams that are resumed at a service which their route has left.
	it('resumes a stream at the service that its route has moved to, and nowhere if its route was dropped', async () => {
		const play = async (routeAfterwards: Route | undefined) => {
			let route: Route | undefined = createRoute({kind: 'stream', isResumable: true});
			const {requests, outcome, bench} = start([
				{pieces: [createEvents(1, 2)], end: 'broken'}, {pieces: [createEvents(3, 4)], end: 'whole'},
			], {}, undefined, () => route);
			bench.directory.put({...bench.directory.get('i3')!, id: 't0', service: 't'});
			const opened = await outcome;
			route = routeAfterwards;
			return [await read(opened), requests.slice(1).map(({endpoint, resumeAfter}) => [endpoint, resumeAfter])];
		};

		expect(await play(createRoute({kind: 'stream', isResumable: true, targets: [{service: 't', weight: 1}]}))).to.deep.equal([createEvents(1, 4), [['t0', 2]]]);
		expect(await play(undefined)).to.deep.equal([`${createEvents(1, 2)}(broken off)`, []]);
	});

	// Guards against streams that are cut because their server pauses, though nobody can resume them.
	it('gives up a silent endpoint before the deadline only if the stream can be resumed', async () => {
		const play = async (isResumable: boolean) => {
			const {requests, outcome} = start([{pieces: [createEvents(1, 2)], end: 'whole'}], {isResumable});
			await outcome;
			return requests[0]!.silenceMs;
		};

		expect([await play(false), await play(true)]).to.deep.equal([20_000, undefined]);
	});
});
