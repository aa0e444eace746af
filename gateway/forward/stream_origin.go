package forward

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
	"github.com/wisteriahaven/wisteriahaven/internal/pause"
)

const (
	// askPeersTimeout bounds the wait for the answers of peers: a round trip between regions takes
	// 60 ms.
	askPeersTimeout = 150 * time.Millisecond
	// loadStreamsTimeout bounds the reading of records from the store.
	loadStreamsTimeout = 500 * time.Millisecond
	// catchUpTimeout bounds the wait for a list of servers that peers have already, catchUpInterval is the time
	// between two checks.
	catchUpTimeout  = 400 * time.Millisecond
	catchUpInterval = 20 * time.Millisecond
)

// StreamInquiry is a question to peers for the record of a stream.
type StreamInquiry interface {
	// Asked reports whether there is anyone to ask.
	Asked() bool
	// Answered reports whether most of the peers have answered, if there are any.
	Answered() bool
	// Behind reports whether a peer that has answered has a later list of servers than this instance.
	Behind() bool
}

// recordedOrigin is what records state about the origin of a stream that its client resumes.
type recordedOrigin struct {
	streamversion.Origin
	// source is where the record was found; empty when there is none.
	source string
	// severalRecently is set when the store shows that several versions served in the last minutes.
	severalRecently bool
	// inStep is set when peers or the store show that this instance knows all versions.
	inStep bool
}

// findOrigin looks for the record of a stream that its client resumes: in those of this instance, of
// its peers, and in the store.
func (f *Forwarder) findOrigin(ctx context.Context, j *job) recordedOrigin {
	if j.relayed != nil && j.relayed.Version != "" {
		return recordedOrigin{Origin: streamversion.Origin{Service: j.relayed.Service, Version: j.relayed.Version}, source: "relay"}
	}
	if j.route.Kind != route.Stream {
		return recordedOrigin{}
	}
	if j.request.FirstAttempt == "" {
		if j.request.Position > 0 {
			f.readNewServers()
		}
		return recordedOrigin{}
	}
	key := streamversion.KeyOf(j.request.FirstAttempt)
	if origin, known, _ := f.versions.lookUp(key); known {
		return recordedOrigin{Origin: origin, source: "record"}
	}
	inquiry := f.askPeers(key)
	if origin, known := f.askedOrigin(ctx, inquiry, key); known {
		return recordedOrigin{Origin: origin, source: "record"}
	}
	several, err := f.loadOrigins(ctx)
	if origin, known, _ := f.versions.lookUp(key); known {
		return recordedOrigin{Origin: origin, source: "archive", severalRecently: several}
	}
	return recordedOrigin{severalRecently: several, inStep: (err == nil || inquiry.Answered()) && f.catchUp(ctx, inquiry)}
}

// readNewServers adds the servers that the store lists now, before the only version that is known here is taken for the one
// that began a stream. Without an answer of the store the list stays as it is.
func (f *Forwarder) readNewServers() {
	if f.catchUpServers == nil {
		return
	}
	if err := f.catchUpServers(); err != nil {
		f.meters.count("streams.version.not_caught_up")
	}
}

// loadOrigins loads the records in the store, and reports whether it shows that several versions served in the last minutes.
func (f *Forwarder) loadOrigins(ctx context.Context) (several bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, loadStreamsTimeout)
	defer cancel()
	return f.loadStreams(ctx)
}

// catchUp waits until this instance has the list of servers of the peers that have answered, and reports whether it has.
func (f *Forwarder) catchUp(ctx context.Context, inquiry StreamInquiry) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for inquiry.Behind() {
		if !pause.For(ctx, catchUpInterval) {
			return false
		}
	}
	return true
}

// askedOrigin waits for the answer of peers that were asked for the record of a stream.
func (f *Forwarder) askedOrigin(ctx context.Context, inquiry StreamInquiry, key streamversion.Key) (streamversion.Origin, bool) {
	if !inquiry.Asked() {
		return streamversion.Origin{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, askPeersTimeout)
	defer cancel()
	return f.versions.await(ctx, key)
}
