package operator

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/operatorapi"
)

const (
	// revisionPollInterval is the wait between two polls of the instances.
	spreadPoll = 100 * time.Millisecond
	// maxWait bounds how long a command waits until its change is in force.
	maxWait = 30 * time.Second
)

// awaitInForce polls the instances until an applied change is in force on all of
// them or the request's wait is over, and adds to the response where it is in
// force.
func (x *Executor) awaitInForce(ctx context.Context, current *run, response operatorapi.Response) operatorapi.Response {
	deadline := x.parts.Now().Add(min(current.request.Wait.Std(), maxWait))
	for {
		response.Spread = spreadOf(x.parts.Peers.Revisions(ctx, current.operator.Token), response.Revision)
		if len(response.Spread.Pending) == 0 || !x.parts.Now().Before(deadline) || !x.parts.Pause(ctx, spreadPoll) {
			return response
		}
	}
}

func spreadOf(instances []operatorapi.InstanceRevision, revision uint64) *operatorapi.Spread {
	spread := &operatorapi.Spread{InForce: []operatorapi.InstanceRevision{}}
	for _, instance := range instances {
		if instance.Unreachable == "" && instance.Revision >= revision {
			spread.InForce = append(spread.InForce, instance)
		} else {
			spread.Pending = append(spread.Pending, instance)
		}
	}
	return spread
}
