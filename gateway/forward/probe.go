package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/upstream"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

const (
	// maxReportBytes bounds a load report or a server's id in bytes, maxCacheReportBytes a report of
	// an engine's cache.
	maxReportBytes      = 256 << 10
	maxCacheReportBytes = 1 << 20
)

// query sends a request of the instance itself to a server and returns its answer of at most limit bytes.
// It tries once more over a new connection when a reused one fails, because the
// server may have closed it while it was idle.
func (f *Forwarder) query(ctx context.Context, server *directory.Server, request []byte, limit int, timeout time.Duration) (*http1.Response, []byte, error) {
	deadline := time.Now().Add(timeout)
	response, body, reused, err := f.queryOnce(ctx, server, request, limit, deadline, true)
	if err != nil && reused && time.Now().Before(deadline) {
		response, body, _, err = f.queryOnce(ctx, server, request, limit, deadline, false)
	}
	return response, body, err
}

func (f *Forwarder) queryOnce(ctx context.Context, server *directory.Server, request []byte, limit int, deadline time.Time, reuse bool) (response *http1.Response, body []byte, reused bool, err error) {
	begun := time.Now()
	conn, err := f.pool.Open(ctx, server.ID, server.Address, min(connectTimeout, time.Until(deadline)), reuse)
	if err != nil {
		return nil, nil, false, err
	}
	if !conn.Reused {
		f.selector.reach.opened(server)
	}
	f.selector.recordUnchosenSend(server)
	stopClosing := context.AfterFunc(ctx, conn.Close)
	defer stopClosing()
	memory := answerMemory{budget: &f.answers}
	defer memory.close() // The answer is read into numbers at once.
	response, body, err = roundTrip(conn, request, limit, deadline, memory.part())
	if err != nil {
		conn.Close()
		return nil, nil, conn.Reused, err
	}
	if answer := f.readAnswer(server, response); answer.Server == server.ID && !conn.Reused {
		// An answer over a reused connection may be the late copy of an earlier one.
		f.selector.recordRun(server.ID, begun)
	}
	reused = conn.Reused
	f.pool.Put(server.ID, conn, response) // From now on it may be another request's.
	return response, body, reused, nil
}

// roundTrip sends one request and reads the complete answer of at most limit bytes into memory that
// it takes.
func roundTrip(conn *upstream.Conn, request []byte, limit int, deadline time.Time, memory *answerPart) (*http1.Response, []byte, error) {
	if err := conn.SetReadDeadline(deadline); err != nil {
		return nil, nil, err
	}
	if _, err := conn.Send(request, nil); err != nil {
		return nil, nil, err
	}
	response, err := conn.ReadHead("GET")
	if err != nil {
		return nil, nil, err
	}
	body, err := conn.Body(response).ReadAllReserving(limit, memory.grow)
	return response, body, err
}
