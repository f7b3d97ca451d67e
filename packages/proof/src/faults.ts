/**
 * The faults that can be injected at each step, and the paths that they apply to.
 */
import type {Passage, Path} from './hooks.js';
import {storeDelayMs, type World} from './world.js';

/** Duration of temporary faults, in milliseconds. */
const outageMs = 8000;

/** Time until a dead process is replaced, in milliseconds. */
const replaceMs = 2000;

/** Number of messages on each link that are lost or repeated. */
const disturbed = 3;

export type Fault = {
	title: string;
	/** Paths that the fault can affect. */
	paths: readonly Path[];
	/** @param passage - the step at which the fault is injected, with the processes involved */
	inject(world: World, passage: Passage): void;
};

/** Returns the name of the endpoint involved, or of the first of its pool if none has been chosen yet. */
function findEndpointName(world: World, {agent}: Passage, path: Path): string {
	return agent ?? (path === 'posting' ? world.ledgers : world.engines)[0]!.name;
}

/** Returns the name of the entry involved, or of the first running one if the step is at an endpoint. */
function findEntryName(world: World, {entry}: Passage): string {
	return entry ?? world.pickEntry(0)?.name ?? '';
}

function setForWhile(set: (isOn: boolean) => void): void {
	set(true);
	setTimeout(() => {
		set(false);
	}, outageMs);
}

/** Creates the faults that apply to a path, by name. */
export function createFaults(path: Path): Record<string, Fault> {
	const all: Record<string, Fault> = {
		'endpoint-crash': {
			title: 'the endpoint crashes',
			paths: ['call', 'posting', 'sample'],
			inject(world, passage) {
				world.findEndpoint(findEndpointName(world, passage, path)).crash();
			},
		},
		'endpoint-stall': {
			title: 'the endpoint stalls for a while',
			paths: ['call', 'posting', 'sample'],
			inject(world, passage) {
				const endpoint = world.findEndpoint(findEndpointName(world, passage, path));
				setForWhile(isOn => {
					endpoint.isStalled = isOn;
				});
			},
		},
		'agent-death': {
			title: 'the agent dies and is started again beside the living endpoint',
			paths: ['call', 'posting', 'sample', 'configuration'],
			inject(world, passage) {
				world.restartAgent(findEndpointName(world, passage, path), replaceMs);
			},
		},
		'entry-death': {
			title: 'the entry dies and is replaced',
			paths: ['call', 'posting', 'sample', 'configuration'],
			inject(world, passage) {
				world.replaceEntry(findEntryName(world, passage), replaceMs);
			},
		},
		'both-deaths': {
			title: 'the entry and the agent die at once',
			paths: ['call', 'posting', 'sample', 'configuration'],
			inject(world, passage) {
				world.restartAgent(findEndpointName(world, passage, path), replaceMs);
				world.replaceEntry(findEntryName(world, passage), replaceMs);
			},
		},
		'link-cut': {
			title: 'the agent\'s links are cut and replaced',
			paths: ['call', 'posting', 'sample', 'configuration'],
			inject(world, passage) {
				world.wire.cut(findEndpointName(world, passage, path));
			},
		},
		'link-silent': {
			title: 'the agent\'s links go silent for good',
			paths: ['call', 'posting', 'sample', 'configuration'],
			inject(world, passage) {
				world.wire.silence(findEndpointName(world, passage, path));
			},
		},
		partition: {
			title: 'the entry is parted from all agents for a while',
			paths: ['call', 'posting', 'sample', 'configuration'],
			inject(world, passage) {
				world.wire.part(findEntryName(world, passage), outageMs);
			},
		},
		'messages-lost': {
			title: 'messages on the agent\'s links vanish one by one',
			paths: ['call', 'posting', 'sample', 'configuration'],
			inject(world, passage) {
				world.wire.disturb(findEndpointName(world, passage, path), {lost: disturbed});
			},
		},
		'messages-repeated': {
			title: 'messages on the agent\'s links come twice',
			paths: ['call', 'posting', 'sample', 'configuration'],
			inject(world, passage) {
				world.wire.disturb(findEndpointName(world, passage, path), {repeated: disturbed});
			},
		},
		leaving: {
			title: 'the endpoint begins to leave',
			paths: ['call', 'posting', 'sample'],
			inject(world, passage) {
				const name = findEndpointName(world, passage, path);
				void world.agents.find(agent => agent.name === name)?.drain();
			},
		},
		'store-down': {
			title: 'the platform\'s store is down for a while',
			paths: ['posting', 'sample', 'configuration'],
			inject(world) {
				setForWhile(isOn => {
					world.tables.switches.isDown = isOn;
				});
			},
		},
		'store-slow': {
			title: 'the platform\'s store is slow for a while',
			paths: ['posting', 'sample', 'configuration'],
			inject(world) {
				setForWhile(isOn => {
					world.tables.switches.delayMs = isOn ? 2000 : storeDelayMs;
				});
			},
		},
		'store-timeout': {
			title: 'the platform\'s store is slower than its clients wait',
			paths: ['posting', 'sample', 'configuration'],
			inject(world) {
				setForWhile(isOn => {
					world.tables.switches.delayMs = isOn ? 4000 : storeDelayMs;
				});
			},
		},
		'answer-lost': {
			title: 'the store\'s next answers are lost after the writes took effect',
			paths: ['posting', 'sample', 'configuration'],
			inject(world) {
				world.tables.switches.answersToLose = 2;
			},
		},
	};
	return Object.fromEntries(Object.entries(all).filter(([, fault]) => fault.paths.includes(path)));
}
