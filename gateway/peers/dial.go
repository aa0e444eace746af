package peers

import (
	"net"
	"time"
)

// dialTimeout bounds the time to open a connection to a peer.
const dialTimeout = 500 * time.Millisecond

func dial(address string) (net.Conn, error) {
	return net.DialTimeout("tcp4", address, dialTimeout)
}
