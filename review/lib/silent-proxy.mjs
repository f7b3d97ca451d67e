/**
 * A way from one machine to the store on which an open channel can go silent for good, without a reset, while new ones work.
 */
import {connect, createServer} from 'node:net';

/** Passes channels on, and reads the request line of each call. */
export class SilentProxy {
	#channels = new Set();
	#listener;
	#server = createServer(socket => {
		this.#open(socket);
	});

	async listen(host, target) {
		this.target = target;
		await new Promise(resolve => {
			this.#server.listen(0, host, resolve);
		});
		return `${host}:${this.#server.address().port}`;
	}

	/** Number of open channels. */
	get size() {
		return this.#channels.size;
	}

	/** Silences the channels on which a call with a text in its request line waits for its answer; returns how many there are. */
	silence(text) {
		const found = [...this.#channels].filter(({isPending, line}) => isPending && line.includes(text));
		for (const channel of found) {
			channel.isSilent = true;
		}

		return found.length;
	}

	/** Resolves when a call with a text in its request line is sent. */
	async waitForCall(text) {
		await new Promise(resolve => {
			this.#listener = line => {
				if (line.includes(text)) {
					this.#listener = undefined;
					resolve();
				}
			};
		});
	}

	close() {
		for (const {near, far} of this.#channels) {
			near.destroy();
			far.destroy();
		}

		this.#server.close();
	}

	#open(near) {
		const [host, port] = this.target.split(':');
		const far = connect({host, port: Number(port), noDelay: true});
		const channel = {
			near, far, line: '', isPending: false, isSilent: false,
		};
		near.setNoDelay(true);
		this.#channels.add(channel);
		near.on('data', bytes => {
			if (!channel.isSilent) {
				const line = /^(?:GET|POST|PUT|DELETE) \S+/v.exec(bytes.toString('latin1'))?.[0];
				channel.line = line ?? channel.line;
				channel.isPending = true;
				far.write(bytes);
				this.#listener?.(channel.line);
			}
		});
		far.on('data', bytes => {
			if (!channel.isSilent) {
				channel.isPending = false;
				near.write(bytes);
			}
		});
		const end = () => {
			this.#channels.delete(channel);
			near.destroy();
			far.destroy();
		};

		near.on('close', end);
		near.on('error', end);
		far.on('close', () => {
			// The machine does not learn that the other end of a silent channel is gone.
			if (!channel.isSilent) {
				end();
			}
		});
		far.on('error', () => {
			if (!channel.isSilent) {
				end();
			}
		});
	}
}
