/**
 * Deployment for measurements: one entry, one agent, one engine stand-in and one platform stand-in, each in its own process.
 */
import {request} from 'undici';
import {createConfiguration} from './messages.js';
import {findFreeAddress, type Processes} from './processes.js';
import type {Target} from './traffic.js';

/** Slots of the engine stand-in: more than there are open requests, so that the stand-in is never the bottleneck. */
const slots = 512;

export type Deployment = {direct: Target; through: Target; entryPid: number; agentPid: number; agentOrigin: string};

/** Starts the processes and applies a configuration with one profile. Returns the targets with and without the system in the path. */
export async function startDeployment(processes: Processes): Promise<Deployment> {
	const address = {
		platform: await findFreeAddress(), engine: await findFreeAddress(), agent: await findFreeAddress(), entry: await findFreeAddress(), operators: await findFreeAddress(),
	};
	const platform = `http://${address.platform}`;
	await processes.startProgram('wasabiusher-standins', {role: 'platform', listen: address.platform, models: 'trail=3'});
	await processes.startProgram('wasabiusher-standins', {
		role: 'engine', listen: address.engine, models: 'trail=3', slots, 'token-ms': 0.25, 'tokens-per-event': 4,
	});
	const agentPid = await processes.startProgram('wasabiusher-agent', {
		name: 'agent-1', listen: address.agent, 'data-centre': 'innsbruck-a', service: 'models', 'endpoint-kind': 'model', endpoint: `http://${address.engine}`, platform, limit: slots, 'max-waiting': 10_000,
	});
	const entryPid = await processes.startProgram('wasabiusher-entry', {
		name: 'entry-1', listen: address.entry, 'operator-listen': address.operators, 'data-centre': 'innsbruck-a', platform,
	});
	await request(`http://${address.operators}/v1/configuration`, {
		method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify({configuration: createConfiguration(1), author: 'bench'}),
	});
	return {
		direct: {origin: `http://${address.engine}`, headers: {}},
		through: {origin: `http://${address.entry}`, headers: {'wasabiusher-profile': 'profile-0', 'wasabiusher-caller': 'bench', 'wasabiusher-timeout-ms': '60000'}},
		entryPid,
		agentPid,
		agentOrigin: `http://${address.agent}`,
	};
}
