// Package datagram sends and receives UDP datagrams with the gnet event loop. It
// neither authenticates nor retries them.
package datagram
