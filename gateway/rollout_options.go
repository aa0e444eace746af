package gateway

import (
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/rollout"
	"github.com/wisteriahaven/wisteriahaven/gateway/discovery"
	"github.com/wisteriahaven/wisteriahaven/gateway/rollouts"
	"github.com/wisteriahaven/wisteriahaven/rendezvous"
)

// rolloutOptions returns the options of the orders to move services to other software versions.
func (g *Gateway) rolloutOptions() rollouts.Options {
	bounds := g.settings.Gateway.Rollouts
	return rollouts.Options{
		Limits: rollout.Limits{Share: bounds.Share, Slack: bounds.Extra, StopTime: bounds.StopTime()},
		Store:  g.adapters.Rollouts, Directory: g.directory,
		Role:       func() discovery.RelayRole { return g.peers.RelayRole() },
		WriterRank: g.writerRank,
		Known: func(service string) bool {
			current := g.state.Current()
			return current != nil && current.Table.Service(service) != nil
		},
		DrainTime: g.longestRequest, Instances: func() int { return g.peers.Instances() },
		Announce: func() { g.peers.AnnounceRollouts() }, Instance: g.settings.Instance, Logger: g.logger, Metrics: g.metrics,
	}
}

// writerRank returns the rank of this data centre among those that may write the state of an order.
func (g *Gateway) writerRank(order string) int {
	var names []string
	for _, centre := range g.settings.Gateway.DataCentres {
		names = append(names, centre.Name)
	}
	return max(0, slices.Index(rendezvous.Top(order, names, len(names)), g.settings.DataCentre))
}

// longestRequest returns the longest time of a request by the configuration in force.
func (g *Gateway) longestRequest() time.Duration {
	if current := g.state.Current(); current != nil {
		return current.Table.LongestTimeout()
	}
	return 0
}
