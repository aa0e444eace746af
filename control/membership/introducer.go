package membership

import (
	"context"
	"math/rand/v2"
	"time"

	decision "github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/transport/gossip"
)

// How an instance asks others whom they know.
const (
	// introducePeriod is the time between questions while they bring news.
	introducePeriod = time.Second
	// introduceRest is the time between questions otherwise.
	introduceRest = 5 * time.Minute
	// quietQuestions is how many questions in a row bring nothing before the
	// instance rests.
	quietQuestions = 3
)

// Introductions asks an instance whom it knows. *peer.Client implements it.
type RecordSource interface {
	Members(ctx context.Context, address string) ([]byte, error)
}

// Introducer is the duty that asks others whom they know: digests carry a few
// records each, so that an instance that just started would need long to know
// a large data centre.
type RecordFetcher struct {
	service *Service
	peers   RecordSource
}

// NewIntroducer returns the duty for a service.
func NewRecordFetcher(service *Service, peers RecordSource) *RecordFetcher {
	return &RecordFetcher{service: service, peers: peers}
}

// Run asks until the context ends.
func (i *RecordFetcher) Run(ctx context.Context) {
	quiet, known := 0, 0
	for ctx.Err() == nil {
		pause := introducePeriod
		if quiet >= quietQuestions {
			pause = introduceRest
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if !i.ask(ctx) {
			continue
		}
		quiet++
		if now := len(i.service.View().Members); now > known {
			quiet, known = 0, now
		}
	}
}

// ask asks a random live instance of the own data centre, and reports whether
// there was one.
func (i *RecordFetcher) ask(ctx context.Context) bool {
	view := i.service.View()
	var addresses []string
	for _, record := range view.Members {
		if record.Live() && record.Peer.DataCentre == view.Self.Peer.DataCentre {
			addresses = append(addresses, record.Peer.Peers)
		}
	}
	if len(addresses) == 0 {
		return false
	}
	body, err := i.peers.Members(ctx, addresses[rand.IntN(len(addresses))])
	if err != nil {
		return true
	}
	if records, err := gossip.DecodeRecords(body); err == nil {
		i.service.wishes.Offer(decision.Introduced{Records: records})
	}
	return true
}

// Known answers another instance's question.
func (s *Service) EncodedRecords(context.Context) ([]byte, error) {
	view := s.View()
	elapsed := time.Since(view.Taken)
	records := make([]decision.Record, 0, len(view.Members)+1)
	for _, record := range view.Members {
		record.Age += elapsed
		records = append(records, record)
	}
	return gossip.EncodeRecords(append(records, view.Self))
}
