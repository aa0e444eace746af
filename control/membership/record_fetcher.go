package membership

import (
	"context"
	"math/rand/v2"
	"time"

	decision "github.com/wisteriahaven/wisteriahaven/decision/membership"
	"github.com/wisteriahaven/wisteriahaven/transport/gossip"
)

// Intervals of the record fetches.
const (
	// fetchInterval is the interval while fetches return new members.
	fetchInterval = time.Second
	// idleFetchInterval is the interval otherwise.
	idleFetchInterval = 5 * time.Minute
	// maxFetchesWithoutNew is the number of fetches in a row without a new member after which
	// the longer interval applies.
	maxFetchesWithoutNew = 3
)

// RecordSource fetches the encoded member records of the instance at an address. *peer.Client
// implements it.
type RecordSource interface {
	Members(ctx context.Context, address string) ([]byte, error)
}

// RecordFetcher is the duty that fetches whole membership tables from other instances. A digest
// carries only a few records, so that an instance that has just started would need long to learn
// all members of a large data centre.
type RecordFetcher struct {
	service *Service
	peers   RecordSource
}

// NewRecordFetcher returns the duty for a service.
func NewRecordFetcher(service *Service, peers RecordSource) *RecordFetcher {
	return &RecordFetcher{service: service, peers: peers}
}

// Run fetches records until the context ends.
func (f *RecordFetcher) Run(ctx context.Context) {
	fetchesWithoutNew, members := 0, 0
	for ctx.Err() == nil {
		interval := fetchInterval
		if fetchesWithoutNew >= maxFetchesWithoutNew {
			interval = idleFetchInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
		if !f.fetch(ctx) {
			continue
		}
		fetchesWithoutNew++
		if count := len(f.service.View().Members); count > members {
			fetchesWithoutNew, members = 0, count
		}
	}
}

// fetch fetches the records of a random live instance of this data centre. It returns false when
// there is no such instance.
func (f *RecordFetcher) fetch(ctx context.Context) bool {
	view := f.service.View()
	var addresses []string
	for _, record := range view.Members {
		if record.Live() && record.Peer.DataCentre == view.Self.Peer.DataCentre {
			addresses = append(addresses, record.Peer.Peers)
		}
	}
	if len(addresses) == 0 {
		return false
	}
	body, err := f.peers.Members(ctx, addresses[rand.IntN(len(addresses))])
	if err != nil {
		return true
	}
	if records, err := gossip.DecodeRecords(body); err == nil {
		f.service.requests.Offer(decision.Introduced{Records: records})
	}
	return true
}

// EncodedRecords returns the encoded records of all members and of this instance, with their
// current ages, for another instance's RecordFetcher.
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
