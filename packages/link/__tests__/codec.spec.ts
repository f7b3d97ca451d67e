import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {
	assert, constantFrom, integer, json, property, record, uint8Array, array, string,
} from 'fast-check';
import {Packr} from 'msgpackr';
import {
	checkMessage, decodeMessage, encodeMessage, LinkError, maxMessageBytes, unpackFrame, type Message,
} from '../src/index.js';

/** Number of runs of each property; all of them take about a second. */
const numberRuns = 500;

const packr = new Packr({useRecords: false});

function createPart(sequence: number, texts: string[]): Message {
	return {
		kind: 'part', request: 'r1', attempt: 1, sequence, event: {kind: 'parts', parts: texts.map(text => ({text, tokens: 1, version: 3}))},
	};
}

/** Decodes any input; asserts that the decoder returns messages or throws a `LinkError`. */
function tryDecode(frame: Uint8Array): Message[] | LinkError {
	try {
		return unpackFrame(frame).map(value => checkMessage(value));
	} catch (error) {
		expect(error).to.be.instanceOf(LinkError);
		return error as LinkError;
	}
}

describe('codec', () => {
	it('decodes what was encoded, with one or more messages in a frame', () => {
		assert(property(array(array(string()), {minLength: 1, maxLength: 5}), lists => {
			const messages = lists.map((texts, index) => createPart(index, texts));
			const frame = Buffer.concat(messages.map(message => encodeMessage(message)));
			expect(tryDecode(frame)).to.deep.equal(messages);
		}), {numRuns: numberRuns, seed: 1});
	});

	it('throws only LinkError, whatever the bytes', () => {
		assert(property(uint8Array({maxLength: 200}), bytes => {
			tryDecode(bytes);
		}), {numRuns: numberRuns, seed: 2});
	});

	it('rejects each truncated message, and rejects a changed one or decodes a message of the same shape', () => {
		const whole = encodeMessage(createPart(3, ['one', 'two']));
		assert(property(integer({min: 0, max: whole.length - 1}), integer({min: 0, max: 255}), (at, byte) => {
			expect(tryDecode(whole.slice(0, at)) instanceof LinkError || at === 0, `cut at ${at}`).to.equal(true);
			tryDecode(whole.with(at, byte));
		}), {numRuns: numberRuns, seed: 3});
	});

	it('rejects fields of another type', () => {
		const field = constantFrom('request', 'attempt', 'sequence', 'event');
		assert(property(field, record({wrong: json()}), (name, {wrong}) => {
			const bytes = packr.pack({...createPart(1, ['x']), [name]: {wrong}});
			expect(tryDecode(bytes)).to.be.instanceOf(LinkError);
		}), {numRuns: numberRuns, seed: 4});
	});

	it('rejects a message that is too large before it is sent', () => {
		const chunk = new Uint8Array(maxMessageBytes);
		expect(() => encodeMessage({
			kind: 'part', request: 'r', attempt: 1, sequence: 0, event: {kind: 'body', chunk},
		})).to.throw(LinkError).with.property('code', 'too-large');
	});

	it('names the unknown kind in the error', () => {
		expect(() => decodeMessage(packr.pack({kind: 'later'}))).to.throw(LinkError, 'later').with.property('code', 'unknown-kind');
		expect(() => decodeMessage(packr.pack({kind: 7}))).to.throw(LinkError).with.property('code', 'malformed');
		expect(() => decodeMessage(packr.pack('text'))).to.throw(LinkError).with.property('code', 'malformed');
	});
});
