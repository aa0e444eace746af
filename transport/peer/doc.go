// Package peer carries the calls between instances that need a reply, with drpc
// over TCP. Both ends prove that they hold a peer key before the first call on a
// connection. The calls are not encrypted, and the client does not retry them.
package peer
