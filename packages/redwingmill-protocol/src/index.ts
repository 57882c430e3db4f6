export {ProtocolError} from './errors.js';
export {
	LinkRequestSchema,
	LinkResponseSchema,
	LinkService,
	type LinkRequest,
	type LinkResponse,
} from './generated/redwingmill/v1/link_pb.js';
export {decodeMessage, encodeMessage} from './message-codec.js';
export {decodeDatagram, encodeDatagram} from './datagram-codec.js';
