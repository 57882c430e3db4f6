import {type WorkerNotice} from './worker-notice.js';

/** Change in what a worker says of itself. */
export type NoticeChange =
	| {
			readonly type: 'limit-changed';
			/** Calls a second; absent when the worker stated no limit. */
			readonly previous?: number;
			/** Calls a second; absent when the worker states none any more. */
			readonly perSecond?: number;
	  }
	/** The limit can't be read; the one before holds. */
	| {readonly type: 'limit-malformed'; readonly text: string}
	/** The load can't be read and is ignored. */
	| {
			readonly type: 'load-malformed';
			readonly text: string;
			/** Whether it is the first one of the worker process. */
			readonly isFirst: boolean;
	  }
	| {readonly type: 'leaving'};

/** Maximum number of malformed limits of one worker that are reported, and their length. */
const maximumMalformed = 20;
const maximumTextLength = 80;

/** Keeps what one worker process said of itself in its responses. */
export class WorkerNotices {
	readonly #malformed = new Set<string>();
	#perSecond: number | undefined;
	#statedSince = Number.POSITIVE_INFINITY;
	#isLeaving = false;
	#hasResponded = false;
	#hasMalformedLoad = false;

	/** Calls a second that the worker takes from all nodes together; undefined if it states no limit. */
	get perSecond(): number | undefined {
		return this.#perSecond;
	}

	/** Whether the worker has said that it is about to stop. */
	get isLeaving(): boolean {
		return this.#isLeaving;
	}

	/**
	 * Applies the notice of a response and returns what changed.
	 *
	 * @param sentAt - monotonic milliseconds at which the call was sent that the response answers. A
	 *   response to a call from before the limit may have overtaken the first one that states it.
	 */
	apply({limit, isLeaving, load}: WorkerNotice, sentAt: number, now: number): NoticeChange[] {
		this.#hasResponded = true;
		const changes: NoticeChange[] = [];
		switch (limit.type) {
			case 'stated': {
				changes.push(...this.#setLimit(limit.perSecond, now));
				break;
			}

			case 'none': {
				changes.push(...(sentAt >= this.#statedSince ? this.#setLimit(undefined, now) : []));
				break;
			}

			case 'malformed': {
				changes.push(...this.#recordMalformed(limit.text.slice(0, maximumTextLength)));
				break;
			}
		}

		if (load?.type === 'malformed') {
			const text = load.text.slice(0, maximumTextLength);
			changes.push({type: 'load-malformed', text, isFirst: !this.#hasMalformedLoad});
			this.#hasMalformedLoad = true;
		}

		if (isLeaving && !this.#isLeaving) {
			this.#isLeaving = true;
			changes.push({type: 'leaving'});
		}

		return changes;
	}

	/**
	 * Applies the limit that another node knows of. The worker's own responses to this node count more, also
	 * those that state none.
	 */
	adopt(perSecond: number, now: number): NoticeChange[] {
		if (this.#hasResponded || this.#perSecond !== undefined) {
			return [];
		}

		const changes = this.#setLimit(perSecond, now);
		// It is older than any response to this node.
		this.#statedSince = Number.NEGATIVE_INFINITY;
		return changes;
	}

	#setLimit(perSecond: number | undefined, now: number): NoticeChange[] {
		const previous = this.#perSecond;
		if (previous === perSecond) {
			return [];
		}

		if (previous === undefined) {
			this.#statedSince = now;
		}

		this.#perSecond = perSecond;
		return [{type: 'limit-changed', previous, perSecond}];
	}

	#recordMalformed(text: string): NoticeChange[] {
		if (this.#malformed.has(text) || this.#malformed.size >= maximumMalformed) {
			return [];
		}

		this.#malformed.add(text);
		return [{type: 'limit-malformed', text}];
	}
}
