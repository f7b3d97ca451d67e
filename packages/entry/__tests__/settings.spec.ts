import {expect} from 'chai';
import {parseSettings} from '@wasabiusher/daemon';
import {entrySettingsSchema} from '../src/index.js';
import {listMissingSecrets} from '../src/settings.js';

const required = ['--name', 'e1', '--data-centre', 'muroran', '--platform', 'http://127.0.0.1:1'];

function parse(...argv: string[]) {
	return parseSettings(entrySettingsSchema, {
		program: 'wasabiusher-entry', version: '0', argv: [...required, ...argv], environment: {},
	});
}

describe('entrySettingsSchema', () => {
	it('allows missing secrets on loopback, which `listMissingSecrets` names', () => {
		expect(listMissingSecrets(parse('--trainer-tokens', 't1')!)).to.deep.equal(['linkKeys', 'operatorTokens']);
	});

	it('rejects a non-loopback address without the secret that protects it', () => {
		expect(() => parse('--listen', '0.0.0.0:80', '--trainer-tokens', 't1')).to.throw('setting --link-keys: required unless --listen is a loopback address (or WASABIUSHER_LINK_KEYS)');
		expect(() => parse('--listen', '0.0.0.0:80', '--link-keys', 'k1')).to.throw('setting --trainer-tokens');
		expect(() => parse('--operator-listen', '[::]:80')).to.throw('setting --operator-tokens');
	});

	it('accepts a non-loopback address with its secrets', () => {
		const settings = parse('--listen', '0.0.0.0:80', '--link-keys', 'k2,k1', '--trainer-tokens', 't1');
		expect(settings!.linkKeys).to.deep.equal(['k2', 'k1']);
	});
});
