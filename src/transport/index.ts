/** HTTP calls and message streams between the processes of a deployment, and HTTP listeners. */
export { parseBoundedJson } from './boundedJson'
export { ConnectionPool, formatAddress, parseAddress, type Address, type ConnectionPoolOptions } from './connectionPool'
export { sendToPeer, type PeerReply, type PeerRequest } from './peerRequest'
export { callPath, callPeer, createPeerLink, peerKeyHeader, toPeerAnswer, type PeerAnswer, type PeerLinkOptions } from './peerCaller'
export { createPeerHandler, createSecretCheck, type PeerHandlerOptions, type RequestHandler } from './peerServer'
export { openListener, peerListenerBounds, type Listener, type ListenerOptions } from './listener'
export { callerHeaders, selectForwardedHeaders, internalHeaders, type MessageHeaders, type Outcome } from './internalHeaders'
export { createStreamHandler, defaultStreamBounds, MessageStream, openStream, streamPath, type DecodeFailure, type MessageDecoder, type StreamBounds, type StreamEnd, type StreamListener, type StreamOptions } from './messageStream'
