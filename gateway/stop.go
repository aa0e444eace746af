package gateway

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/event"
)

// Times of a planned stop.
const (
	// noticed is when the balancer no longer sends new connections: it asks
	// once a second and needs two refusals.
	noticed = 2600 * time.Millisecond
	// closing is how long before the end the remaining answers are cut, so
	// that the clients learn of it from a closed connection.
	closing = 300 * time.Millisecond
	// stopStep is the time between two looks at the remaining requests.
	stopStep = 50 * time.Millisecond
)

// Stop is a planned stop: the instance becomes unready and goes on serving
// until the balancer has noticed and every request has ended, at most until
// shortly before the end of the time that the process has.
func (g *Gateway) Stop() {
	begun := time.Now()
	end := begun.Add(time.Duration(g.stopTime.Load()) - closing)
	g.leaving.Store(true)
	g.ingress.DisableKeepAlive()
	g.forwarder.Stop(begun.Add(noticed), end)
	g.peers.Leave()
	event.Log(g.logger, event.ProcessStopping).Int("in_flight", g.ingress.Active()).Int("connections", g.ingress.Connections()).Send()
	for time.Now().Before(end) {
		time.Sleep(stopStep)
		if time.Since(begun) < noticed {
			continue
		}
		g.ingress.CloseIdle()
		if g.ingress.Active() == 0 && g.ingress.Connections() == 0 {
			break
		}
	}
	cut := g.ingress.Active()
	g.Abort()
	event.Log(g.logger, event.ProcessStopped).Int("cut", cut).Dur("took_ms", time.Since(begun)).Send()
}

// Abort ends the instance at once.
func (g *Gateway) Abort() {
	g.aborted.Do(func() {
		for _, listener := range g.listeners {
			_ = listener.Close() // The process ends.
		}
		g.ingress.Abort()
		g.duties.Cancel()
	})
}
