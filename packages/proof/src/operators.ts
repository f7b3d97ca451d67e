/**
 * Simulated operators that make concurrent changes to the configuration.
 */
import {RecordError} from '@wasabiusher/record';
import type {Configuration} from '@wasabiusher/shared';
import type {EntryNode} from './entry-node.js';
import {profiles, type World} from './world.js';

/** Times of the changes, in milliseconds after the start; two are simultaneous. */
const changesMs = [0, 0, 500, 1500];

/** The outcome of a change, as the operator received it. */
type Told = 'accepted' | 'conflict' | 'unavailable' | 'unknown' | 'cut-off';

type Attempt = {author: string; entry: EntryNode; told?: Told; version?: number};

/** Changes the configuration through different entries, and checks the versions that the processes adopt. */
export class Operators {
	readonly #world: World;
	readonly #attempts: Attempt[] = [];

	constructor(world: World) {
		this.#world = world;
	}

	/** Schedules all changes. */
	race(): void {
		for (const [index, afterMs] of changesMs.entries()) {
			setTimeout(() => {
				void this.#change(`operator-${index}`, index);
			}, afterMs);
		}
	}

	findBroken(): string[] {
		const {entries, agents} = this.#world;
		const nodes = [...entries, ...agents].filter(({isAlive}) => isAlive);
		const newest = Math.max(...nodes.map(({adopter}) => adopter.accepted.version));
		const accepted = this.#attempts.filter(({told}) => told === 'accepted');
		const behind = nodes.filter(({adopter}) => adopter.accepted.version !== newest);
		const reverted = [...entries, ...agents].filter(({adopted}) => adopted.some((version, index) => index > 0 && version <= adopted[index - 1]!));
		const authors = new Map(nodes.map(({adopter}) => [adopter.accepted.version, adopter.accepted.author]));
		return [
			...behind.map(({name, adopter}) => `${name} has version ${adopter.accepted.version}, not ${newest}`),
			...reverted.map(({name, adopted}) => `${name} went back: ${adopted.join(' ')}`),
			...accepted.filter(({version}) => version! > newest).map(({author, version}) => `${author}'s version ${version} is in force nowhere`),
			...accepted.filter(({version, author}) => authors.has(version!) && authors.get(version!) !== author).map(({author, version}) => `${author} was told that version ${version} is theirs`),
			...findTwice(accepted.map(({version}) => version!)).map(version => `version ${version} was accepted twice`),
			...this.#attempts.filter(({told}) => told === undefined).map(({author}) => `${author} was told nothing`),
			...this.#listUntrueRefusals(nodes),
		];
	}

	summarize(): Record<string, number> {
		const counts: Record<string, number> = {};
		for (const {told = 'nothing'} of this.#attempts) {
			counts[told] = (counts[told] ?? 0) + 1;
		}

		return counts;
	}

	async #change(author: string, turn: number): Promise<void> {
		const entry = this.#world.pickEntry(turn);
		if (!entry) {
			return;
		}

		const attempt: Attempt = {author, entry};
		this.#attempts.push(attempt);
		this.#world.hooks.pass({step: 'change', entry: entry.name});
		const watch = setInterval(() => {
			if (!entry.isAlive) {
				attempt.told ??= 'cut-off';
				clearInterval(watch);
			}
		}, 100);
		try {
			const accepted = await entry.history.append({configuration: createConfiguration(author), author, acceptedAt: Date.now()});
			attempt.told = 'accepted';
			attempt.version = accepted.version;
			entry.send(entry.adopter.adoptChange(accepted));
		} catch (error) {
			attempt.told = error instanceof RecordError ? error.code : 'unknown';
		}

		clearInterval(watch);
	}

	/** Lists processes that have adopted a change although its operator was told that it was refused. */
	#listUntrueRefusals(nodes: ReadonlyArray<Pick<EntryNode, 'name' | 'adopter'>>): string[] {
		const refused = new Set(this.#attempts.filter(({told}) => told === 'conflict' || told === 'unavailable').map(({author}) => author));
		return nodes
			.filter(({adopter}) => refused.has(adopter.accepted.author))
			.map(({name, adopter}) => `${name} has the change of ${adopter.accepted.author}, who was refused`);
	}
}

function createConfiguration(author: string): Configuration {
	return {profiles: {[author]: profiles.query}, services: {models: {kind: 'model', models: ['m']}}};
}

function findTwice(versions: readonly number[]): number[] {
	return versions.filter((version, index) => versions.indexOf(version) !== index);
}
