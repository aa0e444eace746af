// Package datagram sends and receives UDP datagrams on gnet.
package datagram
