package filter

import "github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"

// Rules keeps the servers whose place a rule allows for the request.
type Rules struct{}

// Name implements Filter.
func (Rules) Name() string { return "rules" }

// Keep implements Filter.
func (Rules) Keep(view *snapshot.View, server int) bool {
	at := view.Servers[server]
	return view.RuleResult.Allows(at.DataCentre, at.Region)
}
