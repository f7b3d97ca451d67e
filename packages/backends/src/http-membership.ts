/**
 * Clients of the membership list and the weight store over HTTP.
 */
import {z} from 'zod';
import {callEmpty, callJson} from './http.js';
import {
	memberSchema, type Member, type MembershipList, type WeightStore,
} from './membership.js';

const publishedSchema = z.array(z.object({model: z.string(), version: z.int(), publishedAt: z.number()}));

export class HttpMembershipList implements MembershipList {
	readonly #origin: string;

	constructor(origin: string) {
		this.#origin = origin;
	}

	async list(): Promise<Member[]> {
		return callJson(z.array(memberSchema), {origin: this.#origin, method: 'GET', path: '/v1/members'});
	}

	async announce(member: Member): Promise<void> {
		await callEmpty({
			origin: this.#origin, method: 'PUT', path: `/v1/members/${encodeURIComponent(member.id)}`, body: member,
		});
	}
}

export class HttpWeightStore implements WeightStore {
	readonly #origin: string;

	constructor(origin: string) {
		this.#origin = origin;
	}

	async listVersions(): Promise<z.infer<typeof publishedSchema>> {
		return callJson(publishedSchema, {origin: this.#origin, method: 'GET', path: '/v1/versions'});
	}
}
