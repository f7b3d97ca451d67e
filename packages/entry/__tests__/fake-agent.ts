import {createServer} from 'node:http';
import {
	LinkServer, type Link, type Message, type MessageOf,
} from '@wasabiusher/link';
import {listen} from '@wasabiusher/daemon';
import type {Member} from '@wasabiusher/backends';
import {createStatus, type Reply} from './fixtures.js';

/** An agent on a real link, with responses scripted by the test. */
export type FakeAgent = {
	member: Member;
	received: Message[];
	/** Closes all links, as after a detected network failure. */
	cutLinks(): void;
	stop(): void;
};

export async function startFakeAgent(id: string, service: string, answer: (reply: Reply) => void): Promise<FakeAgent> {
	const http = createServer();
	const received: Message[] = [];
	const links: Link[] = [];
	const server = new LinkServer(http, {
		identity: {name: id, keys: ['loopback']},
		onReject: () => undefined,
		onLink(link) {
			links.push(link);
			link.send({kind: 'status', status: createStatus({service})});
			return {
				onMessage(message) {
					received.push(message);
					if (message.kind === 'open') {
						answer(createReply(links, message));
					}
				},
				onClose: () => undefined,
			};
		},
	});
	const address = await listen(http, '127.0.0.1:0');
	return {
		member: {
			id, role: 'agent', address, dataCentre: 'innsbruck-a', region: 'tyrol', service, state: 'live',
		},
		received,
		cutLinks() {
			for (const link of server.links) {
				link.close();
			}
		},
		stop() {
			server.close();
			http.close();
		},
	};
}

/** Creates a reply that is sent over the newest link. */
function createReply(links: readonly Link[], open: MessageOf<'open'>): Reply {
	const {request, attempt} = open;
	let sequence = 0;
	return {
		open,
		part(event) {
			links.at(-1)!.send({
				kind: 'part', request, attempt, sequence, event,
			});
			sequence += 1;
		},
		fail(ran) {
			links.at(-1)!.send({
				kind: 'failed', request, attempt, ran, reason: 'the engine crashed', hasCrashed: false,
			});
		},
		refuse(reason) {
			links.at(-1)!.send({
				kind: 'refused', request, attempt, reason,
			});
		},
	};
}
