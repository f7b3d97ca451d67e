/**
 * Creates the stand-in that the settings select.
 */
import {EngineServer} from './engine.js';
import {HttpWeightSource} from './http-weight-source.js';
import {LedgerServer} from './ledger.js';
import {PlatformServer} from './platform-server.js';
import {ScorerServer} from './scorer.js';
import type {StandinSettings} from './settings.js';

/** Common interface of all stand-ins. */
export type Standin = {
	/** Listens on `ip:port` and resolves to the origin to connect to. */
	start(address: string): Promise<string>;
	stop(): Promise<void>;
};

function createPlatform(settings: StandinSettings): PlatformServer {
	const {writesPerSecond, readsPerSecond, memberLagMs, weightBytes, weightBytesPerSecond} = settings;
	const platform = new PlatformServer({
		tables: {writesPerSecond, readsPerSecond},
		objects: {writesPerSecond, readsPerSecond},
		members: {lagMs: memberLagMs},
		weights: {versionBytes: weightBytes, bytesPerSecond: weightBytesPerSecond},
	});
	for (const [model, version] of Object.entries(settings.models)) {
		platform.publish(model, version);
	}

	return platform;
}

const factories: Readonly<Record<StandinSettings['role'], (settings: StandinSettings) => Standin>> = {
	platform: createPlatform,
	engine: settings => new EngineServer(settings, settings.platform === undefined ? undefined : new HttpWeightSource(settings.platform)),
	ledger: ({workMs}) => new LedgerServer({postingMs: workMs}),
	scorer: ({workMs}) => new ScorerServer({scoreMs: workMs}),
};

/** Creates the stand-in of the role in the settings. */
export function createStandin(settings: StandinSettings): Standin {
	return factories[settings.role](settings);
}
