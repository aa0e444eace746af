package forward

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// TestPlannedStopAdmitsWhatItCanAnswer guards against requests that are admitted
// during a planned stop of eight seconds and then cut by the end of the process.
func TestPlannedStopAdmitsWhatItCanAnswer(t *testing.T) {
	is := is.New(t)
	begun := time.Unix(1_700_000_000, 0)
	at := func(seconds float64) time.Time { return begun.Add(time.Duration(seconds * float64(time.Second))) }
	stop := &plannedStop{streamsUntil: at(2.6), end: at(7.7)}
	usual := usualTimes{stream: 4 * time.Second, call: 30 * time.Millisecond}
	stream := &job{route: &route.Route{Kind: route.Stream}, deadline: at(30)}
	is.True(stop.admits(at(0.1), stream, usual))
	is.True(!stop.admits(at(0.1), stream, usualTimes{stream: 8 * time.Second})) // would be cut
	is.True(!stop.admits(at(2.7), stream, usual))                               // the balancer has detected the stop
	call := &job{route: &route.Route{Kind: route.AtMostOnce}, deadline: at(6.5)}
	is.True(stop.admits(at(5), call, usual))
	is.Equal(call.deadline, at(6.5))
	call.deadline = at(9)
	is.True(stop.admits(at(7), call, usual))
	is.Equal(call.deadline, at(7.6)) // answered before the process ends
	call.deadline = at(9)
	is.True(!stop.admits(at(7.3), call, usual))
	call.deadline = at(9)
	is.True(!stop.admits(at(7), call, usualTimes{call: time.Second})) // would be cut
	call.deadline = at(7.5)
	is.True(stop.admits(at(7), call, usualTimes{call: time.Second})) // its client waits no longer
}
