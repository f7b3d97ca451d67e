import {expect} from 'chai';
import {Registry} from 'prom-client';
import {createSilentLog} from '@wasabiusher/shared';
import {invariantNames, Invariants} from '../src/index.js';

const frame = {request: 'r', attempt: 2, sequence: 5};

/** For each invariant an act that keeps it and one that breaks it. */
const acts: Record<typeof invariantNames[number], {kept: (invariants: Invariants) => unknown; broken: (invariants: Invariants) => unknown}> = {
	'versions-named': {
		kept: invariants => invariants.checkVersionsNamed({id: 's', tokens: 4, versions: [{version: 1, from: 0, to: 2}, {version: 2, from: 2, to: 4}]}),
		broken: invariants => invariants.checkVersionsNamed({id: 's', tokens: 4, versions: [{version: 1, from: 0, to: 2}, {version: 2, from: 3, to: 4}]}),
	},
	fresh: {
		kept: invariants => invariants.checkFresh({
			id: 's', versionsBehind: 1, maxVersionsBehind: 1, secondsBehind: 9,
		}),
		broken: invariants => invariants.checkFresh({
			id: 's', versionsBehind: 1, maxVersionsBehind: 1, secondsBehind: 9, maxSecondsBehind: 8,
		}),
	},
	'delivered-once': {
		kept: invariants => invariants.checkDeliveredOnce('s', false),
		broken: invariants => invariants.checkDeliveredOnce('s', true),
	},
	'own-answer': {
		kept: invariants => invariants.checkOwnAnswer(frame, {...frame}),
		broken: invariants => invariants.checkOwnAnswer(frame, {...frame, attempt: 1}),
	},
	'not-run-true': {
		kept: invariants => invariants.checkRan('r', 'unknown', true) === 'unknown',
		broken: invariants => invariants.checkRan('r', 'no', true) === 'no',
	},
	'at-most-once': {
		kept: invariants => invariants.checkAtMostOnce('r', {isIdempotent: true, mayHaveRun: true}),
		broken: invariants => invariants.checkAtMostOnce('r', {isIdempotent: false, mayHaveRun: true}),
	},
	'leaving-takes-nothing': {
		kept: invariants => invariants.checkTakesWork('e', 100),
		broken: invariants => invariants.checkTakesWork('e', 60_000),
	},
	'shutdown-cuts-nothing': {
		kept: invariants => invariants.checkNothingCutOff(0),
		broken: invariants => invariants.checkNothingCutOff(1),
	},
	'configuration-forward': {
		kept: invariants => invariants.checkConfigurationForward(1, 2),
		broken: invariants => invariants.checkConfigurationForward(2, 2),
	},
};

describe('Invariants', () => {
	for (const invariant of invariantNames) {
		it(`withholds and counts what would break ${invariant}`, async () => {
			const registry = new Registry();
			const invariants = new Invariants(createSilentLog(), registry);
			expect(acts[invariant].kept(invariants)).to.be.true;
			expect(acts[invariant].broken(invariants)).to.be.false;
			const metrics = await registry.metrics();
			expect(metrics).to.contain(`wasabiusher_invariant_broken_total{invariant="${invariant}"} 1`);
			expect(metrics.match(/_total\{.*\} 1/gv)).to.have.lengthOf(1);
		});
	}
});
