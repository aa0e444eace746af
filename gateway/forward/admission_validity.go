package forward

import (
	"slices"
	"time"

	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// changedRetryAfter is for clients whose request another configuration treats differently: they may come again at once.
const changedRetryAfter = 100 * time.Millisecond

// invalidated returns the answer to a waiting request that must not be sent any more: the process stops, the request is
// quarantined, or the configuration has changed its route or its key. It is nil when the request may be sent.
func (f *Forwarder) invalidated(j *job) *localAnswer {
	if stop := f.stop.Load(); stop != nil && !stop.admits(time.Now(), j, f.usualTimes(j.service)) {
		return &localAnswer{status: 503, code: fault.InstanceStopping, retryAfter: stoppingRetryAfter}
	}
	if verdict := f.poison.check(j); verdict.Rejected {
		return &localAnswer{status: 503, code: fault.RequestQuarantined, retryAfter: time.Until(verdict.Until)}
	}
	if current := f.state.Current(); current != nil && current.Table != j.table && !stillApplies(current.Table, j) {
		return &localAnswer{status: 503, code: fault.ConfigurationChanged, retryAfter: changedRetryAfter}
	}
	return nil
}

// stillApplies reports whether a configuration treats a request as the one that it came with.
func stillApplies(table *route.Table, j *job) bool {
	now := table.Match(j.exchange.Head.Fields.Get("Host"), j.exchange.Head.Path())
	if now == nil || now.Kind != j.route.Kind || now.Timeout != j.route.Timeout || now.Attempts != j.route.Attempts ||
		!now.Offers(j.service) || !slices.Equal(now.Split, j.route.Split) || table.Service(j.service) == nil {
		return false
	}
	account, allowed := table.Authorize(now, j.request.Key)
	if account == nil {
		return allowed && j.account == ""
	}
	return account.Name == j.account
}
