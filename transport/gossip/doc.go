// Package gossip carries digests between instances as authenticated UDP
// datagrams on gnet. A datagram that is truncated, oversized, malformed or
// forged is counted and discarded; a lost one is not sent again.
package gossip
