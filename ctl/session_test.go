package ctl_test

import (
	"bytes"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/command"
	"github.com/wisteriahaven/wisteriahaven/ctl"
	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/operatorapi"
)

// fakeInstance answers commands with prepared responses and keeps the
// requests.
type fakeInstance struct {
	address   string
	mu        sync.Mutex
	responses []operatorapi.Response
	requests  []operatorapi.Request
}

func startFake(t *testing.T, responses ...operatorapi.Response) *fakeInstance {
	t.Helper()
	fake := &fakeInstance{responses: responses}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: fake.handle, CloseOnShutdown: true}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = server.Shutdown()
		<-done
	})
	fake.address = listener.Addr().String()
	return fake
}

func (f *fakeInstance) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == operatorapi.DumpsPath {
		body, _ := json.Marshal(dump.Estate{
			Instances: []dump.Instance{{Instance: "a", DataCentre: "n1", Ready: true, Revision: 7, Counters: []dump.Counter{{Name: "refused.overloaded", Value: 3}}}},
			Missing:   []dump.Missing{{Instance: "b", DataCentre: "s1", Reason: "timeout"}},
		})
		ctx.SetBody(body)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var request operatorapi.Request
	_ = json.Unmarshal(ctx.PostBody(), &request)
	f.requests = append(f.requests, request)
	body, _ := json.Marshal(f.responses[0])
	if len(f.responses) > 1 {
		f.responses = f.responses[1:]
	}
	ctx.SetBody(body)
}

// broken takes connections and closes them: every answer is lost.
func broken(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return listener.Addr().String()
}

func session(output string, addresses ...string) (*ctl.Session, *bytes.Buffer, *bytes.Buffer) {
	out, errs := &bytes.Buffer{}, &bytes.Buffer{}
	return ctl.NewSession(ctl.Options{Addresses: addresses, Output: output, Wait: time.Second, Writer: out, ErrorWriter: errs}), out, errs
}

func TestALostAnswerIsRepeatedWithTheSameID(t *testing.T) {
	is := is.New(t)
	fake := startFake(t, operatorapi.Response{Outcome: operatorapi.Applied, Revision: 9})
	operator, _, _ := session(ctl.OutputTable, broken(t), fake.address)
	is.Equal(operator.Run(t.Context(), "drain instance a"), ctl.ExitOK)
	is.True(fake.requests[0].Repeat)
	is.True(fake.requests[0].ID != "")
	is.Equal(operator.Run(t.Context(), "undrain instance a"), ctl.ExitOK)
	is.Equal(fake.requests[1].ReadRevision, uint64(9)) // conditional on what the operator saw
	is.True(fake.requests[1].ID != fake.requests[0].ID)
}

func TestNoAnswerAtAllNamesTheSettlingCommand(t *testing.T) {
	is := is.New(t)
	operator, _, errs := session(ctl.OutputTable, broken(t))
	is.Equal(operator.Run(t.Context(), "drain instance a"), ctl.ExitUnknown)
	is.True(strings.Contains(errs.String(), "to settle it: wisteriahaven ctl --id "))
	is.Equal(operator.Run(t.Context(), "show rules"), ctl.ExitFailure)
	is.Equal(operator.Run(t.Context(), "shwo rules"), ctl.ExitUsage)
	is.Equal(operator.Run(t.Context(), "apply no-such-file.json"), ctl.ExitUsage)
}

func TestExitCodes(t *testing.T) {
	pending := &operatorapi.Propagation{Pending: []operatorapi.InstanceRevision{{Instance: "b", DataCentre: "s1", Unreachable: "timeout"}}}
	for _, test := range []struct {
		response operatorapi.Response
		code     int
		prints   string
	}{
		{operatorapi.Response{Outcome: operatorapi.Applied, Propagation: pending}, ctl.ExitPending, "not yet on instance b (s1): timeout"},
		{operatorapi.Response{Outcome: operatorapi.Unchanged}, ctl.ExitOK, "unchanged"},
		{operatorapi.Response{Outcome: operatorapi.Conflict, Failure: &operatorapi.Failure{Code: fault.CommandConflict, Reason: "read revision 1"}}, ctl.ExitConflict, "read revision 1"},
		{operatorapi.Response{Outcome: operatorapi.NotApplied, Failure: &operatorapi.Failure{Code: fault.NotApplied}}, ctl.ExitNotApplied, "not-applied"},
		{operatorapi.Response{Outcome: operatorapi.Unknown, RepeatCommand: "repeat it", Failure: &operatorapi.Failure{Code: fault.CommandOutcomeUnknown}}, ctl.ExitUnknown, "to settle it: repeat it"},
		{operatorapi.Response{Outcome: operatorapi.Rejected, Failure: &operatorapi.Failure{Code: fault.CommandInvalid}}, ctl.ExitRejected, "rejected"},
		{operatorapi.Response{Outcome: operatorapi.Rejected, Failure: &operatorapi.Failure{Code: fault.CommandSyntax}}, ctl.ExitUsage, "rejected"},
		{operatorapi.Response{Outcome: operatorapi.Rejected, Failure: &operatorapi.Failure{Code: fault.PlatformUnavailable, Action: "check the platform"}}, ctl.ExitFailure, "check the platform"},
	} {
		t.Run(string(test.response.Outcome), func(t *testing.T) {
			is := is.New(t)
			operator, out, errs := session(ctl.OutputTable, startFake(t, test.response).address)
			is.Equal(operator.Run(t.Context(), "drain instance a"), test.code)
			is.True(strings.Contains(out.String()+errs.String(), test.prints))
		})
	}
}

