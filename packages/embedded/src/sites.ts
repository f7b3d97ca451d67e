/**
 * The two deployments that the demo runs, with the sizes of users' deployments.
 */
import type {DeploymentSize} from './deployment.js';

/** A deployment with the calls that the demo makes to it. */
export type Site = {
	title: string;
	/** File of the example configuration, in `examples/`. */
	example: string;
	size: DeploymentSize;
	/** Plain service that receives postings, with the profile and the caller. */
	posting: {service: string; profile: string; caller: string};
	/** Model that callers query, with the profile, the caller and the prompt. */
	query: {model: string; profile: string; caller: string; prompt: string};
	/** Step that the trainer requests. */
	rollout: {model: string; profile: string; trainer: string; prompts: string[]};
};

/** Sizes and timings that both sites share. */
const commonSize = {
	entries: 3, engines: 6, plainEndpoints: 4, slots: 16, tokenMs: 5,
};

/** Sites by the name of their example configuration. */
export const sites = {
	'petroleum-office': {
		title: 'Petroleum reserve office',
		example: 'petroleum-office.yaml',
		size: {
			...commonSize, dataCentres: ['tomakomai', 'muroran', 'ishikari'], modelService: 'inference', plainService: 'ledger', models: {drift: 1},
		},
		posting: {service: 'ledger', profile: 'dip-posting', caller: 'gauge-clerk'},
		query: {
			model: 'drift', profile: 'audit-query', caller: 'auditor', prompt: 'Which tanks drifted since the last dip?',
		},
		rollout: {
			model: 'drift', profile: 'drift-rollout', trainer: 'drift-trainer', prompts: ['tank 11', 'tank 12', 'tank 14', 'tank 21', 'tank 22', 'tank 30', 'tank 31', 'tank 40'],
		},
	},
	moosbrugger: {
		title: 'Trail reports',
		example: 'moosbrugger.yaml',
		size: {
			...commonSize, dataCentres: ['innsbruck-a', 'innsbruck-b', 'hall-kufstein'], modelService: 'models', plainService: 'reports', models: {trail: 1},
		},
		posting: {service: 'reports', profile: 'closure-report', caller: 'ranger'},
		query: {
			model: 'trail', profile: 'ranger-query', caller: 'ranger', prompt: 'Is the bridge at the upper ford passable?',
		},
		rollout: {
			model: 'trail', profile: 'hazard-rollout',
			trainer: 'hazard-trainer',
			prompts: ['snow bridge', 'rockfall', 'washed-out path', 'fallen tree', 'loose cable', 'flooded ford', 'icy ledge', 'closed hut'],
		},
	},
} as const satisfies Record<string, {size: DeploymentSize} & Record<string, unknown>>;

export type SiteName = keyof typeof sites;

/** Returns a site as the general `Site` type, with copies of its lists. */
export function findSite(name: SiteName): Site {
	const site = sites[name];
	return {...site, rollout: {...site.rollout, prompts: [...site.rollout.prompts]}, size: {...site.size, dataCentres: [...site.size.dataCentres]}};
}
