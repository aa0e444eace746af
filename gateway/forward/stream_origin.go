package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

const (
	// askPeersTimeout bounds the wait for the answers of peers: a round trip between regions takes
	// 60 ms.
	askPeersTimeout = 150 * time.Millisecond
	// loadStreamsTimeout bounds the reading of records from the store.
	loadStreamsTimeout = 500 * time.Millisecond
)

// recordedOrigin is what records state about the origin of a stream that its client resumes.
type recordedOrigin struct {
	streamversion.Origin
	// source is where the record was found; empty when there is none.
	source string
	// severalRecently is set when the store shows that several versions served in the last minutes.
	severalRecently bool
}

// findOrigin looks for the record of a stream that its client resumes: in those of this instance, of
// its peers, and in the store.
func (f *Forwarder) findOrigin(ctx context.Context, j *job) recordedOrigin {
	if j.relayed != nil && j.relayed.Version != "" {
		return recordedOrigin{Origin: streamversion.Origin{Service: j.relayed.Service, Version: j.relayed.Version}, source: "relay"}
	}
	if j.request.FirstAttempt == "" || j.route.Kind != route.Stream {
		return recordedOrigin{}
	}
	key := streamversion.KeyOf(j.request.FirstAttempt)
	if origin, known, _ := f.versions.lookUp(key); known {
		return recordedOrigin{Origin: origin, source: "record"}
	}
	if origin, known := f.askedOrigin(ctx, key); known {
		return recordedOrigin{Origin: origin, source: "record"}
	}
	ctx, cancel := context.WithTimeout(ctx, loadStreamsTimeout)
	defer cancel()
	several, err := f.loadStreams(ctx)
	if err != nil {
		return recordedOrigin{}
	}
	if origin, known, _ := f.versions.lookUp(key); known {
		return recordedOrigin{Origin: origin, source: "archive", severalRecently: several}
	}
	return recordedOrigin{severalRecently: several}
}

// askedOrigin asks peers for the record of a stream.
func (f *Forwarder) askedOrigin(ctx context.Context, key streamversion.Key) (streamversion.Origin, bool) {
	if !f.askPeers(key) {
		return streamversion.Origin{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, askPeersTimeout)
	defer cancel()
	return f.versions.await(ctx, key)
}
