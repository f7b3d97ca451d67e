import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import {Callers, type Request} from '../src/callers.js';
import {poisonText} from '../src/fake-engine.js';
import {World} from '../src/world.js';

/** Maximum number of endpoints that one request may crash. */
const maxCrashes = 2;

const copies = 6;

const innocents = 6;

/** Sends copies of a poison request at an interval, each through the next entry. */
async function sendCopies(callers: Callers, clock: Clock, gapMs: number): Promise<Request[]> {
	const sent: Request[] = [];
	for (let copy = 0; copy < copies; copy += 1) {
		sent.push(callers.send('query', `${poisonText} pill`));
		// eslint-disable-next-line no-await-in-loop
		await clock.tickAsync(gapMs);
	}

	return sent;
}

describe('a poison request, which crashes each endpoint that runs it', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.reset();
		clock.uninstall();
	});

	const checkCopies = async (gapMs: number) => {
		const world = new World(1, {entries: 3, engines: 6, ledgers: 1});
		await clock.tickAsync(8000);
		const callers = new Callers(world);
		const neighbours = Array.from({length: innocents}, (_, index) => callers.send('query', `ok-${index}`));
		const poisonous = await sendCopies(callers, clock, gapMs);
		await clock.tickAsync(60_000);
		const crashes = world.engines.reduce((sum, engine) => sum + engine.crashes, 0);
		expect(crashes).to.be.at.most(maxCrashes);
		expect(neighbours.map(({told}) => told.at(-1)?.kind)).to.deep.equal(neighbours.map(() => 'answered'));
		const kinds = poisonous.map(({told}) => told.map(one => one.kind === 'failed' ? one.problem.kind : one.kind));
		expect(kinds).to.deep.equal(poisonous.map(() => ['quarantined']));
	};

	for (const gapMs of [50, 1000, 5000]) {
		it(`crashes at most two endpoints when copies arrive through all entries ${gapMs} ms apart, while other requests are answered`, async () => {
			await checkCopies(gapMs);
		});
	}
});
