package routing

import (
	"strconv"
	"strings"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/routing/snapshot"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// retryAfter is when a client may come back after no server was found.
const retryAfter = time.Second

// execution returns what a refused attempt says about the request: one that
// was to be the first was not run, any other says nothing.
func execution(purpose serving.Purpose) fault.Execution {
	switch purpose {
	case serving.PurposeFirst, serving.PurposeOverflow, serving.PurposeShift:
		return fault.ExecutionNotRun
	default:
		return ""
	}
}

// refusal returns the error for a request without any server left.
func refusal(view *snapshot.View, declared int, removed []removal) error {
	state := execution(view.Request.Purpose)
	if view.RuleResult.MismatchedField != "" || len(view.Rules) == 0 || ruledOut(declared, removed) {
		return fault.New(fault.NoRule, ruleReason(view)).WithExecution(state)
	}
	var text strings.Builder
	text.WriteString(strconv.Itoa(declared) + " servers are declared for the model and version")
	for _, one := range removed {
		if one.count > 0 {
			text.WriteString("; " + one.name + " removed " + strconv.Itoa(one.count))
		}
	}
	return fault.New(fault.NoBackendServer, text.String()).
		WithExecution(state).WithRetryAfter(retryAfter)
}

// ruledOut reports whether the rules alone removed every declared server.
func ruledOut(declared int, removed []removal) bool {
	for _, one := range removed {
		if one.count > 0 && one.name != "rules" {
			return false
		}
	}
	return declared > 0
}

func ruleReason(view *snapshot.View) string {
	who := "client account " + view.Request.ClientAccount
	switch {
	case view.RuleResult.ClosestRule == "":
		return "no rule is configured, so none allows " + who
	case view.RuleResult.MismatchedField == "":
		return "rule " + view.RuleResult.ClosestRule + " allows " + who + " only in data centres or regions without such a server"
	default:
		return "rule " + view.RuleResult.ClosestRule + " came nearest to allowing " + who + " but doesn't match its " + view.RuleResult.MismatchedField
	}
}
