package routing

import (
	"strconv"
	"strings"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// retryAfter is when a client may retry after no server was found.
const retryAfter = time.Second

// execution returns the execution state of a request whose attempt is refused: not
// run when the attempt would have been the first, otherwise empty for unknown.
func execution(purpose serving.Purpose) fault.Execution {
	switch purpose {
	case serving.PurposeFirst, serving.PurposeOverflow, serving.PurposeShift:
		return fault.ExecutionNotRun
	default:
		return ""
	}
}

// refusal returns the error for a request for which the filters left no server.
func refusal(view *snapshot.View, declared int, removed []removal) error {
	state := execution(view.Request.Purpose)
	if view.RuleResult.MismatchedField != "" || len(view.Rules) == 0 || ruledOut(declared, removed) {
		return fault.New(fault.NoRule, ruleReason(view)).WithExecution(state)
	}
	var text strings.Builder
	text.WriteString(strconv.Itoa(declared) + " servers are declared for the model and version")
	for _, r := range removed {
		if r.count > 0 {
			text.WriteString("; " + r.name + " removed " + strconv.Itoa(r.count))
		}
	}
	return fault.New(fault.NoBackendServer, text.String()).
		WithExecution(state).WithRetryAfter(retryAfter)
}

// ruledOut reports whether the rules alone removed every declared server.
func ruledOut(declared int, removed []removal) bool {
	for _, r := range removed {
		if r.count > 0 && r.name != "rules" {
			return false
		}
	}
	return declared > 0
}

func ruleReason(view *snapshot.View) string {
	account := "client account " + view.Request.ClientAccount
	switch {
	case view.RuleResult.ClosestRule == "":
		return "no rule is configured, so none allows " + account
	case view.RuleResult.MismatchedField == "":
		return "rule " + view.RuleResult.ClosestRule + " allows " + account + " only in data centres or regions without such a server"
	default:
		return "rule " + view.RuleResult.ClosestRule + " came nearest to allowing " + account + " but doesn't match its " + view.RuleResult.MismatchedField
	}
}
