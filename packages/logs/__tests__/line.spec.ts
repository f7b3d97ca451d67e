import {expect} from 'chai';
import {formatLine} from '@wasabiusher/shared';
import {parseLine, readNumber} from '../src/index.js';

describe('parseLine', () => {
	it('parses the lines that formatLine writes, including values with spaces and quotes', () => {
		const line = parseLine(`time=2026-03-25T09:00:56.500Z level=info program=p ${formatLine('run_ended', {reason: 'a "b" = c', tookMs: 12, endpoint: 'i-1'})}`)!;
		expect(line.event).to.equal('run_ended');
		expect(line.timeMs).to.equal(Date.parse('2026-03-25T09:00:56.500Z'));
		expect(line.values.get('reason')).to.equal('a "b" = c');
		expect([readNumber(line, 'tookMs'), readNumber(line, 'endpoint'), readNumber(line, 'absent')]).to.deep.equal([12, undefined, undefined]);
	});

	it('takes the host from the prefix of the line', () => {
		expect(parseLine('  -1.5 edge-1 time=2026-03-25T09:00:56Z event=started')!.host).to.equal('edge-1');
		expect(parseLine('time=2026-03-25T09:00:56Z event=started')!.host).to.equal('');
	});

	it('returns undefined for lines of other programs and for truncated lines', () => {
		const rawLines = ['', 'built in 2 s', 'time=2026-03-25T09:00:56Z level=info', 'time=x event=started', 'time=2026-03-25T09:00:56Z event=run_broken reason="not en'];
		expect(rawLines.map(text => parseLine(text))).to.deep.equal([undefined, undefined, undefined, undefined, undefined]);
	});
});
