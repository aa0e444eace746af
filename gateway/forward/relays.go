package forward

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/wisteriahaven/wisteriahaven/gateway/directory"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
	"github.com/wisteriahaven/wisteriahaven/gateway/upstream"
)

// maxRelays is the maximum number of peers to which one request is handed.
const maxRelays = 3

// relays holds the state of requests that are handed to peers and come from them. It is safe for concurrent use.
type relays struct {
	instance string
	port     string
	targets  func(service string) []peers.RelayTarget
	pool     *upstream.Pool
	// limit bounds the requests of peers that are served at the same time, received counts them. At most half
	// of it are handed to one peer.
	limit    atomic.Int64
	received atomic.Int64
	mu       sync.Mutex
	// inFlight holds the number of requests that each peer has, by its name.
	inFlight map[string]int
}

// hop is the handing of one request to a peer.
type hop struct {
	// peer has the peer's name and address. Its software version is that of the backend server that answers.
	peer directory.Server
	// attempts is the number of backend servers to which the peer may send the request.
	attempts int
	relays   *relays
	// reason is why a stream is handed over.
	reason relayReason
}

func newRelays(options Options) *relays {
	r := &relays{instance: options.Instance, targets: options.RelayTargets, pool: upstream.NewPool(), inFlight: make(map[string]int)}
	if options.RelayPort > 0 {
		r.port = strconv.Itoa(int(options.RelayPort))
	}
	r.limit.Store(int64(options.RelayedRequests))
	return r
}

// enabled reports whether requests are handed to peers.
func (r *relays) enabled() bool { return r.port != "" }

// choose returns a hop to one of the nearest peers that may serve a service: of two random ones, the one with
// fewer requests of this instance. It returns nil when there is none that tried reports false for.
func (r *relays) choose(service string, tried func(id string) bool) *hop {
	if !r.enabled() {
		return nil
	}
	targets := r.targets(service)
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *peers.RelayTarget
	for i := range targets {
		target := &targets[i]
		if tried(target.Instance) || int64(r.inFlight[target.Instance]) >= max(1, r.limit.Load()/2) {
			continue
		}
		if best == nil {
			best = target
			continue
		}
		if target.DataCentre == best.DataCentre && r.inFlight[target.Instance] < r.inFlight[best.Instance] {
			best = target
		}
		break
	}
	if best == nil {
		return nil
	}
	r.inFlight[best.Instance]++
	address := net.JoinHostPort(best.Address.String(), r.port)
	return &hop{peer: directory.Server{ID: best.Instance, Address: address, DataCentre: best.DataCentre}, relays: r}
}

// end ends the hop.
func (h *hop) end() {
	h.relays.mu.Lock()
	defer h.relays.mu.Unlock()
	if h.relays.inFlight[h.peer.ID]--; h.relays.inFlight[h.peer.ID] <= 0 {
		delete(h.relays.inFlight, h.peer.ID)
	}
}
