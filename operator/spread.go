package operator

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/operatorapi"
)

const (
	// spreadPoll is the wait between two looks at the instances.
	spreadPoll = 100 * time.Millisecond
	// maxWait bounds how long a command waits until it is in force.
	maxWait = 30 * time.Second
)

// awaitInForce adds to an applied change where it is in force, waiting as long
// as the request says.
func (x *Executor) awaitInForce(ctx context.Context, current *run, response operatorapi.Response) operatorapi.Response {
	deadline := x.parts.Now().Add(min(current.request.Wait.Std(), maxWait))
	for {
		response.Propagation = spreadOf(x.parts.Peers.Revisions(ctx, current.operator.Token), response.Revision)
		if len(response.Propagation.Pending) == 0 || !x.parts.Now().Before(deadline) || !x.parts.Pause(ctx, spreadPoll) {
			return response
		}
	}
}

func spreadOf(instances []operatorapi.InstanceRevision, revision uint64) *operatorapi.Propagation {
	spread := &operatorapi.Propagation{InForce: []operatorapi.InstanceRevision{}}
	for _, instance := range instances {
		if instance.Unreachable == "" && instance.Revision >= revision {
			spread.InForce = append(spread.InForce, instance)
		} else {
			spread.Pending = append(spread.Pending, instance)
		}
	}
	return spread
}
