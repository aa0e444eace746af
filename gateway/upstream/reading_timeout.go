package upstream

import (
	"net"
	"sync"
	"time"

	"github.com/wisteriahaven/wisteriahaven/transport/keepalive"
)

const (
	// unreadTimeout is how long a server may leave a long request unread. Sound ones may answer
	// before they read it, and fall silent for seconds.
	unreadTimeout = 6 * time.Second
	// acknowledgedInterval is the time between checks whether a long request was acknowledged.
	acknowledgedInterval = 100 * time.Millisecond
)

// readingTimeout is the timeout of a connection's transport: unreadTimeout while a long request
// is not acknowledged, otherwise that of keepalive.Outgoing.
type readingTimeout struct {
	mu sync.Mutex
	// extended is the number of long requests so far.
	extended int
}

// extend sets unreadTimeout and returns the number of the request.
func (t *readingTimeout) extend(conn net.Conn) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.extended++
	return t.extended, keepalive.SetTimeout(conn, unreadTimeout)
}

// restoreWhenAcknowledged returns when the server has acknowledged everything, when a further long
// request follows, or when the connection is closed.
func (t *readingTimeout) restoreWhenAcknowledged(conn net.Conn, number int) {
	for !t.restore(conn, number) {
		time.Sleep(acknowledgedInterval)
	}
}

// restore reports whether nothing remains to be done.
func (t *readingTimeout) restore(conn net.Conn, number int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.extended != number {
		return true
	}
	acknowledged, err := keepalive.Acknowledged(conn)
	if err == nil && acknowledged {
		err = keepalive.SetTimeout(conn, keepalive.Outgoing.Timeout)
	}
	return acknowledged || err != nil // An error means that the connection was closed.
}
