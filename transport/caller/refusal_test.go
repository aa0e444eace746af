package caller_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"encoding/json"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/transport/caller"
)

// TestRefusalOfAKeyDoesNotClaimNotRun refuses requests whose keys, or whose
// cursors, show that earlier submissions may have run.
func TestRefusalOfAKeyDoesNotClaimNotRun(t *testing.T) {
	server, url := start(t, caller.Options{MaxBodyBytes: 2000}, backends{})
	cases := []struct {
		name, path, bearer, header, body string
		code                             fault.Code
	}{
		{"wrong bearer key", "/v1/services/stock/hold", "wrong", caller.IdempotencyKeyHeader, `{}`, fault.Unauthenticated},
		{"no bearer key", "/v1/services/stock/hold", "", caller.IdempotencyKeyHeader, `{}`, fault.Unauthenticated},
		{"unknown operation", "/v1/services/stock/x", "right", caller.IdempotencyKeyHeader, `{}`, fault.UnknownService},
		{"malformed generation", "/v1/completions", "right", caller.IdempotencyKeyHeader, `{`, fault.MalformedBody},
		{"unknown model", "/v1/completions", "right", caller.IdempotencyKeyHeader, `{"model":"x","prompt":"p"}`, fault.UnknownService},
		{"cursor", "/v1/completions", "right", caller.LastEventIDHeader, `{"model":"x","prompt":"p"}`, fault.UnknownService},
		{"body over the limit", "/v1/services/stock/hold", "right", caller.IdempotencyKeyHeader, strings.Repeat("x", 3000), fault.BodyTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			detail := refused(t, url+c.path, c.bearer, c.header, c.body)
			is.Equal(detail.Code, c.code)
			is.Equal(detail.Execution, fault.ExecutionRefusedHere)
		})
	}
	t.Run("stopping", func(t *testing.T) {
		is := is.New(t)
		server.Abort()
		detail := refused(t, url+"/v1/services/stock/hold", "right", caller.IdempotencyKeyHeader, `{}`)
		is.Equal(detail.Code, fault.Stopping)
		is.Equal(detail.Execution, fault.ExecutionRefusedHere)
	})
}

func refused(t *testing.T, url, bearer, header, body string) caller.ErrorDetail {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if bearer != "" {
		request.Header.Set("Authorization", "Bearer "+bearer)
	}
	request.Header.Set(header, "key-1")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	var decoded caller.ErrorBody
	if err := json.NewDecoder(answer.Body).Decode(&decoded); err != nil {
		t.Fatal(err)
	}
	return decoded.Error
}
