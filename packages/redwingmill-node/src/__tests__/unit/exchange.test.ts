import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {type Dispatcher} from 'undici';
import {beginExchange, type ExchangeResult} from '../../call/exchange.js';

const megabyte = 1024 * 1024;

function errorWith(code: string): Error {
	return Object.assign(new TypeError(code), {code});
}

/** A dispatcher that hands over the handlers of what is dispatched. */
function createDispatcher() {
	const handlers: Dispatcher.DispatchHandler[] = [];
	const dispatcher = {
		dispatch(_options: unknown, handler: Dispatcher.DispatchHandler) {
			handlers.push(handler);
			return true;
		},
	} as unknown as Dispatcher;
	return {dispatcher, handlers};
}

function createController() {
	let isAborted = false;
	const controller = {
		abort() {
			isAborted = true;
		},
	} as unknown as Dispatcher.DispatchController;
	return {controller, isAborted: () => isAborted};
}

function begin(answerLimitBytes = 1000) {
	const {dispatcher, handlers} = createDispatcher();
	const results: ExchangeResult[] = [];
	const request = {method: 'POST', path: '/', headers: {}, body: undefined};
	const exchange = beginExchange(dispatcher, request, {answerLimitBytes}, (result) => {
		results.push(result);
	});
	return {exchange, handler: handlers[0], results, ...createController()};
}

describe('an exchange', () => {
	for (const code of ['ECONNREFUSED', 'EHOSTUNREACH', 'ECONNRESET', 'UND_ERR_CONNECT_TIMEOUT']) {
		it(`counts as not sent after ${code} before it has started`, () => {
			const {handler, controller, results} = begin();
			handler.onResponseError?.(controller, errorWith(code));
			expect(results).to.deep.equal([{type: 'refused', reason: code}]);
		});
	}

	for (const code of ['EHOSTUNREACH', 'ENETUNREACH', 'ECONNREFUSED', 'ECONNRESET']) {
		it(`may have been sent after ${code} on the connection that it was written to`, () => {
			const {handler, controller, results} = begin();
			handler.onRequestStart?.(controller, undefined);
			handler.onResponseError?.(controller, errorWith(code));
			expect(results).to.deep.equal([{type: 'broken', reason: code}]);
		});
	}

	it('takes no interim response for the final one', () => {
		const {handler, controller, results} = begin();
		handler.onRequestStart?.(controller, undefined);
		handler.onResponseStart?.(controller, 102, {'x-early': '1'});
		expect(results).to.deep.equal([]);
		handler.onResponseStart?.(controller, 200, {'x-late': '2'});
		handler.onResponseEnd?.(controller, {});
		const [result] = results;
		expect(result.type === 'complete' && result.payload.status).to.equal(200);
		expect(result.type === 'complete' && result.headers).to.deep.equal({'x-late': '2'});
	});

	// Guards against a worker's bytes with a status like 000 that the caller gets as an answer (MIXED).
	for (const status of [0, 99, 600, 999]) {
		it(`takes a response with status ${status} for none`, () => {
			const {handler, controller, results, isAborted} = begin();
			handler.onRequestStart?.(controller, undefined);
			handler.onResponseStart?.(controller, status, {});
			handler.onResponseData?.(controller, Buffer.from('body'));
			handler.onResponseEnd?.(controller, {});
			expect(results).to.deep.equal([{type: 'malformed'}]);
			expect(isAborted()).to.equal(true);
		});
	}

	it('ends when the responses being received exceed the limit of the process together', () => {
		const limitBytes = 16 * megabyte;
		const chunk = Buffer.alloc(megabyte);
		const exchanges = Array.from({length: 6}, () => begin(limitBytes));
		for (const {handler, controller} of exchanges) {
			handler.onRequestStart?.(controller, undefined);
			handler.onResponseStart?.(controller, 200, {});
		}

		for (let count = 0; count < 12; count++) {
			for (const {handler, controller} of exchanges) {
				handler.onResponseData?.(controller, chunk);
			}
		}

		const ended = exchanges.filter(({results}) => results[0]?.type === 'too-large');
		expect(ended.length).to.be.at.least(1);
		expect(ended.every(({isAborted}) => isAborted())).to.equal(true);
		for (const {exchange} of exchanges) {
			exchange.abort();
		}

		// What they held is free again.
		const next = begin(limitBytes);
		next.handler.onRequestStart?.(next.controller, undefined);
		next.handler.onResponseStart?.(next.controller, 200, {});
		for (let count = 0; count < 12; count++) {
			next.handler.onResponseData?.(next.controller, chunk);
		}

		next.handler.onResponseEnd?.(next.controller, {});
		expect(next.results[0].type).to.equal('complete');
	});
});
