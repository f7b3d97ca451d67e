import {expect} from 'chai';
import fc from 'fast-check';
import type {GenerationEvent} from '../src/index.js';
import {PlatformError} from '../src/errors.js';
import {readGeneration} from '../src/generation-stream.js';

type Outcome = {events: GenerationEvent[]; code: string};

async function collect(chunks: Uint8Array[]): Promise<Outcome> {
	const events: GenerationEvent[] = [];
	async function * stream() {
		yield * chunks;
	}

	try {
		for await (const event of readGeneration(stream())) {
			events.push(event);
		}
	} catch (error) {
		return {events, code: error instanceof PlatformError ? error.code : String(error)};
	}

	return {events, code: 'none'};
}

function split(bytes: Uint8Array, cuts: number[]): Uint8Array[] {
	const positions = [0, ...cuts.map(cut => cut % (bytes.length + 1)).toSorted((a, b) => a - b), bytes.length];
	return positions.slice(1).map((position, index) => bytes.slice(positions[index], position));
}

const encode = (text: string) => new TextEncoder().encode(text);

const partsArbitrary = fc.array(fc.record({
	text: fc.string({unit: 'binary'}), tokens: fc.integer({min: 1, max: 9}), version: fc.nat(),
}), {minLength: 1, maxLength: 6});

const cutsArbitrary = fc.array(fc.nat(), {maxLength: 8});

function format(parts: Array<{text: string; tokens: number; version: number}>): string {
	const events = parts.map(({text, tokens, version}, index) => JSON.stringify({
		choices: [{text, finish_reason: index === parts.length - 1 ? 'stop' : null}], version, tokens,
	}));
	return [...events, '[DONE]'].map(data => `data: ${data}\n\n`).join('');
}

describe('readGeneration', () => {
	it('yields the same parts wherever the bytes are split', async () => {
		await fc.assert(fc.asyncProperty(partsArbitrary, cutsArbitrary, async (parts, cuts) => {
			const {events, code} = await collect(split(encode(format(parts)), cuts));
			expect(code).to.equal('none');
			expect(events).to.deep.equal([...parts.map(part => ({kind: 'part', part})), {kind: 'finished', reason: 'stop'}]);
		}), {seed: 1});
	});

	it('never reports a truncated stream as finished', async () => {
		await fc.assert(fc.asyncProperty(partsArbitrary, fc.nat(), async (parts, cut) => {
			const whole = encode(format(parts));
			const {events, code} = await collect([whole.slice(0, cut % (whole.length - 1))]);
			expect(code).to.equal('unknown');
			expect(events.some(({kind}) => kind === 'finished')).to.equal(false);
		}), {seed: 2});
	});

	it('throws a PlatformError for malformed input', async () => {
		const line = fc.oneof(
			fc.string().map(text => `data: ${text}\n\n`),
			fc.json().map(text => `data: ${text}\n\n`),
			fc.constant('data: {"choices":[],"version":1,"tokens":1}\n\n'),
			fc.constant('data: {"choices":[{"text":"a"}],"version":-1,"tokens":1}\n\n'),
			fc.constant('data: [DONE]\n\n'),
			fc.string(),
		);
		await fc.assert(fc.asyncProperty(fc.array(line), fc.uint8Array(), async (lines, tail) => {
			const {events, code} = await collect([encode(lines.join('')), tail]);
			expect(events).to.deep.equal([]);
			expect(code).to.be.oneOf(['unknown', 'invalid']);
		}), {seed: 3});
	});

	it('rejects an event without an end once it is too long', async () => {
		const {code} = await collect([encode('data: x'), encode('x'.repeat(2_000_000))]);
		expect(code).to.equal('invalid');
	});
});
