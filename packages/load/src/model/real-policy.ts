/**
 * Applies the real decisions to the simulated endpoints, combined as in the entry and the agents.
 */
import {
	Admission, chooseEndpoint, ConcurrencyLimit, decideRetry, DrainRate, Ejection, FairQueue, Headroom, LoadEstimator, RetryBudget,
	type Candidate,
} from '@wasabiusher/decisions';
import type {Random} from '@wasabiusher/shared';
import type {
	Call, CallOutcome, CallPolicy, CallRun,
} from './call.js';
import type {Execution, ModelEndpoint} from './pool.js';

/** Interval and delay of load reports, in milliseconds. */
const reportEveryMs = 200;
const reportLagMs = 500;

/** Typical duration of a call, in milliseconds; it determines how soon a load report is outdated. */
const serviceMs = 200;

/** Weight of a new measurement in the moving average of an endpoint's slowness. */
const timeSmoothing = 0.1;

/** Work of a probe, in milliseconds. */
const probeWorkMs = 100;

type Site = {
	endpoint: ModelEndpoint;
	load: LoadEstimator;
	limit: ConcurrencyLimit;
	/** Moving average of the ratio of actual to expected duration of calls. */
	slowness: number;
	reports: Array<{load: number; measuredAt: number}>;
};

type Job = {
	call: Call;
	attempts: number;
	site?: Site;
	execution?: Execution;
	isOverdue: boolean;
	inFlightAtStart: number;
};

export class RealPolicy implements CallPolicy {
	readonly run: CallRun = {
		outcomes: [], attempts: [], mostWaiting: 0, ejections: [],
	};

	readonly #sites: readonly Site[];
	readonly #random: Random;
	readonly #admission: Admission;
	readonly #queue = new FairQueue<Job>();
	readonly #headroom = new Headroom();
	readonly #ejection = new Ejection();
	readonly #budget = new RetryBudget();
	readonly #rate: DrainRate;
	readonly #waiting = new Map<string, Job>();
	readonly #running = new Set<Job>();
	/** Number of interactive calls that are running. */
	#interactive = 0;
	readonly #retries: Array<{job: Job; at: number}> = [];

