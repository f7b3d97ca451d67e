/**
 * Bundles the gateway into `target/`, from where deploy/system.toml starts it.
 */
import {bundleGateway} from './gateway-bundle.js';

await bundleGateway('target/wasabiusher-gateway.mjs');
