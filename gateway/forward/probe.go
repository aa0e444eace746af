package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/placement"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
)

// probe asks a server for its load and reports whether it answers, and what.
func (f *Forwarder) probe(ctx context.Context, server *directory.Server) (message.Report, bool) {
	f.meters.count("probes")
	status, body, err := f.ask(ctx, server, f.protocol.LoadRequest(server.Address), probeTimeout)
	if err != nil {
		return message.Report{}, false
	}
	f.selector.update(func(ledger *placement.Ledger, now time.Time) { ledger.Heard(now, server.ID) })
	if status != 200 {
		return message.Report{}, true
	}
	report, err := f.protocol.Report(body)
	if err != nil {
		event.Log(f.logger, event.ReportInvalid).Str("server", server.ID).Err(err).Send()
	}
	return report, true
}

// ask sends a request of this system's own to a server and returns its answer.
// A kept connection that its server closed meanwhile is replaced once.
func (f *Forwarder) ask(ctx context.Context, server *directory.Server, request []byte, timeout time.Duration) (status int, body []byte, err error) {
	deadline := time.Now().Add(timeout)
	for _, reuse := range []bool{true, false} {
		var reused bool
		status, body, reused, err = f.askOnce(ctx, server, request, deadline, reuse)
		if err == nil || !reused || time.Now().After(deadline) {
			break
		}
	}
	return status, body, err
}

func (f *Forwarder) askOnce(ctx context.Context, server *directory.Server, request []byte, deadline time.Time, reuse bool) (status int, body []byte, reused bool, err error) {
	conn, err := f.pool.Open(ctx, server.ID, server.Address, min(connectTimeout, time.Until(deadline)), reuse)
	if err != nil {
		return 0, nil, false, err
	}
	cut := context.AfterFunc(ctx, conn.Close)
	defer cut()
	fail := func(err error) (int, []byte, bool, error) {
		conn.Close()
		return 0, nil, conn.Reused, err
	}
	if err := conn.SetReadDeadline(deadline); err != nil {
		return fail(err)
	}
	if _, err := conn.Send(request, nil); err != nil {
		return fail(err)
	}
	response, err := conn.ReadHead("GET")
	if err != nil {
		return fail(err)
	}
	body, err = conn.Body(response).ReadAll(answerLimit)
	if err != nil {
		return fail(err)
	}
	f.pool.Put(server.ID, conn, response)
	return response.Status, body, conn.Reused, nil
}
