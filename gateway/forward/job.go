package forward

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/gateway/ingress"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// job is one request on its way.
type job struct {
	exchange *ingress.Exchange
	request  message.Request
	table    *route.Table
	route    *route.Route
	service  string
	account  string
	// deadline is when the final answer is due: the earlier one of the
	// client's and the route's.
	deadline time.Time
	// sends counts the backend servers that the request was sent to.
	sends int
	// failed names the servers that failed it.
	failed []string
}

func (j *job) remaining() time.Duration { return time.Until(j.deadline) }

func (j *job) hasFailed(server string) bool {
	for _, id := range j.failed {
		if id == server {
			return true
		}
	}
	return false
}
