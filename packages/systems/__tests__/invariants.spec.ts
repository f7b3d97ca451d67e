import {expect} from 'chai';
import {Registry} from 'prom-client';
import {createSilentLog} from '@wasabiusher/shared';
import {invariantNames, Invariants} from '../src/index.js';

const frame = {request: 'r', attempt: 2, sequence: 5};

/** For each invariant, a check that holds and one that is violated. */
const checks: Record<typeof invariantNames[number], {holding: (invariants: Invariants) => unknown; violated: (invariants: Invariants) => unknown}> = {
	'versions-named': {
		holding: invariants => invariants.checkVersionsNamed({id: 's', tokens: 4, versions: [{version: 1, from: 0, to: 2}, {version: 2, from: 2, to: 4}]}),
		violated: invariants => invariants.checkVersionsNamed({id: 's', tokens: 4, versions: [{version: 1, from: 0, to: 2}, {version: 2, from: 3, to: 4}]}),
	},
	fresh: {
		holding: invariants => invariants.checkFresh({
			id: 's', versionsBehind: 1, maxVersionsBehind: 1, secondsBehind: 9,
		}),
		violated: invariants => invariants.checkFresh({
			id: 's', versionsBehind: 1, maxVersionsBehind: 1, secondsBehind: 9, maxSecondsBehind: 8,
		}),
	},
	'delivered-once': {
		holding: invariants => invariants.checkDeliveredOnce('s', false),
		violated: invariants => invariants.checkDeliveredOnce('s', true),
	},
	'own-answer': {
		holding: invariants => invariants.checkOwnAnswer(frame, {...frame}),
		violated: invariants => invariants.checkOwnAnswer(frame, {...frame, attempt: 1}),
	},
	'not-run-true': {
		holding: invariants => invariants.checkRan('r', 'unknown', true) === 'unknown',
		violated: invariants => invariants.checkRan('r', 'no', true) === 'no',
	},
	'at-most-once': {
		holding: invariants => invariants.checkAtMostOnce('r', {isIdempotent: true, mayHaveRun: true}),
		violated: invariants => invariants.checkAtMostOnce('r', {isIdempotent: false, mayHaveRun: true}),
	},
	'leaving-takes-nothing': {
		holding: invariants => invariants.checkTakesWork('e', 100),
		violated: invariants => invariants.checkTakesWork('e', 60_000),
	},
	'shutdown-cuts-nothing': {
		holding: invariants => invariants.checkNothingOpen(0),
		violated: invariants => invariants.checkNothingOpen(1),
	},
	'configuration-forward': {
		holding: invariants => invariants.checkConfigurationForward(1, 2),
		violated: invariants => invariants.checkConfigurationForward(2, 2),
	},
};

describe('Invariants', () => {
	for (const invariant of invariantNames) {
		it(`returns false and counts a violation of ${invariant}`, async () => {
			const registry = new Registry();
			const invariants = new Invariants(createSilentLog(), registry);
			expect(checks[invariant].holding(invariants)).to.be.true;
			expect(checks[invariant].violated(invariants)).to.be.false;
			const metrics = await registry.metrics();
			expect(metrics).to.contain(`wasabiusher_invariant_broken_total{invariant="${invariant}"} 1`);
			expect(metrics.match(/_total\{.*\} 1/gv)).to.have.lengthOf(1);
		});
	}
});
