package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/poison"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/peers"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// Guards against requests that are sent although they were quarantined while they waited.
func TestQuarantineEndsAWait(t *testing.T) {
	is := is.New(t)
	options := Options{Group: func() peers.Group { return peers.Group{Members: 1, Instances: 1} }, AnnouncePoison: func() {}, Logger: zerolog.Nop(), Metrics: metrics.NewRegistry()}
	f := &Forwarder{state: discovery.NewState(), meters: newMeters(options.Metrics)}
	f.poison = newPoisonGuard(options, f.meters)
	j := &job{route: &route.Route{Kind: route.Stream}, table: &route.Table{}, run: poison.Run{Request: 7}}
	is.True(f.invalidated(j) == nil)
	f.LearnQuarantines([]poison.Quarantine{{Keys: []poison.Key{7}, Since: time.Now()}})
	answer := f.invalidated(j)
	is.True(answer != nil)
	is.Equal(answer.code, fault.RequestQuarantined)
	is.Equal(answer.status, 503)
}
