package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/transport/caller"
)

// backends stand for the serving path.
type backends struct {
	generate func(ctx context.Context, writer serving.AnswerWriter) (serving.AnswerEnd, error)
}

func (backends) Authenticate(bearer string) (estate.ClientAccount, error) {
	if bearer != "right" {
		return estate.ClientAccount{}, fault.New(fault.Unauthenticated, "the bearer key is unknown").WithExecution(fault.ExecutionNotRun)
	}
	return estate.ClientAccount{Name: "account"}, nil
}

func (backends) Current() *estate.Configuration {
	return &estate.Configuration{Services: []estate.Service{
		{Name: "assistant", Kind: estate.ServiceGeneration, Models: []string{"m"}, Deadline: estate.Duration(time.Minute)},
		{Name: "stock", Kind: estate.ServiceCall, Deadline: estate.Duration(time.Minute), Operations: []estate.Operation{{Name: "hold"}}},
	}}
}

func (b backends) Generate(ctx context.Context, _ serving.GenerationRequest, writer serving.AnswerWriter) (serving.AnswerEnd, error) {
	return b.generate(ctx, writer)
}

func (backends) Call(context.Context, serving.CallRequest) (serving.CallResult, error) {
	return serving.CallResult{}, fault.New(fault.CallOutcomeUnknown, "the answer was lost").WithExecution(fault.ExecutionUnknown)
}

// start runs a server and returns its address.
func start(t *testing.T, options caller.Options, b backends) (*caller.Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := caller.NewServer(options, caller.Dependencies{Authenticator: b, Configuration: b, Generator: b, ServiceCaller: b}, zerolog.Nop())
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(listener) }()
	t.Cleanup(func() {
		server.Abort()
		_ = server.Shutdown(context.Background())
		<-done
		http.DefaultClient.CloseIdleConnections()
		// The library's idle worker cleaner ends by itself within its period.
		goleak.VerifyNone(t, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
	})
	return server, "http://" + listener.Addr().String()
}

func post(t *testing.T, url, key, body string) (int, caller.ErrorDetail) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	var decoded caller.ErrorBody
	if err := json.NewDecoder(answer.Body).Decode(&decoded); err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode, decoded.Error
}

// TestBadInputGetsATypedError sends what callers get wrong.
func TestBadInputGetsATypedError(t *testing.T) {
	_, url := start(t, caller.Options{MaxBodyBytes: 2000}, backends{})
	completions, hold := url+"/v1/completions", url+"/v1/services/stock/hold"
	cases := []struct {
		name, url, key, body string
		status               int
		code                 fault.Code
		field                string
		execution            fault.Execution
	}{
		{"malformed JSON", completions, "right", `{"model":`, 400, fault.MalformedBody, "", fault.ExecutionNotRun},
		{"wrong type", completions, "right", `{"model":7}`, 400, fault.MalformedBody, "", fault.ExecutionNotRun},
		{"no model", completions, "right", `{"prompt":"p"}`, 400, fault.InvalidField, "model", fault.ExecutionNotRun},
		{"no prompt", completions, "right", `{"model":"m"}`, 400, fault.InvalidField, "prompt", fault.ExecutionNotRun},
		{"negative max_tokens", completions, "right", `{"model":"m","prompt":"p","max_tokens":-1}`, 400, fault.InvalidField, "max_tokens", fault.ExecutionNotRun},
		{"unknown on_mismatch", completions, "right", `{"model":"m","prompt":"p","on_mismatch":"x"}`, 400, fault.InvalidField, "on_mismatch", fault.ExecutionNotRun},
		{"unknown model", completions, "right", `{"model":"x","prompt":"p"}`, 404, fault.UnknownService, "", fault.ExecutionNotRun},
		{"body over the limit", completions, "right", strings.Repeat("x", 3000), 413, fault.BodyTooLarge, "", fault.ExecutionNotRun},
		{"wrong key", completions, "wrong", `{"model":"m","prompt":"p"}`, 401, fault.Unauthenticated, "", fault.ExecutionNotRun},
		{"unknown path", url + "/v2", "right", `{}`, 404, fault.NotFound, "", ""},
		{"unknown operation", url + "/v1/services/stock/x", "right", `{}`, 404, fault.UnknownService, "", fault.ExecutionNotRun},
		{"lost answer", hold, "right", `{}`, 409, fault.CallOutcomeUnknown, "", fault.ExecutionUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, detail := post(t, c.url, c.key, c.body)
			is.Equal(status, c.status)
			is.Equal(detail.Code, c.code)
			is.Equal(detail.Field, c.field)
			is.Equal(detail.Execution, c.execution)
			is.True(detail.Message != "")
		})
	}
}

// TestFailureBeforeTheFirstTokenHasItsStatus checks that a refused generation
// is not a broken stream.
func TestFailureBeforeTheFirstTokenHasItsStatus(t *testing.T) {
	is := is.New(t)
	_, url := start(t, caller.Options{}, backends{generate: func(context.Context, serving.AnswerWriter) (serving.AnswerEnd, error) {
		return serving.AnswerEnd{}, fault.New(fault.Overloaded, "queue is full").WithRetryAfter(1500 * time.Millisecond)
	}})
	status, detail := post(t, url+"/v1/completions", "right", `{"model":"m","prompt":"p","stream":true}`)
	is.Equal(status, 503)
	is.Equal(detail.Code, fault.Overloaded)
	is.Equal(detail.RetryAfterMillis, int64(1500))
}

// TestSlowCallerIsCutOff fills the buffer of a caller that does not read.
func TestSlowCallerIsCutOff(t *testing.T) {
	is := is.New(t)
	failed := make(chan error, 1)
	_, url := start(t, caller.Options{MaxBufferedTokens: 8}, backends{generate: func(ctx context.Context, writer serving.AnswerWriter) (serving.AnswerEnd, error) {
		err := writer.Begin("m", "1", 1)
		for offset := 0; err == nil; offset++ {
			err = writer.Token(serving.Token{Offset: offset, Text: strings.Repeat("x", 64<<10), Cursor: "c"})
		}
		<-ctx.Done()
		failed <- err
		return serving.AnswerEnd{}, err
	}})
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	body := `{"model":"m","prompt":"p","stream":true}`
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer right\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	is.NoErr(err)
	is.True(fault.HasCode(<-failed, fault.CallerTooSlow))
}

// TestLostCallerCancelsTheGeneration closes the caller's connection.
func TestLostCallerCancelsTheGeneration(t *testing.T) {
	is := is.New(t)
	cause := make(chan error, 1)
	_, url := start(t, caller.Options{}, backends{generate: func(ctx context.Context, writer serving.AnswerWriter) (serving.AnswerEnd, error) {
		_ = writer.Begin("m", "1", 1)
		for offset := 0; ctx.Err() == nil; offset++ {
			_ = writer.Token(serving.Token{Offset: offset, Text: "x", Cursor: "c"})
			time.Sleep(time.Millisecond)
		}
		cause <- context.Cause(ctx)
		return serving.AnswerEnd{}, context.Cause(ctx)
	}})
	request, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"p","stream":true}`))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer right")
	answer, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	_, err = bufio.NewReader(answer.Body).ReadString('\n')
	is.NoErr(err)
	is.NoErr(answer.Body.Close())
	is.True(fault.HasCode(<-cause, fault.CallerTooSlow))
}
