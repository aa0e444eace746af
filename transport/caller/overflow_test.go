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

// elsewhere stands for the instances of other data centres.
type elsewhere struct {
	contentType string
	body        io.Reader
	hops        int
}

func (e *elsewhere) Forward(_ context.Context, request serving.OverflowRequest) (serving.OverflowAnswer, error) {
	e.hops = request.Hops
	if e.body == nil {
		return serving.OverflowAnswer{}, fault.New(fault.NoBackendServer, "none").WithExecution(fault.ExecutionUnknown)
	}
	return serving.OverflowAnswer{ContentType: e.contentType, Body: io.NopCloser(e.body)}, nil
}

// brokenReader fails after a part of an answer.
type brokenReader struct{ part io.Reader }

func (b brokenReader) Read(buffer []byte) (int, error) {
	if read, err := b.part.Read(buffer); err == nil {
		return read, nil
	}
	return 0, io.ErrUnexpectedEOF
}

// overflowed asks a server whose generator refuses with the code.
func overflowed(t *testing.T, code fault.Code, other *elsewhere) (int, string) {
	t.Helper()
	b := backends{generate: func(context.Context, serving.AnswerWriter) (serving.AnswerEnd, error) {
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
	if err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode, string(body)
}

func TestOverflowPassesTheAnswerOn(t *testing.T) {
	is := is.New(t)
	for _, contentType := range []string{"text/event-stream", "application/json"} {
		other := &elsewhere{contentType: contentType, body: strings.NewReader("an answer")}
		status, body := overflowed(t, fault.Overloaded, other)
		is.Equal(status, http.StatusOK)
		is.Equal(body, "an answer")
		is.Equal(other.hops, 1)
	}
}

func TestOverflowTakesOnlyWhatHasNoRoom(t *testing.T) {
	is := is.New(t)
	status, _ := overflowed(t, fault.AccountLimit, &elsewhere{body: strings.NewReader("an answer")})
	is.Equal(status, http.StatusTooManyRequests)
}

func TestOverflowNeverSaysNotRunOrWholeWrongly(t *testing.T) {
	is := is.New(t)
	status, body := overflowed(t, fault.Overloaded, &elsewhere{})
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"execution":"unknown"`))
	status, body = overflowed(t, fault.Overloaded, &elsewhere{contentType: "application/json", body: brokenReader{strings.NewReader("a part")}})
	is.Equal(status, http.StatusBadGateway)
	is.True(!strings.Contains(body, "a part"))
}
