import {expect} from 'chai';
import {z} from 'zod';
import {parseSettings, SettingsError} from '../src/index.js';

const schema = z.object({
	name: z.string().min(1).describe('name of this process'),
	maxWaiting: z.coerce.number().int().min(0).default(256).describe('requests waiting at the most'),
	tokens: z.string().transform(text => text.split(',')).default([]).describe('tokens, comma-separated'),
	isQuiet: z.stringbool().default(false).meta({description: 'say less', short: 'q'}),
});

function parse(argv: string[], environment: Record<string, string> = {}) {
	return parseSettings(schema, {
		program: 'program', version: '1.2.3', argv, environment,
	});
}

function catchMessage(argv: string[], environment: Record<string, string> = {}): string {
	try {
		parse(argv, environment);
	} catch (error) {
		return error instanceof SettingsError ? error.message : `not a SettingsError: ${String(error)}`;
	}

	return 'no error';
}

function capture(argv: string[]): string {
	const {info} = console;
	const lines: unknown[] = [];
	console.info = (line: unknown) => {
		lines.push(line);
	};

	try {
		parse(argv);
	} finally {
		console.info = info;
	}

	return lines.join('\n');
}

describe('parseSettings', () => {
	it('prefers flags to variables and variables to defaults', () => {
		const settings = parse(['--name', 'flag'], {WASABIUSHER_NAME: 'variable', WASABIUSHER_MAX_WAITING: '7'});
		expect(settings).to.deep.equal({
			name: 'flag', maxWaiting: 7, tokens: [], isQuiet: false,
		});
	});

	it('keeps values that look like numbers unchanged', () => {
		expect(parse(['--name', '007', '--tokens', '0123'])).to.deep.include({name: '007', tokens: ['0123']});
		expect(parse(['--name=1e3'])).to.deep.include({name: '1e3'});
	});

	it('accepts switches by name, by letter and negated', () => {
		expect(parse(['--name', 'a', '--is-quiet'])).to.deep.include({isQuiet: true});
		expect(parse(['--name', 'a', '-q'])).to.deep.include({isQuiet: true});
		expect(parse(['--name', 'a', '-q', '--no-is-quiet'])).to.deep.include({isQuiet: false});
	});

	it('names the invalid setting in a one-line message', () => {
		expect(catchMessage(['--name', 'a', '--nope', '1'])).to.equal('unknown setting --nope; see --help');
		expect(catchMessage(['--name'])).to.equal('setting --name: expected a value');
		expect(catchMessage([])).to.equal('setting --name is required (or WASABIUSHER_NAME)');
		expect(catchMessage(['--name', 'a', 'b'])).to.contain('unexpected argument "b"');
		expect(catchMessage(['--name', 'a', '--max-waiting', 'many'])).to.match(/^setting --max-waiting: .*number/v);
		expect(catchMessage(['--name', 'a'], {WASABIUSHER_MAX_WAITING: '-1'})).to.match(/^setting WASABIUSHER_MAX_WAITING: /v);
	});

	it('lists every setting in the help, with its variable and default', () => {
		const help = capture(['--help']);
		expect(help).to.match(/--name <value> +name of this process \[WASABIUSHER_NAME\]/v);
		expect(help).to.match(/--max-waiting <value> +requests waiting at the most \[WASABIUSHER_MAX_WAITING\] \(default: 256\)/v);
		expect(help).to.match(/-q, --is-quiet +say less \[WASABIUSHER_IS_QUIET\]/v);
	});

	it('prints the version', () => {
		expect(capture(['--version'])).to.match(/^program\/1\.2\.3 /v);
	});
});
