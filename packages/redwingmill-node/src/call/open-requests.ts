import {type ServerResponse} from 'node:http';

/**
 * Counts the requests of a server from the arrival of their headers until their response has been sent
 * or their connection is closed.
 */
export class OpenRequests {
	#count = 0;

	get count(): number {
		return this.#count;
	}

	add(response: ServerResponse): void {
		this.#count += 1;
		response.once('close', () => {
			this.#count -= 1;
		});
	}
}
