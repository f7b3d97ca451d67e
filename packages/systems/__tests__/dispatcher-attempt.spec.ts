import {install, type Clock} from '@sinonjs/fake-timers';
import {expect} from 'chai';
import type {AnswerEvent, Message} from '@wasabiusher/link';
import {Attempt} from '../src/dispatcher-attempt.js';

type Recording = {attempt: Attempt; events: AnswerEvent[]; sent: Message[]; outcomes: string[]};

function createAttempt(): Recording {
	const recording: Omit<Recording, 'attempt'> = {events: [], sent: [], outcomes: []};
	const attempt = new Attempt({
		request: 'r',
		number: 1,
		endpoint: 'agent-1',
		send(message) {
			recording.sent.push(message);
			return true;
		},
		onEvent(event) {
			recording.events.push(event);
		},
		onStopping: () => undefined,
		onSettled({kind}) {
			recording.outcomes.push(kind);
		},
	});
	return {attempt, ...recording};
}

function receive({attempt}: Recording, sequence: number, event: AnswerEvent = createBody(sequence)): void {
	attempt.receive({
		kind: 'part', request: 'r', attempt: 1, sequence, event,
	});
}

function createBody(byte: number): AnswerEvent {
	return {kind: 'body', chunk: new Uint8Array([byte])};
}

describe('Attempt', () => {
	let clock: Clock;

	beforeEach(() => {
		clock = install();
	});

	afterEach(() => {
		clock.uninstall();
	});

	it('delivers each part once even if a resume repeats some', () => {
		const recording = createAttempt();
		for (const sequence of [0, 1, 0, 1, 2]) {
			receive(recording, sequence);
		}

		expect(recording.events).to.deep.equal([0, 1, 2].map(byte => createBody(byte)));
	});

	it('discards parts after a gap, and requests the missing ones once', () => {
		const recording = createAttempt();
		clock.tick(300);
		for (const sequence of [0, 2, 3]) {
			receive(recording, sequence);
		}

		expect(recording.events).to.deep.equal([createBody(0)]);
		expect(recording.sent).to.deep.equal([{
			kind: 'resume', request: 'r', attempt: 1, next: 1,
		}]);
	});

	it('reports the age of a request without an answer when its link is replaced', () => {
		const recording = createAttempt();
		clock.tick(300);
		recording.attempt.relink();
		expect(recording.sent).to.deep.equal([{
			kind: 'resume', request: 'r', attempt: 1, next: 0, sentAgoMs: 300,
		}]);
	});

	it('ignores parts after its end', () => {
		const recording = createAttempt();
		receive(recording, 0, {kind: 'finished'});
		receive(recording, 1);
		expect([recording.events.length, recording.outcomes]).to.deep.equal([1, ['finished']]);
	});
});
