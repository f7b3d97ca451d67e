/**
 * The operational routes of every daemon: `/healthz`, `/readyz` and `/metrics`.
 */
import type {Registry} from 'prom-client';
import {sendJson, type HttpServer} from './http-server.js';

/**
 * Adds the routes. Metrics are in the Prometheus text format, or in JSON if the `accept` header is `application/json`.
 *
 * @param isReady - returns whether new work should be sent to this process
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
