package operator_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/command"
	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/operator"
	"github.com/wisteriahaven/wisteriahaven/operatorapi"
	"github.com/wisteriahaven/wisteriahaven/operatorclient"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// shownInstance is the instance behind a server.
type shownInstance struct{ ready bool }

func (i *shownInstance) Ready() bool { return i.ready }
func (i *shownInstance) Dump(int) dump.Instance {
	return dump.Instance{Instance: "i1", Ready: i.ready}
}
func (i *shownInstance) DumpAbout(name string) dump.Instance {
	return dump.Instance{Instance: "i1", Decisions: []serving.Decision{{Subject: name}}}
}

// unquarantined is an instance without quarantines.
type unquarantined struct{}

func (unquarantined) Release(string) error { return fault.New(fault.NotFound, "") }

// listening is a running operator listener.
type listening struct {
	address  string
	instance *shownInstance
	log      *bytes.Buffer
	store    *faultyStore
}

func listen(t *testing.T) *listening {
	t.Helper()
	l := &listening{instance: &shownInstance{ready: true}, log: &bytes.Buffer{}, store: newFaultyStore()}
	hash := func(token string) string {
		sum := sha256.Sum256([]byte(token))
		return hex.EncodeToString(sum[:])
	}
	server := operator.NewServer(operator.Options{
		Instance:       "i1",
		DataCentre:     "n1",
		Configurations: operator.NewStoredConfigurations(l.store),
		Current:        &fixedSource{},
		Peers:          alone{},
		LocalDrains:    operator.NewLocalDrains(),
		Quarantines:    unquarantined{},
		Logger:         zerolog.New(l.log),
	}, []settings.OperatorToken{
		{Name: "reader", Role: settings.RoleRead, Hash: hash("r")},
		{Name: "chief", Role: settings.RoleAdmit, Hash: hash("c")},
	}, l.instance, metrics.NewRegistry())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = server.Shutdown()
		<-done
	})
	l.address = listener.Addr().String()
	return l
}

// status sends one plain request and returns its status and body.
func (l *listening) status(t *testing.T, method, path, token, body string) (int, string) {
	t.Helper()
	client := &fasthttp.Client{}
	defer client.CloseIdleConnections()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + l.address + path)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	request.SetBodyString(body)
	if err := client.DoTimeout(request, response, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode(), string(response.Body())
}

func TestListener(t *testing.T) {
	l := listen(t)
	cases := []struct {
		name, method, path, token, body string
		status                          int
		contains                        string
	}{
		{"live needs no token", "GET", "/v1/live", "", "", 200, ""},
		{"ready needs no token", "GET", "/v1/ready", "", "", 200, ""},
		{"dump needs a token", "GET", "/v1/dump", "", "", 401, "unauthenticated"},
		{"a wrong token", "GET", "/v1/dump", "x", "", 401, "unauthenticated"},
		{"dump", "GET", "/v1/dump", "r", "", 200, `"instance":"i1"`},
		{"about", "GET", "/v1/dump?about=r7", "r", "", 200, `"subject":"r7"`},
		{"metrics", "GET", "/v1/metrics", "r", "", 200, "{"},
		{"revision", "GET", "/v1/revision", "r", "", 200, `"revision":0`},
		{"unknown path", "GET", "/v1/nothing", "r", "", 404, "not_found"},
		{"wrong method", "GET", "/v1/command", "r", "", 405, "method_not_allowed"},
		{"malformed body", "POST", "/v1/command", "r", "{", 400, "malformed_body"},
		{"syntax", "POST", "/v1/command", "r", `{"command": "shwo"}`, 400, "line 1, column 1"},
		{"role", "POST", "/v1/command", "r", `{"id": "1", "command": "drain instance a"}`, 403, "command_forbidden"},
		{"no id", "POST", "/v1/command", "c", `{"command": "drain instance a"}`, 400, `"field":"id"`},
		{"no configuration", "POST", "/v1/command", "r", `{"command": "show rules"}`, 503, "configuration_unset"},
		{"release of nothing", "POST", "/v1/command", "c", `{"id": "1", "command": "release ff"}`, 404, "not_found"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			status, body := l.status(t, test.method, test.path, test.token, test.body)
			is.Equal(status, test.status)
			is.True(strings.Contains(body, test.contains))
		})
	}
	t.Run("a refused change is logged with who and what", func(t *testing.T) {
		is := is.New(t)
		is.True(strings.Contains(l.log.String(), `"name":"command_refused","operator":"reader","command_id":"1","command":"drain instance a","code":"command_forbidden"`))
	})
	t.Run("not ready", func(t *testing.T) {
		is := is.New(t)
		l.instance.ready = false
		status, _ := l.status(t, "GET", "/v1/ready", "", "")
		is.Equal(status, 503)
	})
}

// TestFirstEstate applies the first configuration and finds each change in the
// audit log.
func TestFirstEstate(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	client := operatorclient.New(l.address, "c")
	defer client.Close()
	request := operatorapi.Request{ID: "first", Command: "apply e.json", Files: command.Files{{Name: "e.json", Content: []byte(smallEstate)}}}
	applied, err := client.Execute(t.Context(), request)
	is.NoErr(err)
	is.Equal(applied.Outcome, operatorapi.Applied)
	repeated, err := client.Execute(t.Context(), request)
	is.NoErr(err)
	is.Equal(repeated.Revision, applied.Revision)
	is.True(repeated.Repeated)
	request.Files[0].Content = []byte(smallEstate + " ")
	other, err := client.Execute(t.Context(), request)
	is.NoErr(err)
	is.Equal(other.Failure.Code, fault.CommandInvalid) // the id belongs to another command
	is.Equal(strings.Count(l.log.String(), `"name":"command_applied"`), 1)
	for _, field := range []string{`"operator":"chief"`, `"command_id":"first"`, `"revision_before":0`, `"revision_after":`} {
		is.True(strings.Contains(l.log.String(), field)) // who, what, before and after
	}
}

// TestForgottenRepeat repeats a command that the history may have forgotten.
func TestForgottenRepeat(t *testing.T) {
	is := is.New(t)
	full := configstore.Snapshot{}
	for i := range 300 {
		full.History = append(full.History, configstore.AppliedCommand{Revision: uint64(1000 - i)})
	}
	is.True(!full.HistoryCovers(0))
	is.True(!full.HistoryCovers(700))
	is.True(full.HistoryCovers(701))
	is.True(configstore.Snapshot{History: full.History[:10]}.HistoryCovers(0))
}
