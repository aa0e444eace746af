package forward

import (
	"sync/atomic"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/poison"
	"github.com/wisteriahaven/wisteriahaven/gateway/ingress"
	"github.com/wisteriahaven/wisteriahaven/gateway/message"
	"github.com/wisteriahaven/wisteriahaven/gateway/rollouts"
	"github.com/wisteriahaven/wisteriahaven/gateway/route"
)

// job is one request that is being served.
type job struct {
	exchange *ingress.Exchange
	request  message.Request
	table    *route.Table
	route    *route.Route
	service  string
	account  string
	// rank is the request's rank, 0 the highest.
	rank int
	// run holds the keys of the request's content and of the parts of its prompt.
	run poison.Run
	// late holds the key against which crashes late in its answer count; zero for calls.
	late poison.Run
	// origin is what is recorded about a stream that the client resumes.
	origin recordedOrigin
	// deadline is the latest time of the final answer: the earlier one of the
	// client's and the route's deadline.
	deadline time.Time
	// sends counts the attempts to send the request to a backend server.
	sends int
	// unfinished counts the attempts of a call whose answer has begun and not ended.
	unfinished atomic.Int32
	// answers is the memory of the buffered answers.
	answers answerMemory
	// relayed is what a peer states that handed the request over; nil for a client's request.
	relayed *message.Relay
	// versionDraw is whether the request is among those that try a new software version.
	versionDraw rollouts.Draw
	// failedServers holds the ids of the servers that failed the request.
	failedServers []string
}

func (j *job) remaining() time.Duration { return time.Until(j.deadline) }

func (j *job) hasFailed(server string) bool {
	for _, id := range j.failedServers {
		if id == server {
			return true
		}
	}
	return false
}
