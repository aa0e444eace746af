package routing

import (
	"github.com/wisteriahaven/wisteriahaven/decision/routing/filter"
	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

// requiredServer returns the server that the request requires by name, checked
// against the rules only. Errors are *fault.Error with NoRule, or NoBackendServer
// when it is not configured.
func requiredServer(view *snapshot.View, declared []int) (Choice, error) {
	for _, server := range declared {
		if view.Servers[server].Name != view.Request.RequiredServer {
			continue
		}
		if !(filter.Rules{}).Keep(view, server) {
			return Choice{}, fault.New(fault.NoRule, ruleReason(view))
		}
		return Choice{Server: server, Reason: string(view.Request.Purpose) + ": the server holds the stream"}, nil
	}
	return Choice{}, fault.New(fault.NoBackendServer, "server "+view.Request.RequiredServer+" is not configured for the model and version")
}
