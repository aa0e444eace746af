package peers

import (
	"net"
	"time"
)

// dialTimeout bounds the opening of a connection to another instance.
const dialTimeout = 500 * time.Millisecond

func dial(address string) (net.Conn, error) {
	return net.DialTimeout("tcp4", address, dialTimeout)
}
