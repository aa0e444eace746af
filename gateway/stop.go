package gateway

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/event"
)

// Times of a planned stop.
const (
	// balancerDetectionTime is the time until the balancer stops sending new
	// connections: it checks once a second and needs two failed checks.
	balancerDetectionTime = 2600 * time.Millisecond
	// closeMargin is how long before the end of the process the remaining answers
	// are cut, so that the clients are informed by a closed connection.
	closeMargin = 300 * time.Millisecond
	// stopPollInterval is the time between two checks for remaining requests.
	stopPollInterval = 50 * time.Millisecond
)

// Stop performs a planned stop: the instance becomes unready and keeps serving
// until the balancer has detected this and all requests and connections have
// ended, at most until shortly before the end of the configured stop time.
func (g *Gateway) Stop() {
	begun := time.Now()
	end := begun.Add(time.Duration(g.stopTime.Load()) - closeMargin)
	g.stopping.Store(true)
	g.ingress.DisableKeepAlive()
	g.relay.DisableKeepAlive()
	g.forwarder.Stop(begun.Add(balancerDetectionTime), end)
	g.peers.Leave()
	event.Log(g.logger, event.ProcessStopping).Int("in_flight", g.ingress.Active()).Int("connections", g.ingress.Connections()).Send()
	for time.Now().Before(end) {
		time.Sleep(stopPollInterval)
		if time.Since(begun) < balancerDetectionTime {
			continue
		}
		g.ingress.CloseIdle()
		g.relay.CloseIdle()
		if g.ingress.Connections() == 0 && g.relay.Connections() == 0 {
			break // Connections include those whose request is being read.
		}
	}
	cut := g.ingress.Active() + g.relay.Active()
	g.Abort()
	event.Log(g.logger, event.ProcessStopped).Int("cut", cut).Dur("took_ms", time.Since(begun)).Send()
}

// Abort ends the instance at once: it closes all listeners and connections and
// cancels the background tasks.
func (g *Gateway) Abort() {
	g.abortOnce.Do(func() {
		for _, listener := range g.listeners {
			_ = listener.Close() // The process ends.
		}
		g.ingress.Abort()
		g.relay.Abort()
		g.duties.Cancel()
		// Peers must not take the instance for one that runs. The process doesn't wait for the transport's end.
		go func() { _ = g.peers.Close() }()
	})
}
