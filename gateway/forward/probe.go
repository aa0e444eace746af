package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/gateway/upstream"
	"github.com/wisteriahaven/wisteriahaven/transport/http1"
)

// probe asks at a server's address for its load and reports whether somebody
// answers, and what. The answer does not say by whom: it is no sign of life of the
// server.
func (f *Forwarder) probe(ctx context.Context, server *directory.Server) (message.Report, bool) {
	f.meters.count("probes")
	response, body, err := f.ask(ctx, server, f.protocol.LoadRequest(server.Address), probeTimeout)
	if err != nil {
		return message.Report{}, false
	}
	if response.Status != 200 {
		return message.Report{}, true
	}
	report, err := f.protocol.ParseReport(body)
	if err != nil {
		event.Log(f.logger, event.ReportInvalid).Str("server", server.ID).Err(err).Send()
	}
	return report, true
}

// ask sends a request of this system's own to a server and returns its answer.
// A kept connection that its server closed meanwhile is replaced once.
func (f *Forwarder) ask(ctx context.Context, server *directory.Server, request []byte, timeout time.Duration) (*http1.Response, []byte, error) {
	deadline := time.Now().Add(timeout)
	response, body, reused, err := f.askOnce(ctx, server, request, deadline, true)
	if err != nil && reused && time.Now().Before(deadline) {
		response, body, _, err = f.askOnce(ctx, server, request, deadline, false)
	}
	return response, body, err
}

func (f *Forwarder) askOnce(ctx context.Context, server *directory.Server, request []byte, deadline time.Time, reuse bool) (response *http1.Response, body []byte, reused bool, err error) {
	conn, err := f.pool.Open(ctx, server.ID, server.Address, min(connectTimeout, time.Until(deadline)), reuse)
	if err != nil {
		return nil, nil, false, err
	}
	cut := context.AfterFunc(ctx, conn.Close)
	defer cut()
	response, body, err = converse(conn, request, deadline)
	if err != nil {
		conn.Close()
		return nil, nil, conn.Reused, err
	}
	f.pool.Put(server.ID, conn, response)
	return response, body, conn.Reused, nil
}

// converse sends one request and reads its answer whole.
func converse(conn *upstream.Conn, request []byte, deadline time.Time) (*http1.Response, []byte, error) {
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
	body, err := conn.Body(response).ReadAll(answerLimit)
	return response, body, err
}
