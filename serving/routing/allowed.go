package routing

import (
	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// Allowed returns which data centres and regions the in-force rules allow for a
// request: none without a configuration.
func (r *Router) Allowed(request serving.RouteRequest) func(dataCentre, region string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.refresh() {
		return func(string, string) bool { return false }
	}
	return snapshot.NewView(r.snapshot, request, stateSource{r, r.now()}).RuleResult.Allows
}

// CountCrossRegion adds bytes of a client account's answer that came from
// another region to the account's counter.
func (r *Router) CountCrossRegion(account string, bytes int) { r.traffic.add(account, bytes) }
