package inflight

import (
	"context"
	"strconv"

	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/serving"
)

// caller is a serving.Caller that the tracker sees.
type caller struct {
	next     serving.CallRunner
	recorder serving.Recorder
	tracker  *Tracker
}

// Caller wraps a caller. The begin and end of its calls are recorded.
func (t *Tracker) CallRunner(next serving.CallRunner, recorder serving.Recorder) serving.CallRunner {
	return caller{next, recorder, t}
}

// Call implements serving.Caller.
func (c caller) Call(ctx context.Context, request serving.CallRequest) (serving.CallResult, error) {
	running := &dump.Call{
		RequestID:     request.RequestID,
		ClientAccount: request.Account.Name,
		Service:       request.Service.Name,
		Operation:     request.Operation.Name,
		State:         "waiting",
	}
	c.tracker.beginCall(running)
	defer c.tracker.endCall(running)
	c.recorder.Record(serving.Decision{Subject: request.RequestID, Kind: kindBegin, Reason: "client account " + request.Account.Name + ", service " + request.Service.Name + ", operation " + request.Operation.Name})
	result, err := c.next.Call(ctx, request)
	c.tracker.ended(err)
	c.recorder.Record(endDecision(request.RequestID, "status "+strconv.Itoa(result.Status), err))
	return result, err
}

func (t *Tracker) beginCall(running *dump.Call) {
	t.count(MetricCalls)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls[running.RequestID] = running
}

func (t *Tracker) endCall(running *dump.Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.calls[running.RequestID] == running {
		delete(t.calls, running.RequestID)
	}
}
