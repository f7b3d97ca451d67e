/**
 * Assigns the shares of a new batch to hosts, based on the hosts, batches and endpoints that this process knows.
 */
import {
	chooseWorkers, countShares, defaultPolicy, type Policy, type WorkerCandidate,
} from '@wasabiusher/decisions';
import type {EndpointDirectory} from '@wasabiusher/direct';
import {
	findRoute, groupBy, rankCandidate, type Deployment, type RegisteredEndpoint,
} from '@wasabiusher/shared';
import type {BatchShare, Submission} from './batch.js';
import type {HostRegistry} from './host-registry.js';
import type {KnownBatches} from './known-batches.js';
import {listGroups} from './shares.js';

export type SharePlannerSettings = {
	directory: EndpointDirectory;
	hosts: HostRegistry;
	known: KnownBatches;
	host: string;
	dataCentre: string;
	policy?: Policy;
	/** Returns the active configuration. */
	findDeployment(): Deployment | undefined;
};

/** Plans the shares of batches. */
export class SharePlanner {
	readonly #settings: SharePlannerSettings;

	constructor(settings: SharePlannerSettings) {
		this.#settings = settings;
	}

	/** Returns the services that may run a submission. */
	listServices({host, path}: Submission): Set<string> {
		const deployment = this.#settings.findDeployment();
		return new Set((deployment && findRoute(deployment, host, path))?.targets.map(({service}) => service));
	}

	/**
	 * Plans the shares of a new batch and their owners.
	 *
	 * @param series - series of the batch, which identifies the trainer
	 * @param isLeaving - whether this process accepts no new shares for itself
	 */
	plan(submission: Submission, series: string, isLeaving: boolean): BatchShare[] {
		const {hosts, known, host, dataCentre, policy = defaultPolicy} = this.#settings;
		const live = new Map(hosts.listLive().map(found => [found.incarnation, found]));
		const endpoints = this.#listEndpoints(submission);
		const samples = submission.samples.length;
		const count = policy.sharesBatches
			? countShares({
				samples, groups: listGroups(submission).size, hosts: live.size, endpoints: endpoints.length / this.#countModels(submission),
			})
			: 1;
		const chosen = chooseWorkers(this.#listCandidates(isLeaving), {
			count,
			samples: samples / count,
			lastWorkers: policy.keepsTrainers ? known.findNewest(series)?.shares.map(({owner}) => owner) ?? [] : [],
			endpoints: new Map([...groupBy(endpoints, endpoint => endpoint.dataCentre)].map(([name, found]) => [name, found.length])),
			rank: id => rankCandidate(series, live.get(id)?.host ?? ''),
		});
		const workers = chosen.flatMap(id => live.get(id) ?? []);
		return workers.length === 0
			? [{
				owner: isLeaving ? '' : hosts.incarnation, ownerHost: host, dataCentre, term: 1,
			}]
			: workers.map(worker => ({
				owner: worker.incarnation, ownerHost: worker.host, dataCentre: worker.dataCentre, term: 1,
			}));
	}

	#listCandidates(isLeaving: boolean): WorkerCandidate[] {
		const {hosts, known} = this.#settings;
		const samples = known.countSamples();
		return hosts.listLive()
			.filter(({incarnation}) => !(isLeaving && incarnation === hosts.incarnation))
			.map(({incarnation, ...found}) => ({
				...found, id: incarnation, samples: samples.get(incarnation) ?? 0, isHere: incarnation === hosts.incarnation,
			}));
	}

	/** Counts the models that share the endpoints of a submission. */
	#countModels(submission: Submission): number {
		const services = this.listServices(submission);
		const models = this.#settings.findDeployment()?.services.filter(({name}) => services.has(name)).flatMap(service => service.models);
		return Math.max(1, new Set(models).size);
	}

	/** Lists the endpoints that may serve a submission. */
	#listEndpoints(submission: Submission): RegisteredEndpoint[] {
		const services = this.listServices(submission);
		return this.#settings.directory.list().filter(({service, isDraining}) => services.has(service) && !isDraining);
	}
}
