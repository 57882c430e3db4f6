import {type MalformedObject} from './store-ports.js';

/** Reports each revision of a malformed object once, though every listing has it again. */
export class MalformedObjects {
	readonly #report: (object: MalformedObject) => void;
	#revisions: ReadonlyMap<string, number> = new Map();

	constructor(report: (object: MalformedObject) => void) {
		this.#report = report;
	}

	/** @param malformed - all malformed objects of a listing. */
	update(malformed: readonly MalformedObject[]): void {
		for (const object of malformed) {
			if (this.#revisions.get(object.name) !== object.revision) {
				this.#report(object);
			}
		}

		this.#revisions = new Map(malformed.map(({name, revision}) => [name, revision]));
	}
}
