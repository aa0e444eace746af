package guard

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/quarantine"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Bounds of the exchange between instances.
const (
	exchangeInterval = 500 * time.Millisecond
	exchangeFanOut   = 3
	exchangeTimeout  = 2 * time.Second
)

// Peers reaches the other instances.
type Peers interface {
	// Addresses returns the addresses of the other live instances.
	Addresses() []string
	// Suspicions sends a digest to a peer and returns the peer's own.
	Suspicions(ctx context.Context, address string, digest []byte) ([]byte, error)
}

// Exchange tells other instances of suspects and quarantines until the context
// ends. While there are none, nothing is sent.
func (g *Guard) Exchange(ctx context.Context, peers Peers) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.exchangeOnce(ctx, peers)
		}
	}
}

func (g *Guard) exchangeOnce(ctx context.Context, peers Peers) {
	digest := g.export()
	if digest.Empty() {
		return
	}
	body, err := json.Marshal(digest)
	if err != nil {
		return
	}
	addresses := peers.Addresses()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(exchangeFanOut, len(addresses))] {
		bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
		answer, err := peers.Suspicions(bounded, address, body)
		cancel()
		if err == nil {
			_, _ = g.HandleDigest(ctx, answer)
		}
	}
}

// Answer takes a peer's digest and returns this instance's own.
func (g *Guard) HandleDigest(_ context.Context, body []byte) ([]byte, error) {
	var digest quarantine.Digest
	if err := json.Unmarshal(body, &digest); err != nil {
		return nil, fault.Wrap(fault.PeerMessage, "serving/guard", "malformed digest", err)
	}
	g.take(digest)
	answer, err := json.Marshal(g.export())
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "serving/guard", "encode digest", err)
	}
	return answer, nil
}
