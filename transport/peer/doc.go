// Package peer carries calls between instances that need an answer, as drpc
// over TCP. Both ends prove that they hold a peer key before the first call of
// a connection.
package peer
