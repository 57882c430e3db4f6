import {expect} from 'chai';
import {registerErrorGuard, type Log, type LogEvent} from '../../index.js';
import {ErrorBurst} from '../../observe/error-guard.js';

/** A process whose errors a test raises. */
class FakeProcess {
	readonly #listeners = new Map<string, Set<(error: unknown) => void>>();

	on(event: string, listener: (error: unknown) => void): void {
		this.#listeners.set(event, (this.#listeners.get(event) ?? new Set()).add(listener));
	}

	off(event: string, listener: (error: unknown) => void): void {
		this.#listeners.get(event)?.delete(listener);
	}

	emit(event: string, error: unknown): void {
		for (const listener of this.#listeners.get(event) ?? []) {
			listener(error);
		}
	}

	listenerCount(event: string): number {
		return this.#listeners.get(event)?.size ?? 0;
	}
}

function createGuard() {
	const source = new FakeProcess();
	const written: Array<{number: number; fields: unknown}> = [];
	const log = {
		write({number}: LogEvent, fields: unknown) {
			written.push({number, fields});
		},
	} as unknown as Log;
	let bursts = 0;
	const teardown = registerErrorGuard(source, log, () => {
		bursts += 1;
	});
	return {source, written, teardown, bursts: () => bursts};
}

describe('the guard against unexpected errors', () => {
	it('logs an error that nothing has handled, and keeps the process running', () => {
		const {source, written, bursts} = createGuard();
		source.emit('uncaughtException', new TypeError('bad message'));
		source.emit('unhandledRejection', 'a reason that is no error');
		expect(written.map(({number}) => number)).to.deep.equal([106, 106]);
		expect(JSON.stringify(written[0].fields)).to.include('bad message');
		expect(JSON.stringify(written[1].fields)).to.include('a reason that is no error');
		expect(bursts()).to.equal(0);
	});

	it('limits the size of a line', () => {
		const {source, written} = createGuard();
		source.emit('uncaughtException', new TypeError('x'.repeat(100_000)));
		expect(JSON.stringify(written[0].fields).length).to.be.below(3000);
	});

	it('ends a process whose errors do not stop', () => {
		const {source, written, bursts} = createGuard();
		for (let count = 0; count < 21; count++) {
			source.emit('uncaughtException', new TypeError('again'));
		}

		expect(bursts()).to.equal(1);
		expect(written.at(-1)?.number).to.equal(107);
	});

	it('listens to nothing any more after its teardown', () => {
		const {source, teardown} = createGuard();
		teardown();
		expect(source.listenerCount('uncaughtException')).to.equal(0);
		expect(source.listenerCount('unhandledRejection')).to.equal(0);
	});

	it('goes on with errors that come now and then', () => {
		const burst = new ErrorBurst();
		for (let second = 0; second < 200; second++) {
			expect(burst.record(second * 1000)).to.equal(false);
		}
	});
});
