package guard

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/quarantine"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// Parameters of the exchange between instances.
const (
	exchangeInterval = 500 * time.Millisecond
	exchangeFanOut   = 3
	exchangeTimeout  = 2 * time.Second
)

// Peers sends digests to the other instances.
type Peers interface {
	// Addresses returns the addresses of the other live instances.
	Addresses() []string
	// Suspicions sends a digest to a peer and returns the peer's digest.
	Suspicions(ctx context.Context, address string, digest []byte) ([]byte, error)
}

// Exchange exchanges digests of suspects and quarantines with randomly chosen
// peers until the context ends. While there are none, it sends nothing.
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
	digest := g.exportDigest()
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

// HandleDigest imports a peer's digest and returns this instance's digest.
func (g *Guard) HandleDigest(_ context.Context, body []byte) ([]byte, error) {
	var digest quarantine.Digest
	if err := json.Unmarshal(body, &digest); err != nil {
		return nil, fault.Wrap(fault.PeerMessage, "serving/guard", "malformed digest", err)
	}
	g.importDigest(digest)
	answer, err := json.Marshal(g.exportDigest())
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "serving/guard", "encode the digest", err)
	}
	return answer, nil
}
