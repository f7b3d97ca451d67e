/**
 * Computes the tables of each role's cost at the design size from measured slopes.
 */
import type {FigureSource, Size} from './size.js';

/** Budget of a node for control traffic and state, as the users require it. */
const budget = {bytesPerSecond: 28_000, coreFraction: 0.022, memoryMb: 64} as const;

/** One kind of control message of a node. */
type TrafficRow = {
	what: string;
	/** Messages per second, sent and received. */
	perSecond: number;
	bytes: number;
	/** Processor time of encoding and decoding one message, in microseconds. A node does only one of the two, so this is an upper bound. */
	us: number;
	mechanism: string;
};

type StateRow = {what: string; count: number; bytes: number; mechanism: string};

function round(value: number): string {
	return Math.abs(value) >= 100 ? value.toFixed(0) : String(Number(value.toPrecision(3)));
}

function formatTable(heading: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const line = (cells: readonly string[]) => `| ${cells.join(' | ')} |`;
	return [line(heading), line(heading.map(() => '---')), ...rows.map(row => line(row))].join('\n');
}

/** Returns the value of a slope figure at a size: the measured value if that size was measured, else the fitted one. */
function evaluate(figure: ReturnType<FigureSource>, n: number): number {
	return figure.sizes?.find(size => size.n === n)?.value ?? ((figure.intercept ?? 0) + (figure.value * n));
}

function listLinkTraffic(links: number, size: Size, figure: FigureSource): TrafficRow[] {
	const heartbeat = {bytes: figure('heartbeat bytes').value, us: figure('heartbeat CPU').value};
	const report = {bytes: evaluate(figure('load report bytes'), 1), us: evaluate(figure('load report CPU'), 1)};
	const delta = {bytes: evaluate(figure('configuration delta bytes'), 1), us: evaluate(figure('configuration delta CPU'), 1)};
	return [
		{
			what: 'heartbeats, both ways', perSecond: links * size.heartbeatsPerSecond * 2, ...heartbeat, mechanism: 'heartbeat on each link',
		},
		{
			what: 'load reports', perSecond: links * size.reportsPerSecond, ...report, mechanism: 'status, paced by the agent\'s links; a turn of health at once',
		},
		{
			what: 'configuration digests', perSecond: links * 2 * (size.digestsPerSecond + size.changesPerSecond), ...heartbeat, mechanism: 'digests on the links; a digest is counted as a heartbeat',
		},
		{
			what: 'configuration deltas', perSecond: 2 * size.changesPerSecond, ...delta, mechanism: 'asked of one peer, given to another',
		},
	];
}

function formatTraffic(name: string, traffic: readonly TrafficRow[]): string {
	const rows = traffic.map(({what, perSecond, bytes, us, mechanism}) => [
		what, round(perSecond), round(bytes), round(perSecond * bytes / 1000), round(us), `${round(perSecond * us / 10_000)}%`, mechanism,
	]);
	const bytes = traffic.reduce((sum, row) => sum + (row.perSecond * row.bytes), 0);
	const core = traffic.reduce((sum, row) => sum + (row.perSecond * row.us), 0) / 1e6;
	return [
		`### ${name}: control messages`,
		'',
		formatTable(['what', 'messages/s', 'bytes', 'KB/s', 'us', 'core', 'carried by'], [
			...rows,
			['**all**', '', '', `**${round(bytes / 1000)}**`, '', `**${round(core * 100)}%**`, compareToBudget(bytes, core)],
		]),
	].join('\n');
}

function compareToBudget(bytesPerSecond: number, core: number): string {
	const bytes = bytesPerSecond <= budget.bytesPerSecond ? 'bytes within' : `bytes ${round(bytesPerSecond / budget.bytesPerSecond)} times`;
	const time = core <= budget.coreFraction ? 'core within' : `core ${round(core / budget.coreFraction)} times`;
	return `${bytes}, ${time} the budget`;
}

function formatState(name: string, held: readonly StateRow[]): string {
	const rows = held.map(({what, count, bytes, mechanism}) => [what, round(count), round(bytes), round(count * bytes / 1e6), mechanism]);
	const total = held.reduce((sum, {count, bytes}) => sum + (count * bytes), 0) / 1e6;
	return [`### ${name}: state`, '', formatTable(['what', 'rows', 'bytes', 'MB', 'carried by'], [...rows, ['**all**', '', '', `**${round(total)}**`, '']])].join('\n');
}

