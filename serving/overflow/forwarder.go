package overflow

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/wisteriahaven/wisteriahaven/decision/overflow"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
	"github.com/wisteriahaven/wisteriahaven/transport/sse"
)

// Limits of one request.
const (
	// maxAttempts is the maximum number of instances tried for one request.
	maxAttempts = 2
	dialTimeout = time.Second
	// headerTimeout limits the wait for the header of the answer, which includes
	// the time in the other instance's queue.
	headerTimeout = 15 * time.Second
	// defaultExclusion is how long an instance that refused is excluded when its
	// answer has no Retry-After.
	defaultExclusion = time.Second
)

const completionsPath = "/v1/completions"

// Rules applies the in-force rules and counts traffic between regions.
type Rules interface {
	// Allowed returns a predicate that reports whether the rules let the request
	// be served in a data centre of a region.
	Allowed(request serving.RouteRequest) func(dataCentre, region string) bool
	// CountCrossRegion counts bytes of an answer from another region.
	CountCrossRegion(account string, bytes int)
}

// Forwarder implements serving.Overflow. It is safe for concurrent use.
type Forwarder struct {
	region  string
	rules   Rules
	peers   func() []overflow.Peer
	dialer  net.Dialer
	started time.Time

	mu      sync.Mutex
	chooser *overflow.Chooser
}

// New returns a forwarder for an instance in the given data centre and region.
// The function peers returns the live entry instances.
func New(dataCentre, region string, rules Rules, peers func() []overflow.Peer) *Forwarder {
	seed := rand.Uint64()
	return &Forwarder{
		region: region, rules: rules, peers: peers,
		dialer: net.Dialer{Timeout: dialTimeout}, started: time.Now(),
		chooser: overflow.NewChooser(dataCentre, region, rand.New(rand.NewPCG(seed, seed))),
	}
}

// Forward implements serving.Overflow.
func (f *Forwarder) Forward(ctx context.Context, request serving.OverflowRequest) (serving.OverflowAnswer, error) {
	allowed := f.rules.Allowed(serving.RouteRequest{
		RequestID: request.RequestID, ClientAccount: request.Account.Name, Firm: request.Account.Firm,
		Service: request.Service, Model: request.Model, Version: request.Version, Purpose: serving.PurposeOverflow,
	})
	f.mu.Lock()
	order := f.chooser.Order(f.now(), request.Hops, f.peers(), allowed)
	f.mu.Unlock()
	execution := fault.ExecutionNotRun
	for _, peer := range order[:min(maxAttempts, len(order))] {
		body, mayRun := f.send(ctx, peer, request)
		if body != nil {
			return serving.OverflowAnswer{ContentType: body.exchange.Header(fasthttp.HeaderContentType), Body: body}, nil
		}
		if mayRun {
			execution = fault.ExecutionUnknown
		}
	}
	return serving.OverflowAnswer{}, fault.New(fault.NoBackendServer, "no instance of another data centre accepted the request").
		WithExecution(execution)
}

// send sends the request to one instance. Without an answer (a nil body) it
// reports whether the instance may have run the request nevertheless.
func (f *Forwarder) send(ctx context.Context, peer overflow.Peer, request serving.OverflowRequest) (body *countedBody, mayRun bool) {
	message := f.newMessage(peer, request)
	defer fasthttp.ReleaseRequest(message)
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(headerTimeout, cancel)
	exchange, sent, err := sse.Post(ctx, &f.dialer, peer.Address, message)
	begun := timer.Stop()
	if err == nil && begun && exchange.Status() == fasthttp.StatusOK {
		return f.newBody(peer, request, exchange, cancel), false
	}
	defer cancel()
	f.exclude(peer, exchange)
	if err != nil {
		return nil, sent
	}
	exchange.Close()
	return nil, exchange.Status() == fasthttp.StatusOK
}

func (f *Forwarder) newMessage(peer overflow.Peer, request serving.OverflowRequest) *fasthttp.Request {
	message := fasthttp.AcquireRequest()
	message.Header.SetMethod(fasthttp.MethodPost)
	message.SetRequestURI("http://" + peer.Address + completionsPath)
	message.Header.SetContentType("application/json")
	for name, value := range request.Headers {
		message.Header.Set(name, value)
	}
	message.Header.Set(serving.HopsHeader, strconv.Itoa(request.Hops+1))
	message.SetBodyRaw(request.Body)
	return message
}

// exclude excludes the instance for its Retry-After or defaultExclusion.
func (f *Forwarder) exclude(peer overflow.Peer, exchange *sse.Exchange) {
	wait := defaultExclusion
	if exchange != nil {
		if seconds, err := strconv.Atoi(exchange.Header(fasthttp.HeaderRetryAfter)); err == nil {
			wait = time.Duration(seconds) * time.Second
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooser.Refused(f.now(), peer.Instance, wait)
}

func (f *Forwarder) newBody(peer overflow.Peer, request serving.OverflowRequest, exchange *sse.Exchange, cancel context.CancelFunc) *countedBody {
	body := &countedBody{exchange: exchange, cancel: cancel}
	if peer.Region != f.region {
		body.count = func(bytes int) { f.rules.CountCrossRegion(request.Account.Name, bytes) }
	}
	return body
}

func (f *Forwarder) now() time.Duration { return time.Since(f.started) }
