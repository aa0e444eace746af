package call_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	decision "github.com/wisteriahaven/wisteriahaven/decision/call"
	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore/httpstore"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/serving/call"
	"github.com/wisteriahaven/wisteriahaven/serving/explain"
	"github.com/wisteriahaven/wisteriahaven/serving/guard"
	"github.com/wisteriahaven/wisteriahaven/standin/objectapi"
	standin "github.com/wisteriahaven/wisteriahaven/standin/service"
	"github.com/wisteriahaven/wisteriahaven/transport/service"
)

// fixture holds two instances' runners with an object store and one backend
// server on loopback.
type fixture struct {
	is      *is.I
	store   *objectapi.Server
	server  *standin.Server
	runners []*call.Runner
	members *members
	// pause delays the claimant between its claim and the dispatch.
	pause time.Duration
}

// members holds every instance's view of the live instances.
type members struct {
	mu    sync.Mutex
	views map[string][]string
}

// memberView is one instance's view.
type memberView struct {
	members  *members
	instance string
}

func (v memberView) InRegion(string) []string {
	v.members.mu.Lock()
	defer v.members.mu.Unlock()
	return v.members.views[v.instance]
}

// localForwarder forwards claim operations to a runner in the same process.
type localForwarder struct{ fixture *fixture }

func (d localForwarder) Forward(ctx context.Context, instance string, shard claim.Shard, operation claim.Operation) (claim.Answer, error) {
	index, err := strconv.Atoi(instance)
	if err != nil {
		return claim.Answer{}, fault.New(fault.PeerUnreachable, "no instance "+instance)
	}
	return d.fixture.runners[index].Operate(ctx, shard, operation)
}

func (f *fixture) Current() *estate.Configuration {
	return &estate.Configuration{Firms: []estate.Firm{{Name: "firm", HomeRegion: "home"}}}
}

func (f *fixture) Route(request serving.RouteRequest) (serving.Route, error) {
	time.Sleep(f.pause)
	if len(request.Exclude) > 0 {
		return serving.Route{}, fault.New(fault.NoBackendServer, "no other server")
	}
	return serving.Route{
		Server: estate.BackendServer{Name: "server", Address: f.server.Address()},
		Done:   func(serving.AttemptOutcome) {},
	}, nil
}

type ticket struct{}

func (ticket) CountTokens(int) {}
func (ticket) Release()        {}

func (f *fixture) Admit(context.Context, serving.AdmissionRequest) (serving.Ticket, error) {
	return ticket{}, nil
}

func newFixture(t *testing.T) *fixture {
	is := is.New(t)
	store, err := objectapi.Start(objectapi.Settings{})
	is.NoErr(err)
	server, err := standin.Start(standin.Settings{Name: "server"})
	is.NoErr(err)
	f := &fixture{is: is, store: store, server: server, members: &members{views: make(map[string][]string)}}
	for index := range 2 {
		name := strconv.Itoa(index)
		f.members.views[name] = []string{"0", "1"}
		f.runners = append(f.runners, call.New(call.Parts{
			Instance:      name,
			Configuration: f,
			Router:        f,
			Admitter:      f,
			Recorder:      explain.NewRecorder(64),
			Guard:         guard.AllowAll{},
			Services:      service.NewClient(),
			Store:         httpstore.New(store.URL()),
			Instances:     memberView{members: f.members, instance: name},
			Forwarder:     localForwarder{fixture: f},
			Logger:        zerolog.Nop(),
			Call:          callSettings(),
			Claim:         claim.DefaultSettings(),
		}))
	}
	t.Cleanup(func() {
		for _, runner := range f.runners {
			runner.Close()
		}
		server.Stop()
		store.Stop()
	})
	return f
}

// dispatchWindow is short, so that a test can let it pass.
const dispatchWindow = time.Second

func callSettings() decision.Settings {
	settings := decision.DefaultSettings()
	settings.DispatchWindow = dispatchWindow
	return settings
}

// operation is a non-idempotent operation.
var operation = estate.Operation{Name: "hold", ClaimRetention: estate.Duration(time.Hour)}

// call submits a call with a key to the runner of an instance.
func (f *fixture) call(instance int, key, body string, operation estate.Operation) (serving.CallResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return f.runners[instance].Call(ctx, serving.CallRequest{
		RequestID: "request",
		Key:       key,
		Account:   estate.ClientAccount{Name: "account", Firm: "firm"},
		Service:   estate.Service{Name: "stock", Kind: estate.ServiceCall},
		Operation: operation,
		Body:      []byte(body),
	})
}

// drain waits until the outcome of every call is recorded or its claim released.
func (f *fixture) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, runner := range f.runners {
		f.is.NoErr(runner.Drain(ctx))
	}
}

func execution(err error) fault.Execution {
	if err == nil {
		return ""
	}
	return fault.From(err).Execution
}
