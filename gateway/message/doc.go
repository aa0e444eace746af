// Package message holds what the forwarder needs to know of a request and of
// an answer, apart from how header fields spell it.
package message
