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

// bench is two callers with a platform and one backend server on loopback.
type bench struct {
	is      *is.I
	store   *objectapi.Server
	server  *standin.Server
	callers []*call.Runner
	members *members
	// pause holds the claimant up between its claim and the sending.
	pause time.Duration
}

// members is every instance's view of the live instances.
type members struct {
	mu    sync.Mutex
	views map[string][]string
}

// view is one instance's view.
type view struct {
	members  *members
	instance string
}

func (v view) InRegion(string) []string {
	v.members.mu.Lock()
	defer v.members.mu.Unlock()
	return v.members.views[v.instance]
}

// direct takes claim operations to a caller in the same process.
type direct struct{ bench *bench }

func (d direct) Forward(ctx context.Context, instance string, shard claim.Shard, operation claim.Operation) (claim.Answer, error) {
	index, err := strconv.Atoi(instance)
	if err != nil {
		return claim.Answer{}, fault.New(fault.PeerUnreachable, "no instance "+instance)
	}
	return d.bench.callers[index].Operate(ctx, shard, operation)
}

func (b *bench) Current() *estate.Configuration {
	return &estate.Configuration{Firms: []estate.Firm{{Name: "firm", HomeRegion: "home"}}}
}

func (b *bench) Route(request serving.RouteRequest) (serving.Route, error) {
	time.Sleep(b.pause)
	if len(request.Exclude) > 0 {
		return serving.Route{}, fault.New(fault.NoBackendServer, "no other server")
	}
	return serving.Route{
		Server: estate.BackendServer{Name: "server", Address: b.server.Address()},
		Done:   func(serving.AttemptOutcome) {},
	}, nil
}

type ticket struct{}

func (ticket) CountTokens(int) {}
func (ticket) Release()        {}

func (b *bench) Admit(context.Context, serving.AdmissionRequest) (serving.Ticket, error) {
	return ticket{}, nil
}

func newBench(t *testing.T) *bench {
	is := is.New(t)
	store, err := objectapi.Start(objectapi.Settings{})
	is.NoErr(err)
	server, err := standin.Start(standin.Settings{Name: "server"})
	is.NoErr(err)
	b := &bench{is: is, store: store, server: server, members: &members{views: make(map[string][]string)}}
	for index := range 2 {
		name := strconv.Itoa(index)
		b.members.views[name] = []string{"0", "1"}
		b.callers = append(b.callers, call.New(call.Parts{
			Instance:      name,
			Configuration: b,
			Router:        b,
			Admitter:      b,
			Recorder:      explain.NewRecorder(64),
			Guard:         guard.AllowAll{},
			Services:      service.NewClient(),
			Store:         httpstore.New(store.URL()),
			Instances:     view{members: b.members, instance: name},
			Forwarder:     direct{bench: b},
			Logger:        zerolog.Nop(),
			Call:          callSettings(),
			Claim:         claim.DefaultSettings(),
		}))
	}
	t.Cleanup(func() {
		for _, caller := range b.callers {
			caller.Close()
		}
		server.Stop()
		store.Stop()
	})
	return b
}

// dispatchWindow is short, so that a test can sleep through it.
const dispatchWindow = time.Second

func callSettings() decision.Settings {
	settings := decision.DefaultSettings()
	settings.DispatchWindow = dispatchWindow
	return settings
}

// operation is a non-idempotent one.
var operation = estate.Operation{Name: "hold", ClaimRetention: estate.Duration(time.Hour)}

// call submits a key to one of the callers.
func (b *bench) call(caller int, key, body string, operation estate.Operation) (serving.CallResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return b.callers[caller].Call(ctx, serving.CallRequest{
		RequestID: "request",
		Key:       key,
		Account:   estate.ClientAccount{Name: "account", Firm: "firm"},
		Service:   estate.Service{Name: "stock", Kind: estate.ServiceCall},
		Operation: operation,
		Body:      []byte(body),
	})
}

// settle waits until every call is recorded or released.
func (b *bench) settle() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, caller := range b.callers {
		b.is.NoErr(caller.Drain(ctx))
	}
}

func execution(err error) fault.Execution {
	if err == nil {
		return ""
	}
	return fault.From(err).Execution
}
