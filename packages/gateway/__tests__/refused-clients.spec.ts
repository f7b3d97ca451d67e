import {expect} from 'chai';
import {Log} from '@wasabiusher/shared';
import {RefusedClients} from '../src/index.js';

describe('RefusedClients', () => {
	it('counts each refusal by its reason, and logs a reason at most once a second', () => {
		const lines: string[] = [];
		const refused = new RefusedClients(new Log('test', 'info', line => {
			lines.push(line);
		}));
		for (let i = 0; i < 3; i += 1) {
			refused.recordBody({
				reason: 'evicted', client: '10.0.0.1', bodyBytes: 10, heldBytes: 20, totalBytes: 30,
			});
		}

		refused.recordConnection({
			reason: 'connections', client: '10.0.0.1', state: 'silent', connections: 5, maxConnections: 4,
		});
		expect(refused.counts).to.deep.equal({'client-refused-evicted': 3, 'client-refused-connections': 1});
		expect(lines).to.have.length(2);
		expect(lines[0]).to.match(/event=client_refused reason=evicted client=10\.0\.0\.1 bodyBytes=10 heldBytes=20 totalBytes=30 times=1$/v);
		expect(lines[1]).to.contain('reason=connections').and.to.contain('state=silent');
	});
});
