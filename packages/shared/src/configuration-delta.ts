/**
 * Changes between two accepted configurations, small enough to be sent to every process.
 *
 * A delta holds the final value of each entry that changed, so it can be applied to every version from `from` up to, but not including, its
 * own. A hash of the result detects copies that have diverged.
 */
import {z} from 'zod';
import {
	acceptedConfigurationSchema, profileSchema, serviceSchema, type AcceptedConfiguration, type Configuration,
} from './configuration.js';
import {hashText} from './hashing.js';

export const configurationDeltaSchema = acceptedConfigurationSchema.omit({configuration: true}).extend({
	/** Lowest version that it can be applied to. */
	from: z.int().nonnegative(),
	/** Hash of the whole configuration after the change, see `hashConfiguration`. */
	hash: z.string(),
	/** New values by name. */
	profiles: z.record(z.string(), profileSchema),
	services: z.record(z.string(), serviceSchema),
	/** Names that were removed. */
	gone: z.object({profiles: z.array(z.string()), services: z.array(z.string())}),
});

/** The changes that turn version `from`, or a later one, into `version`. */
export type ConfigurationDelta = z.infer<typeof configurationDeltaSchema>;

/** Names of the profiles and services that a change added, altered or removed. */
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

/** Hashes a configuration; the order of its keys does not matter. */
export function hashConfiguration(configuration: Configuration): string {
	return hashText(JSON.stringify(sortKeys(configuration)));
}

function findChanged(before: Readonly<Record<string, unknown>>, after: Readonly<Record<string, unknown>>): Set<string> {
	const names = new Set([...Object.keys(before), ...Object.keys(after)]);
	return new Set([...names].filter(name => JSON.stringify(sortKeys(before[name])) !== JSON.stringify(sortKeys(after[name]))));
}

/** Lists the profiles and services that differ between two configurations. */
export function findChangedNames(before: Configuration, after: Configuration): ChangedNames {
	return {
		profiles: findChanged(before.profiles, after.profiles),
		services: findChanged(before.services, after.services),
	};
}

function pick<Value>(names: ReadonlySet<string>, values: Readonly<Record<string, Value>>): Record<string, Value> {
	return Object.fromEntries(Object.entries(values).filter(([name]) => names.has(name)));
}

function listRemoved(names: ReadonlySet<string>, values: Readonly<Record<string, unknown>>): string[] {
	return [...names].filter(name => !Object.hasOwn(values, name));
}

/** Builds the delta that brings version `from`, or a later one, to the accepted one. */
export function createConfigurationDelta({configuration, ...rest}: AcceptedConfiguration, from: number, changed: ChangedNames): ConfigurationDelta {
	const {profiles, services} = configuration;
	return {
		...rest,
		from,
		hash: hashConfiguration(configuration),
		profiles: pick(changed.profiles, profiles),
		services: pick(changed.services, services),
		gone: {profiles: listRemoved(changed.profiles, profiles), services: listRemoved(changed.services, services)},
	};
}

function merge<Value>(values: Readonly<Record<string, Value>>, changes: Readonly<Record<string, Value>>, gone: readonly string[]): Record<string, Value> {
	return Object.fromEntries(Object.entries({...values, ...changes}).filter(([name]) => !gone.includes(name)));
}

/** Applies a delta. Returns undefined if it does not fit the version or the hash differs; the whole configuration must be requested then. */
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
