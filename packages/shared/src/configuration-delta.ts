/**
 * Changes between two accepted configurations, small enough to be sent to every process.
 *
 * A delta names the final value of each entry that changed, so it may be applied to any version from its
 * first to its last. A hash of the result shows a copy that has drifted.
 */
import {z} from 'zod';
import {
	acceptedConfigurationSchema, profileSchema, serviceSchema, type AcceptedConfiguration, type Configuration,
} from './configuration.js';
import {hashText} from './hashing.js';

export const configurationDeltaSchema = acceptedConfigurationSchema.omit({configuration: true}).extend({
	/** The lowest version that it may be applied to. */
	from: z.int().nonnegative(),
	/** Hash of the whole configuration after it. */
	hash: z.string(),
	/** New values by name. */
	profiles: z.record(z.string(), profileSchema),
	services: z.record(z.string(), serviceSchema),
	/** Names that no longer exist. */
	gone: z.object({profiles: z.array(z.string()), services: z.array(z.string())}),
});

/** What turns version `from` (or a later one) into `version`. */
export type ConfigurationDelta = z.infer<typeof configurationDeltaSchema>;

/** The parts of a configuration that a change touched. */
export type ChangedNames = {profiles: ReadonlySet<string>; services: ReadonlySet<string>};

function sortKeys(value: unknown): unknown {
	if (Array.isArray(value)) {
		return value.map(item => sortKeys(item));
	}

	if (typeof value !== 'object' || value === null) {
		return value;
	}

	return Object.fromEntries(Object.entries(value)
		.filter(([, item]) => item !== undefined)
		.toSorted(([a], [b]) => a < b ? -1 : 1)
		.map(([key, item]) => [key, sortKeys(item)]));
}

/** Hashes a configuration, whatever the order of its names. */
export function hashConfiguration(configuration: Configuration): string {
	return hashText(JSON.stringify(sortKeys(configuration)));
}

function findChanged(before: Readonly<Record<string, unknown>>, after: Readonly<Record<string, unknown>>): Set<string> {
	const names = new Set([...Object.keys(before), ...Object.keys(after)]);
	return new Set([...names].filter(name => JSON.stringify(sortKeys(before[name])) !== JSON.stringify(sortKeys(after[name]))));
}

/** Lists what differs between two configurations. */
export function findChangedNames(before: Configuration, after: Configuration): ChangedNames {
	return {
		profiles: findChanged(before.profiles, after.profiles),
		services: findChanged(before.services, after.services),
	};
}

function pick<Value>(names: ReadonlySet<string>, values: Readonly<Record<string, Value>>): Record<string, Value> {
	return Object.fromEntries(Object.entries(values).filter(([name]) => names.has(name)));
}

function listGone(names: ReadonlySet<string>, values: Readonly<Record<string, unknown>>): string[] {
	return [...names].filter(name => !Object.hasOwn(values, name));
}

/** Builds the delta that brings any version from `from` on to `accepted`. */
export function createConfigurationDelta({configuration, ...rest}: AcceptedConfiguration, from: number, changed: ChangedNames): ConfigurationDelta {
	const {profiles, services} = configuration;
	return {
		...rest,
		from,
		hash: hashConfiguration(configuration),
		profiles: pick(changed.profiles, profiles),
		services: pick(changed.services, services),
		gone: {profiles: listGone(changed.profiles, profiles), services: listGone(changed.services, services)},
	};
}

function merge<Value>(values: Readonly<Record<string, Value>>, changes: Readonly<Record<string, Value>>, gone: readonly string[]): Record<string, Value> {
	return Object.fromEntries(Object.entries({...values, ...changes}).filter(([name]) => !gone.includes(name)));
}

/** Applies a delta; undefined if it does not fit, and the whole configuration has to be asked for. */
export function applyConfigurationDelta(accepted: AcceptedConfiguration, delta: ConfigurationDelta): AcceptedConfiguration | undefined {
	const {
		from, hash, profiles, services, gone, ...rest
	} = delta;
	if (accepted.version < from || accepted.version >= rest.version) {
		return undefined;
	}

	const configuration = {
		profiles: merge(accepted.configuration.profiles, profiles, gone.profiles),
		services: merge(accepted.configuration.services, services, gone.services),
	};
	return hashConfiguration(configuration) === hash ? {...rest, configuration} : undefined;
}
