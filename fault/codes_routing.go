package fault

import "net/http"

// Failures of admission and routing.
const (
	NoRule          Code = "no_rule"
	NoBackendServer Code = "no_backend_server"
	AccountLimit    Code = "client_account_limit"
	Overloaded      Code = "overloaded"
	DeadlinePassed  Code = "deadline_passed"
)

var routingDefinitions = map[Code]Definition{
	NoRule:          {http.StatusForbidden, "no rule allows this client account to be served", "add a rule, or use an allowed service"},
	NoBackendServer: {http.StatusServiceUnavailable, "no backend server can take the request", "retry later"},
	AccountLimit:    {http.StatusTooManyRequests, "the client account is at its limit", "retry after the given time"},
	Overloaded:      {http.StatusServiceUnavailable, "the instance sheds load", "retry after the given time"},
	DeadlinePassed:  {http.StatusGatewayTimeout, "the deadline passed before the request was run", "send it again with a later deadline"},
}
