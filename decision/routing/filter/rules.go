package filter

import "github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"

// Rules removes servers in places where no rule allows the request.
type Rules struct{}

// Name implements Filter.
func (Rules) Name() string { return "rules" }

// Keep implements Filter.
func (Rules) Keep(view *snapshot.View, server int) bool {
	at := view.Servers[server]
	return view.RuleResult.Allows(at.DataCentre, at.Region)
}
