package caller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/transport/caller"
)

// remoteInstances is a stub for the instances of other data centres. It refuses when body is nil.
type remoteInstances struct {
	contentType string
	body        io.Reader
	hops        int
}

func (e *remoteInstances) Forward(_ context.Context, request serving.OverflowRequest) (serving.OverflowAnswer, error) {
	e.hops = request.Hops
	if e.body == nil {
		return serving.OverflowAnswer{}, fault.New(fault.NoBackendServer, "none").WithExecution(fault.ExecutionUnknown)
	}
	return serving.OverflowAnswer{ContentType: e.contentType, Body: io.NopCloser(e.body)}, nil
}

// brokenReader returns a part of an answer and then fails.
type brokenReader struct{ part io.Reader }

func (b brokenReader) Read(buffer []byte) (int, error) {
	if read, err := b.part.Read(buffer); err == nil {
		return read, nil
	}
	return 0, io.ErrUnexpectedEOF
}

// postRefusedCompletion posts a completion to a server whose generator refuses it with the
// code, and returns the status and body of the response.
func postRefusedCompletion(t *testing.T, code fault.Code, other *remoteInstances) (int, string) {
	t.Helper()
	status, body, err := readRefusedCompletion(t, code, other)
	if err != nil {
		t.Fatal(err)
	}
	return status, body
}

// readRefusedCompletion is postRefusedCompletion that also returns the error of reading the body.
func readRefusedCompletion(t *testing.T, code fault.Code, other *remoteInstances) (int, string, error) {
	t.Helper()
	b := stubDependencies{generate: func(context.Context, serving.AnswerWriter) (serving.AnswerEnd, error) {
		return serving.AnswerEnd{}, fault.New(code, "refused").WithExecution(fault.ExecutionNotRun)
	}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := caller.NewServer(caller.Options{}, caller.Dependencies{Authenticator: b, Configuration: b, Generator: b, ServiceCaller: b, Overflow: other}, zerolog.Nop())
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown(context.Background()); _ = listener.Close(); <-done }()
	defer http.DefaultClient.CloseIdleConnections()
	request, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"p"}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer right")
	request.Header.Set(serving.HopsHeader, "1")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(body), err
}

func TestOverflowForwardsTheAnswer(t *testing.T) {
	is := is.New(t)
	for _, contentType := range []string{"text/event-stream", "application/json"} {
		other := &remoteInstances{contentType: contentType, body: strings.NewReader("an answer")}
		status, body := postRefusedCompletion(t, fault.Overloaded, other)
		is.Equal(status, http.StatusOK)
		is.Equal(body, "an answer")
		is.Equal(other.hops, 1)
	}
}

func TestOverflowForwardsOnlyCapacityRefusals(t *testing.T) {
	is := is.New(t)
	status, _ := postRefusedCompletion(t, fault.AccountLimit, &remoteInstances{body: strings.NewReader("an answer")})
	is.Equal(status, http.StatusTooManyRequests)
}

// TestOverflowNeverReportsNotRunOrAPartialAnswer covers a forwarded request that may
// have run without an answer, and an answer that is interrupted before its end.
func TestOverflowNeverReportsNotRunOrAPartialAnswer(t *testing.T) {
	is := is.New(t)
	status, body := postRefusedCompletion(t, fault.Overloaded, &remoteInstances{})
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"execution":"unknown"`))
	status, body = postRefusedCompletion(t, fault.Overloaded, &remoteInstances{contentType: "application/json", body: brokenReader{strings.NewReader("a part")}})
	is.Equal(status, http.StatusBadGateway)
	is.True(!strings.Contains(body, "a part"))
}

// Guards against a stream of another instance that breaks off and looks complete.
func TestOverflowDoesNotEndABrokenStream(t *testing.T) {
	is := is.New(t)
	for range 20 {
		other := &remoteInstances{contentType: "text/event-stream", body: brokenReader{strings.NewReader("data: a part\n\n")}}
		status, body, err := readRefusedCompletion(t, fault.Overloaded, other)
		is.Equal(status, http.StatusOK)
		is.Equal(body, "data: a part\n\n")
		is.True(err != nil)
	}
}
