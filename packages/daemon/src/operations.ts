/**
 * The routes that every daemon has for those who run it: `/healthz`, `/readyz` and `/metrics`.
 */
import type {Registry} from 'prom-client';
import {sendJson, type HttpServer} from './http-server.js';

/**
 * Adds the routes. Metrics are in the text format of Prometheus, or in JSON where that is asked for.
 *
 * @param isReady - tells whether new work should come here
 */
export function addOperationRoutes(server: HttpServer, registry: Registry, isReady: () => boolean): void {
	server.on('get', '/healthz', ({response}) => {
		response.end('ok\n');
	});
	server.on('get', '/readyz', ({response}) => {
		response.statusCode = isReady() ? 200 : 503;
		response.end(isReady() ? 'ready\n' : 'not ready\n');
	});
	server.on('get', '/metrics', async ({request, response}) => {
		if (request.headers.accept === 'application/json') {
			sendJson(response, 200, await registry.getMetricsAsJSON());
			return;
		}

		response.setHeader('content-type', registry.contentType);
		response.end(await registry.metrics());
	});
}
