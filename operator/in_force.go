package operator

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/operatorapi"
)

const (
	// revisionPollInterval is the wait between two polls of the instances.
	revisionPollInterval = 100 * time.Millisecond
	// maxWait bounds how long a command waits until its change is in force.
	maxWait = 30 * time.Second
)

// awaitInForce polls the instances until an applied change is in force on all or
// the request's wait is over, and adds to the response where it is in force.
func (x *Executor) awaitInForce(ctx context.Context, execution *execution, response operatorapi.Response) operatorapi.Response {
	deadline := x.options.Now().Add(min(execution.request.Wait.Std(), maxWait))
	for {
		response.Propagation = newPropagation(x.options.Peers.Revisions(ctx, execution.operator.Token), response.Revision)
		if len(response.Propagation.Pending) == 0 || !x.options.Now().Before(deadline) || !x.options.Pause(ctx, revisionPollInterval) {
			return response
		}
	}
}

func newPropagation(instances []operatorapi.InstanceRevision, revision uint64) *operatorapi.Propagation {
	propagation := &operatorapi.Propagation{InForce: []operatorapi.InstanceRevision{}}
	for _, instance := range instances {
		if instance.Unreachable == "" && instance.Revision >= revision {
			propagation.InForce = append(propagation.InForce, instance)
		} else {
			propagation.Pending = append(propagation.Pending, instance)
		}
	}
	return propagation
}