function formatEntry(size: Size, figure: FigureSource): string {
	const members = {bytes: figure('membership bytes').value * size.hosts, us: figure('membership CPU').value * size.hosts};
	return [
		formatTraffic('Entry', [
			...listLinkTraffic(size.linksOfEntry, size, figure),
			{
				what: 'membership list, whole', perSecond: size.membershipReadsPerSecond, ...members, mechanism: 'read from the platform',
			},
		]),
		formatState('Entry', [
			{
				what: 'endpoint rows', count: size.linksOfEntry, bytes: figure('heap of an endpoint row').value, mechanism: 'subset of each data centre',
			},
			{
				what: 'open requests', count: size.openRequestsOfEntry, bytes: figure('heap of a request row').value, mechanism: `admission; at ${size.tokensPerSecondOfStream} tokens/s a stream`,
			},
			{
				what: 'profiles', count: size.profiles, bytes: figure('heap of a profile').value, mechanism: 'the configuration in force',
			},
			{
				what: 'samples of one step', count: size.samplesPerStep, bytes: figure('heap of a sample in flight').value, mechanism: 'the step\'s owner, until they are acknowledged',
			},
		]),
	].join('\n\n');
}

function formatAgent(size: Size, figure: FigureSource): string {
	return [
		formatTraffic('Agent', listLinkTraffic(size.linksOfAgent, size, figure)),
		formatState('Agent', [
			{
				what: 'profiles', count: size.profiles, bytes: figure('heap of a profile').value, mechanism: 'the configuration in force',
			},
		]),
		`An idle agent's resident memory was measured at ${round(figure('RSS of an idle agent').value)} MB; the budget is ${budget.memoryMb} MB.`,
	].join('\n\n');
}

function formatRequestLoad(size: Size, figure: FigureSource): string {
	const work = (name: string, role: 'entry' | 'agent', requests: number, tokens: number) => {
		const call = requests * figure(`${role} CPU of a whole call`).value;
		const stream = tokens * figure(`${role} CPU of a streamed token`).value;
		return [name, round(requests), round(tokens), `${round(call / 10_000)}%`, `${round(stream / 10_000)}%`, `${round((call + stream) / 10_000)}%`];
	};

	return [
		'### Callers\' work',
		'',
		formatTable(['role', 'requests/s', 'tokens/s', 'core for calls', 'core for tokens', 'core'], [
			work('entry', 'entry', size.requestsOfEntry, size.tokensOfEntry),
			work('agent', 'agent', size.requestsOfAgent, size.tokensOfAgent),
		]),
	].join('\n');
}

function formatStore(size: Size): string {
	const leases = size.modelServices + size.trainers;
	const rows: Array<[what: string, writes: number, reads: number, mechanism: string]> = [
		['configuration', size.changesPerSecond, size.dataCentres * size.readersPerDataCentre, 'compare-and-set on the head; readers by rank'],
		['renewals of leases', leases * size.leaseRoundsPerSecond, 0, 'one lease a model service and a step'],
		['entries that wait for a rollout lease', 0, size.dataCentres * size.controlCandidates * size.modelServices * size.leaseRoundsPerSecond, 'a few entries of each data centre, by rank'],
		['claims and their outcomes, at most', size.dataCentres * size.gatherersPerDataCentre * size.gathersPerSecond, 0, 'gathered in each data centre, up to 200 rows a transaction'],
		['samples', size.trainers * size.batchesPerSecond, 0, 'group commit by the step\'s owner'],
	];
	const sum = (index: 1 | 2) => rows.reduce((total, row) => total + row[index], 0);
	return [
		'### Table service',
		'',
		formatTable(['what', 'writes/s', 'reads/s', 'carried by'], [
			...rows.map(([what, writes, reads, mechanism]) => [what, round(writes), round(reads), mechanism]),
			['**all**', `**${round(sum(1))}**`, `**${round(sum(2))}**`, 'target: 300 and 1,000'],
		]),
	].join('\n');
}

function formatMembership(size: Size, figure: FigureSource): string {
	const pairs = size.entriesOfDataCentre * size.endpointsOfDataCentre;
	const subsetMs = evaluate(figure('subset CPU'), pairs) / 1000;
	return [
		`Choosing the subset anew takes ${round(subsetMs)} ms for ${round(size.entriesOfDataCentre)} entries and`,
		`${round(size.endpointsOfDataCentre)} endpoints, and grows with their product;`,
		`${round(size.hostsReplacedPerDay / size.dataCentres)} hosts of a data centre are replaced a day.`,
	].join(' ');
}

/** Formats all tables as Markdown. */
export function formatCapacity(size: Size, figure: FigureSource): string {
	return [
		`An entry has ${size.linksOfEntry} links, an agent ${round(size.linksOfAgent)}.`,
		formatEntry(size, figure),
		formatAgent(size, figure),
		formatRequestLoad(size, figure),
		formatStore(size),
		formatMembership(size, figure),
	].join('\n\n');
}