	constructor(endpoints: readonly ModelEndpoint[], random: Random) {
		this.#random = random;
		const slots = endpoints.reduce((sum, endpoint) => sum + endpoint.slots, 0);
		this.#sites = endpoints.map(endpoint => ({
			endpoint, load: new LoadEstimator(), limit: new ConcurrencyLimit({min: 1, max: endpoint.slots, initial: endpoint.slots}), slowness: 1, reports: [],
		}));
		this.#admission = new Admission({
			count: 200 * slots, work: 1e9, callerCount: 100 * slots, callerWork: 1e9,
		});
		this.#rate = new DrainRate(slots);
		for (const {id} of endpoints) {
			this.#ejection.add(id);
		}
	}

	get open(): number {
		return this.#waiting.size + this.#running.size + this.#retries.length;
	}

	arrive(call: Call, now: number): void {
		const {id, class: name, caller, deadlineAt, expectedMs} = call;
		const decision = this.#admission.reserve({
			id, class: name, caller, share: 1, cost: expectedMs, deadlineAt, serviceMs: expectedMs,
		}, now, this.#rate.perMs);
		if (decision.kind === 'refused') {
			this.#end(call, 'refused', now);
			return;
		}

		this.#budget.recordFirstTry(caller);
		this.#enqueue({
			call, attempts: 0, isOverdue: false, inFlightAtStart: 0,
		});
	}

	tick(now: number): void {
		for (const {endpoint} of this.#sites) {
			endpoint.tick(now);
		}

		this.#receiveReports(now);
		this.#expire(now);
		this.#findOverdue(now);
		this.#probe(now);
		this.#resumeRetries(now);
		this.#dispatch(now);
		this.run.mostWaiting = Math.max(this.run.mostWaiting, this.#queue.size);
	}

	#enqueue(job: Job): void {
		const {id, class: name, caller, expectedMs} = job.call;
		this.#waiting.set(id, job);
		this.#queue.push({
			id, class: name, priority: 5, caller, share: 1, cost: expectedMs,
		}, job);
	}

	#dispatch(now: number): void {
		this.#headroom.observe(this.#interactive, now);
		for (let name = this.#queue.nextClass; name !== undefined; name = this.#queue.nextClass) {
			const candidates = this.#listCandidates(now);
			const limit = candidates.reduce((sum, candidate) => sum + (candidate.isEjected ? 0 : candidate.limit), 0);
			const inFlight = candidates.reduce((sum, candidate) => sum + (candidate.isEjected ? 0 : candidate.load), 0);
			const chosen = inFlight < this.#headroom.limitFor(name, limit, now) ? chooseEndpoint(candidates, this.#random) : undefined;
			if (!chosen) {
				break;
			}

			this.#start(this.#queue.pop()!, this.#sites.find(({endpoint}) => endpoint.id === chosen.id)!, now);
		}
	}

	#listCandidates(now: number): Candidate[] {
		return this.#sites.map(({endpoint, load, limit, slowness}) => ({
			id: endpoint.id, load: load.estimate(now, serviceMs), limit: limit.limit, serviceMs: slowness * serviceMs, isEjected: this.#ejection.isEjected(endpoint.id),
		}));
	}

	#start(job: Job, site: Site, now: number): void {
		const {call} = job;
		this.#waiting.delete(call.id);
		this.#admission.start(call.id);
		this.#running.add(job);
		this.#interactive += call.class === 'interactive' ? 1 : 0;
		this.run.attempts.push(now);
		job.attempts += 1;
		job.site = site;
		job.isOverdue = false;
		job.inFlightAtStart = site.load.load + 1;
		site.load.recordSent(now);
		job.execution = site.endpoint.start(call, now, (hasFailed, at) => {
			this.#finish(job, hasFailed, at);
		});
	}

	#finish(job: Job, hasFailed: boolean, now: number): void {
		const {call, site, execution} = job;
		const slowness = (now - execution!.startedAt) / call.expectedMs;
		this.#leave(job, now);
		if (hasFailed || !job.isOverdue) {
			this.#recordEvidence(site!, {hasFailed, slowness}, now);
		}

		if (hasFailed) {
			this.#retry(job, now);
			return;
		}

		site!.slowness += timeSmoothing * (slowness - site!.slowness);
		site!.limit.record((now - execution!.startedAt) / call.workMs, job.inFlightAtStart, false, now);
		this.#rate.record(call.expectedMs, now, this.#queue.size > 0);
		this.#end(call, now <= call.deadlineAt ? 'answered' : 'late', now);
	}

	/** Removes a job from its endpoint's slot. */
	#leave(job: Job, now: number): void {
		this.#running.delete(job);
		this.#interactive -= job.call.class === 'interactive' ? 1 : 0;
		job.site!.load.recordEnded(now);
	}

	#recordEvidence({endpoint}: Site, evidence: {hasFailed: boolean; slowness: number}, now: number): void {
		if (!this.#ejection.record(endpoint.id, evidence, now)) {
			return;
		}

		this.run.ejections.push({endpoint: endpoint.id, from: now});
		for (const job of this.#running) {
			if (job.site?.endpoint === endpoint && now - job.execution!.startedAt > job.call.expectedMs) {
				this.#move(job, now);
			}
		}
	}

	/** Cancels a job that runs too long at an ejected endpoint and retries it. */
	#move(job: Job, now: number): void {
		job.site!.endpoint.cancel(job.execution!);
		this.#leave(job, now);
		this.#retry(job, now);
	}

	#retry(job: Job, now: number): void {
		const {call, attempts} = job;
		const decision = decideRetry({
			caller: call.caller, ran: 'unknown', isIdempotent: true, isRefusal: false, attempts, refusals: 0, deadlineAt: call.deadlineAt, serviceMs: call.expectedMs,
		}, this.#budget, this.#random, now);
		if (decision.kind === 'retry') {
			this.#retries.push({job, at: now + decision.delayMs});
		} else {
			this.#end(call, 'failed', now);
		}
	}

	#resumeRetries(now: number): void {
		for (const retry of this.#retries.filter(({at}) => at <= now)) {
			this.#retries.splice(this.#retries.indexOf(retry), 1);
			this.#enqueue(retry.job);
		}
	}

	#expire(now: number): void {
		for (const job of this.#waiting.values()) {
			if (now >= job.call.deadlineAt) {
				this.#waiting.delete(job.call.id);
				this.#queue.remove(job.call.id);
				this.run.outcomes.push({
					call: job.call, kind: 'late', at: now, hasExpired: job.attempts === 0,
				});
				this.#admission.release(job.call.id);
			}
		}

		for (const job of this.#running) {
			if (now >= job.call.deadlineAt) {
				job.site!.endpoint.cancel(job.execution!);
				this.#leave(job, now);
				this.#end(job.call, 'late', now);
			}
		}
	}

	#findOverdue(now: number): void {
		for (const job of this.#running) {
			const slowness = (now - job.execution!.startedAt) / job.call.expectedMs;
			if (!job.isOverdue && this.#ejection.isOverdue(job.site!.endpoint.id, slowness)) {
				job.isOverdue = true;
				this.#recordEvidence(job.site!, {hasFailed: false, slowness}, now);
			}

			if (job.isOverdue && this.#running.has(job) && this.#ejection.isEjected(job.site!.endpoint.id)) {
				this.#move(job, now);
			}
		}
	}

	/** Probes ejected endpoints with separate calls that no caller waits for. */
	#probe(now: number): void {
		for (const {endpoint} of this.#sites) {
			if (this.#ejection.tryStartProbe(endpoint.id, now)) {
				const probe: Call = {
					id: 'probe', caller: 'probe', class: 'interactive', at: now, deadlineAt: now, workMs: probeWorkMs, expectedMs: probeWorkMs,
				};
				endpoint.start(probe, now, (hasFailed, at) => {
					this.#ejection.recordProbe(endpoint.id, {hasFailed, slowness: (at - now) / probeWorkMs}, at);
					if (!this.#ejection.isEjected(endpoint.id)) {
						this.run.ejections.findLast(ejection => ejection.endpoint === endpoint.id)!.to ??= at;
					}
				});
			}
		}
	}

	#receiveReports(now: number): void {
		if (now % reportEveryMs !== 0) {
			return;
		}

		for (const {endpoint, load, reports} of this.#sites) {
			reports.push({load: endpoint.load, measuredAt: now});
			while (reports[0] && reports[0].measuredAt <= now - reportLagMs) {
				load.receive(reports.shift()!);
			}
		}
	}

	#end(call: Call, kind: CallOutcome['kind'], now: number): void {
		this.#admission.release(call.id);
		this.run.outcomes.push({call, kind, at: now});
	}
}
