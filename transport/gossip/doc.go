// Package gossip carries digests between instances as authenticated UDP
// datagrams on gnet. A datagram that is truncated, oversized, malformed or
// forged is counted and dropped.
package gossip
