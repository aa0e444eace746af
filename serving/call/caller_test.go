package call_test

import (
	"sync"
	"testing"
	"time"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/standin/objectapi"
	standin "github.com/wisteriahaven/wisteriahaven/standin/service"
)

func TestRepeatGetsTheRecordedAnswerAtAnyInstance(t *testing.T) {
	b := newBench(t)
	first, err := b.call(0, "key", "{}", operation)
	b.is.NoErr(err)
	b.settle()
	for caller := range b.callers {
		repeat, err := b.call(caller, "key", "{}", operation)
		b.is.NoErr(err)
		b.is.True(repeat.Replayed)
		b.is.Equal(string(repeat.Body), string(first.Body))
	}
	_, err = b.call(1, "key", "{1}", operation)
	b.is.True(fault.HasCode(err, fault.CallKeyReused))
	b.is.Equal(b.server.Runs(), map[string]int{"key": 1})
}

func TestDroppedAnswerIsUnknownForGood(t *testing.T) {
	b := newBench(t)
	b.server.SetFaults(standin.Faults{DropAnswers: 1})
	_, err := b.call(0, "key", "{}", operation)
	b.is.Equal(execution(err), fault.ExecutionUnknown)
	b.settle()
	for caller := range b.callers {
		_, err := b.call(caller, "key", "{}", operation)
		b.is.Equal(execution(err), fault.ExecutionUnknown)
	}
	b.is.Equal(b.server.Runs(), map[string]int{"key": 1})
}

func TestCrossedAnswerIsDroppedAndCounted(t *testing.T) {
	b := newBench(t)
	b.server.SetFaults(standin.Faults{CrossAnswers: 1})
	_, err := b.call(0, "key", "{}", operation)
	b.is.Equal(execution(err), fault.ExecutionUnknown)
	b.is.Equal(b.callers[0].Status().AnswersDropped, int64(1))
	answer, err := b.call(0, "other", "{}", estate.Operation{Name: "read", Idempotent: true})
	b.is.NoErr(err)
	b.is.True(!answer.Replayed)
}

func TestAppliedWriteWithLostAnswerIsReadBack(t *testing.T) {
	b := newBench(t)
	b.store.SetFaults(objectapi.Faults{LoseAnswers: 1})
	_, err := b.call(0, "key", "{}", operation)
	b.is.NoErr(err)
	b.settle()
	repeat, err := b.call(1, "key", "{}", operation)
	b.is.NoErr(err)
	b.is.True(repeat.Replayed)
	b.is.Equal(b.server.Runs(), map[string]int{"key": 1})
	b.is.Equal(b.store.Counters().LostSent, 1)
}

func TestTwoBelievedHomesRunAKeyOnce(t *testing.T) {
	b := newBench(t)
	b.members.views["0"], b.members.views["1"] = []string{"0"}, []string{"1"}
	var wait sync.WaitGroup
	for _, key := range []string{"a", "b", "c", "d"} {
		for caller := range b.callers {
			wait.Go(func() {
				_, err := b.call(caller, key, "{}", operation)
				if err != nil && execution(err) != fault.ExecutionUnknown {
					t.Errorf("key %s at %d: %v", key, caller, err)
				}
			})
		}
	}
	wait.Wait()
	b.settle()
	b.is.Equal(b.server.Runs(), map[string]int{"a": 1, "b": 1, "c": 1, "d": 1})
}

func TestOutageRefusesTruthfully(t *testing.T) {
	b := newBench(t)
	b.store.SetFaults(objectapi.Faults{Outage: true})
	_, err := b.call(0, "key", "{}", operation)
	b.is.Equal(execution(err), fault.ExecutionRefusedHere)
	checked := operation
	checked.ChecksKeys = true
	_, err = b.call(0, "checked", "{}", checked)
	b.is.NoErr(err) // the backend server deduplicates by itself
	b.store.SetFaults(objectapi.Faults{})
	b.settle()
	_, err = b.call(1, "key", "{}", operation)
	b.is.NoErr(err) // the refused submission left no claim behind
	b.is.Equal(b.server.Runs(), map[string]int{"key": 1, "checked": 1})
}

func TestServerThatTakesNoConnectionLeavesNothing(t *testing.T) {
	b := newBench(t)
	b.server.Stop()
	_, err := b.call(0, "key", "{}", operation)
	b.is.Equal(execution(err), fault.ExecutionNotRun)
	_, err = b.call(1, "key", "{}", operation)
	b.is.Equal(execution(err), fault.ExecutionNotRun)
}

func TestUnreachableHomeIsReplacedByADirectCommit(t *testing.T) {
	b := newBench(t)
	b.members.views["0"] = []string{"gone"}
	_, err := b.call(0, "key", "{}", operation)
	b.is.NoErr(err)
	b.settle()
	repeat, err := b.call(1, "key", "{}", operation)
	b.is.NoErr(err)
	b.is.True(repeat.Replayed)
}

func TestNonIdempotentCallNeedsAKey(t *testing.T) {
	b := newBench(t)
	_, err := b.call(0, "", "{}", operation)
	b.is.True(fault.HasCode(err, fault.CallKeyMissing))
}

func TestPausedClaimantThatWakesLateSendsNothing(t *testing.T) {
	b := newBench(t)
	b.pause = dispatchWindow + 200*time.Millisecond
	_, err := b.call(0, "key", "{}", operation)
	b.is.Equal(execution(err), fault.ExecutionNotRun)
	b.is.Equal(len(b.server.Runs()), 0)
	b.pause = 0
	answer, err := b.call(1, "key", "{}", operation)
	b.is.NoErr(err) // the claim was released
	b.is.True(!answer.Replayed)
}

func TestDrainWaitsForTheRecord(t *testing.T) {
	b := newBench(t)
	_, err := b.call(0, "key", "{}", operation)
	b.is.NoErr(err)
	b.is.NoErr(b.callers[0].Drain(t.Context()))
	b.callers[0].Close()
	b.members.views["1"] = []string{"1"}
	repeat, err := b.call(1, "key", "{}", operation)
	b.is.NoErr(err)
	b.is.True(repeat.Replayed)
}