func TestOutputs(t *testing.T) {
	var cell command.Cell
	is := is.New(t)
	is.NoErr(json.Unmarshal([]byte("12"), &cell))
	table := &command.Table{
		Columns: []command.Column{{Name: "name"}, {Name: "slots", Unit: "requests"}},
		Rows:    []command.Row{{command.Cell{}, cell}},
	}
	response := operatorapi.Response{Outcome: operatorapi.Answered, Result: command.Result{Table: table}}
	operator, out, _ := session(ctl.OutputTable, startFake(t, response).address)
	is.Equal(operator.Run(t.Context(), "show rules"), ctl.ExitOK)
	is.Equal(out.String(), "name  slots (requests)\n                    12\n(1)\n")
	operator, out, _ = session(ctl.OutputJSON, startFake(t, response).address)
	is.Equal(operator.Run(t.Context(), "show rules"), ctl.ExitOK)
	var decoded struct {
		Result struct{ Rows []struct{ Slots int } }
	}
	is.NoErr(json.Unmarshal(out.Bytes(), &decoded))
	is.Equal(decoded.Result.Rows[0].Slots, 12)
}

func TestPromptHistory(t *testing.T) {
	is := is.New(t)
	fake := startFake(t, operatorapi.Response{Outcome: operatorapi.Answered})
	operator, out, errs := session(ctl.OutputTable, fake.address)
	is.Equal(operator.Prompt(t.Context(), strings.NewReader("show rules\nshow firms\n!1\n!!\n!9\nhistory\nexit\nshow models\n")), ctl.ExitOK)
	var commands []string
	for _, request := range fake.requests {
		commands = append(commands, request.Command)
	}
	is.Equal(commands, []string{"show rules", "show firms", "show rules", "show rules"})
	is.True(strings.Contains(out.String(), "   2  show firms"))
	is.True(strings.Contains(errs.String(), "no such line"))
}

func TestScriptKeepsPositionsAndStopsAtTheFirstFailure(t *testing.T) {
	is := is.New(t)
	fake := startFake(t, operatorapi.Response{Outcome: operatorapi.Unchanged}, operatorapi.Response{Outcome: operatorapi.Conflict, Failure: &operatorapi.Failure{}})
	operator, _, errs := session(ctl.OutputTable, fake.address)
	script := "drain instance a # the first\n\n  drain instance b; drain instance c"
	is.Equal(operator.RunScript(t.Context(), script), ctl.ExitConflict)
	is.Equal(len(fake.requests), 2)
	is.Equal(fake.requests[1].Command, "\n\n  drain instance b")
	is.Equal(operator.RunScript(t.Context(), "show rules\nshwo"), ctl.ExitUsage)
	is.Equal(len(fake.requests), 2) // nothing runs of a script that does not parse
	is.True(strings.Contains(errs.String(), "line 2, column 1"))
}

func TestWatch(t *testing.T) {
	is := is.New(t)
	operator, out, _ := session(ctl.OutputTable, startFake(t).address)
	is.Equal(operator.Watch(t.Context(), ctl.WatchOptions{Interval: time.Millisecond, Count: 2}), ctl.ExitOK)
	is.Equal(strings.Count(out.String(), "instances 1/2 ready, revision 7-7"), 2) // plain lines
	is.True(strings.Contains(out.String(), "refused overloaded 3"))
	is.True(!strings.Contains(out.String(), "\x1b"))
	out.Reset()
	is.Equal(operator.Watch(t.Context(), ctl.WatchOptions{Count: 1, Terminal: true}), ctl.ExitOK)
	is.True(strings.HasPrefix(out.String(), "\x1b[H"))
	is.True(strings.Contains(out.String(), "no answer"))
}

func TestCheck(t *testing.T) {
	is := is.New(t)
	var out, errs bytes.Buffer
	is.Equal(ctl.Check([]string{"../examples/bavaria/estate.json", "../examples/bavaria/instances/kempten-1-a.json"}, &out, &errs), ctl.ExitOK)
	is.Equal(ctl.Check([]string{"testdata/wrong-settings.json"}, &out, &errs), ctl.ExitUsage)
	is.True(strings.Contains(errs.String(), "testdata/wrong-settings.json:3:2: regoin: unknown field"))
}

func TestCheckTogether(t *testing.T) {
	is := is.New(t)
	const instance = "../examples/bavaria/instances/kempten-1-a.json"
	var out, errs bytes.Buffer
	is.Equal(ctl.Check([]string{instance, instance}, &out, &errs), ctl.ExitUsage)
	is.Equal(strings.Count(errs.String(), "has the same"), 5)
	is.True(strings.Contains(errs.String(), instance+":7:2: instance: "))
	errs.Reset()
	is.Equal(ctl.Check([]string{instance, "../examples/portugal/estate.json"}, &out, &errs), ctl.ExitUsage)
	is.True(strings.Contains(errs.String(), "data_centre: the estate declares no data centre"))
	is.Equal(ctl.Check([]string{instance, "../examples/bavaria/estate.json"}, &out, &errs), ctl.ExitOK)
}
