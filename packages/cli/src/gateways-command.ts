/**
 * `wasabiusher gateways`: shows the state of gateways, their endpoints and their queued requests.
 */
import {
	describeError, gatewayStatusSchema, type EndpointView, type GatewayStatus,
} from '@wasabiusher/shared';
import {fetch} from 'undici';
import {z} from 'zod';
import {
	defineCommand, jsonShape, originsSchema, timeoutShape,
} from './command.js';
import {CliError} from './errors.js';
import {formatTable, formatBoolean} from './layout.js';

type GatewayResponse = {origin: string; status?: GatewayStatus; error?: string};

/** An endpoint, merged from the statuses of all hosts that answered. */
type JoinedEndpoint = Pick<EndpointView, 'id' | 'service' | 'dataCentre' | 'slots' | 'bestPaceMs' | 'versions'> & {
	/** Open requests of these hosts at the endpoint. */
	open: number;
	/** Number of hosts that currently send no requests to the endpoint. */
	avoidedBy: number;
	isDraining: boolean;
};

async function readStatus(origin: string, timeoutMs: number): Promise<GatewayResponse> {
	try {
		const response = await fetch(new URL('/status', origin), {signal: AbortSignal.timeout(timeoutMs)});
		if (!response.ok) {
			return {origin, error: `status ${response.status}`};
		}

		const parsed = gatewayStatusSchema.safeParse(await response.json());
		return parsed.success ? {origin, status: parsed.data} : {origin, error: `not a gateway's status: ${parsed.error.issues[0]!.path.join('.')}: ${parsed.error.issues[0]!.message}`};
	} catch (error) {
		return {origin, error: describeError(error)};
	}
}

/** Merges the endpoints that several hosts report, by id. */
export function joinEndpoints(statuses: readonly GatewayStatus[]): JoinedEndpoint[] {
	const joined = new Map<string, JoinedEndpoint>();
	for (const {id, open, isAvailable, bestPaceMs, versions, ...rest} of statuses.flatMap(({endpoints}) => endpoints)) {
		const known = joined.get(id);
		joined.set(id, {
			id, service: rest.service, dataCentre: rest.dataCentre, slots: rest.slots,
			isDraining: rest.isDraining || (known?.isDraining ?? false),
			open: open + (known?.open ?? 0),
			avoidedBy: Number(!isAvailable) + (known?.avoidedBy ?? 0),
			bestPaceMs: minOptional(bestPaceMs, known?.bestPaceMs),
			versions: {...known?.versions, ...versions},
		});
	}

	return [...joined.values()].toSorted((a, b) => a.service.localeCompare(b.service) || a.id.localeCompare(b.id));
}

function minOptional(a: number | undefined, b: number | undefined): number | undefined {
	return a === undefined || b === undefined ? a ?? b : Math.min(a, b);
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
	return Object.entries(counts).map(([name, count]) => `${name}=${count}`).join(' ') || '-';
}

function formatHost({host, dataCentre, isReady, configuration, configurationAgeMs, storeWay, lateMs, isHolder, shares, waiting}: GatewayStatus): string[] {
	return [
		host,
		dataCentre,
		formatBoolean(isReady),
		String(configuration ?? '-'),
		String(configurationAgeMs ?? '-'),
		storeWay,
		String(lateMs),
		formatBoolean(isHolder),
		String(shares),
		formatCounts(waiting),
	];
}

function formatEndpoint({id, service, dataCentre, slots, open, avoidedBy, isDraining, bestPaceMs, versions}: JoinedEndpoint): string[] {
	return [id, service, dataCentre, `${open}/${slots}`, String(avoidedBy), formatBoolean(isDraining), bestPaceMs?.toFixed(1) ?? '-', formatCounts(versions)];
}

function formatStatuses(answers: readonly GatewayResponse[], statuses: readonly GatewayStatus[]): string {
	const flowRows = statuses.flatMap(({host, turns}) => turns.map(({turn, urgency, waiting, oldestMs}) => [host, turn, String(urgency), String(waiting), String(Math.round(oldestMs))]));
	return [
		...answers.flatMap(({origin, error}) => error === undefined ? [] : [`no answer from ${origin}: ${error}`]),
		formatTable(['HOST', 'DATA CENTRE', 'READY', 'VERSION', 'AGE MS', 'STORE', 'LATE MS', 'HOLDER', 'SHARES', 'WAITING'], statuses.map(status => formatHost(status))),
		formatTable(['ENDPOINT', 'SERVICE', 'DATA CENTRE', 'OPEN', 'AVOIDED BY', 'LEAVING', 'BEST MS', 'VERSIONS'], joinEndpoints(statuses).map(endpoint => formatEndpoint(endpoint))),
		...(flowRows.length === 0 ? [] : [formatTable(['HOST', 'TURN', 'URGENCY', 'WAITING', 'OLDEST MS'], flowRows)]),
	].join('\n\n');
}

export const gatewaysCommand = defineCommand({
	summary: 'Shows what gateways tell: store way, room, who waits, endpoints',
	schema: z.object({
		gateways: originsSchema.describe('origins at which gateways tell their metrics, comma-separated'),
		...timeoutShape,
		...jsonShape,
	}),
	async run({gateways, timeoutMs}) {
		const answers = await Promise.all(gateways.map(async origin => readStatus(origin, timeoutMs)));
		const statuses = answers.flatMap(({status}) => status ? [status] : []);
		if (statuses.length === 0) {
			throw new CliError('failed', answers.map(({origin, error}) => `no answer from ${origin}: ${error}`).join('\n'));
		}

		const missing = answers.flatMap(({origin, error}) => error === undefined ? [] : [{origin, reason: error}]);
		return {json: {hosts: statuses, endpoints: joinEndpoints(statuses), missing}, text: formatStatuses(answers, statuses)};
	},
});
