package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
)

// probe asks a server for its load and reports whether it answers.
func (f *Forwarder) probe(ctx context.Context, server *directory.Server) bool {
	f.meters.count("probes")
	conn, err := f.pool.Open(ctx, server.ID, server.Address, probeTimeout, true)
	if err != nil {
		return false
	}
	cut := context.AfterFunc(ctx, conn.Close)
	defer cut()
	if _, err := conn.Send(f.protocol.LoadRequest(server.Address), nil); err != nil {
		conn.Close()
		return false
	}
	if err := conn.SetReadDeadline(time.Now().Add(probeTimeout)); err != nil {
		conn.Close()
		return false
	}
	response, err := conn.ReadHead("GET")
	if err != nil {
		conn.Close()
		return false
	}
	if _, err := conn.Body(response).ReadAll(answerLimit); err != nil {
		conn.Close()
		return false
	}
	f.pool.Put(server.ID, conn, response)
	f.selector.update(func(ledger *placement.Ledger, now time.Time) { ledger.Heard(now, server.ID) })
	return true
}
