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

func TestRepeatedKeyGetsTheRecordedAnswerAtAnyInstance(t *testing.T) {
	f := newFixture(t)
	first, err := f.call(0, "key", "{}", operation)
	f.is.NoErr(err)
	f.drain()
	for instance := range f.runners {
		repeat, err := f.call(instance, "key", "{}", operation)
		f.is.NoErr(err)
		f.is.True(repeat.Replayed)
		f.is.Equal(string(repeat.Body), string(first.Body))
	}
	_, err = f.call(1, "key", "{1}", operation)
	f.is.True(fault.HasCode(err, fault.CallKeyReused))
	f.is.Equal(f.server.Runs(), map[string]int{"key": 1})
}

func TestDroppedAnswerStaysUnknown(t *testing.T) {
	f := newFixture(t)
	f.server.SetFaults(standin.Faults{DropAnswers: 1})
	_, err := f.call(0, "key", "{}", operation)
	f.is.Equal(execution(err), fault.ExecutionUnknown)
	f.drain()
	for instance := range f.runners {
		_, err := f.call(instance, "key", "{}", operation)
		f.is.Equal(execution(err), fault.ExecutionUnknown)
	}
	f.is.Equal(f.server.Runs(), map[string]int{"key": 1})
}

func TestCrossedAnswerIsDroppedAndCounted(t *testing.T) {
	f := newFixture(t)
	f.server.SetFaults(standin.Faults{CrossAnswers: 1})
	_, err := f.call(0, "key", "{}", operation)
	f.is.Equal(execution(err), fault.ExecutionUnknown)
	f.is.Equal(f.runners[0].Status().AnswersDropped, int64(1))
	answer, err := f.call(0, "other", "{}", estate.Operation{Name: "read", Idempotent: true})
	f.is.NoErr(err)
	f.is.True(!answer.Replayed)
}

func TestAppliedWriteWithLostAnswerIsReadBack(t *testing.T) {
	f := newFixture(t)
	f.store.SetFaults(objectapi.Faults{DropAnswers: 1})
	_, err := f.call(0, "key", "{}", operation)
	f.is.NoErr(err)
	f.drain()
	repeat, err := f.call(1, "key", "{}", operation)
	f.is.NoErr(err)
	f.is.True(repeat.Replayed)
	f.is.Equal(f.server.Runs(), map[string]int{"key": 1})
	f.is.Equal(f.store.Counters().AnswersDropped, 1)
}

func TestTwoSupposedOwnersRunAKeyOnce(t *testing.T) {
	f := newFixture(t)
	f.members.views["0"], f.members.views["1"] = []string{"0"}, []string{"1"}
	var wait sync.WaitGroup
	for _, key := range []string{"a", "b", "c", "d"} {
		for instance := range f.runners {
			wait.Go(func() {
				_, err := f.call(instance, key, "{}", operation)
				if err != nil && execution(err) != fault.ExecutionUnknown {
					t.Errorf("key %s at %d: %v", key, instance, err)
				}
			})
		}
	}
	wait.Wait()
	f.drain()
	f.is.Equal(f.server.Runs(), map[string]int{"a": 1, "b": 1, "c": 1, "d": 1})
}

func TestStoreOutageRefusesWithTheExecution(t *testing.T) {
	f := newFixture(t)
	f.store.SetFaults(objectapi.Faults{Outage: true})
	_, err := f.call(0, "key", "{}", operation)
	f.is.Equal(execution(err), fault.ExecutionRefusedHere)
	checked := operation
	checked.ChecksKeys = true
	_, err = f.call(0, "checked", "{}", checked)
	f.is.NoErr(err) // the backend server deduplicates by itself
	f.store.SetFaults(objectapi.Faults{})
	f.drain()
	_, err = f.call(1, "key", "{}", operation)
	f.is.NoErr(err) // the refused submission left no claim behind
	f.is.Equal(f.server.Runs(), map[string]int{"key": 1, "checked": 1})
}

func TestUnreachableServerLeavesNoClaim(t *testing.T) {
	f := newFixture(t)
	f.server.Stop()
	_, err := f.call(0, "key", "{}", operation)
	f.is.Equal(execution(err), fault.ExecutionNotRun)
	_, err = f.call(1, "key", "{}", operation)
	f.is.Equal(execution(err), fault.ExecutionNotRun)
}

func TestUnreachableOwnerIsReplacedByADirectCommit(t *testing.T) {
	f := newFixture(t)
	f.members.views["0"] = []string{"gone"}
	_, err := f.call(0, "key", "{}", operation)
	f.is.NoErr(err)
	f.drain()
	repeat, err := f.call(1, "key", "{}", operation)
	f.is.NoErr(err)
	f.is.True(repeat.Replayed)
}

func TestNonIdempotentCallNeedsAKey(t *testing.T) {
	f := newFixture(t)
	_, err := f.call(0, "", "{}", operation)
	f.is.True(fault.HasCode(err, fault.CallKeyMissing))
}

func TestClaimantPausedPastTheDispatchWindowSendsNothing(t *testing.T) {
	f := newFixture(t)
	f.pause = dispatchWindow + 200*time.Millisecond
	_, err := f.call(0, "key", "{}", operation)
	f.is.Equal(execution(err), fault.ExecutionNotRun)
	f.is.Equal(len(f.server.Runs()), 0)
	f.pause = 0
	answer, err := f.call(1, "key", "{}", operation)
	f.is.NoErr(err) // the claim was released
	f.is.True(!answer.Replayed)
}

func TestDrainWaitsUntilOutcomesAreRecorded(t *testing.T) {
	f := newFixture(t)
	_, err := f.call(0, "key", "{}", operation)
	f.is.NoErr(err)
	f.is.NoErr(f.runners[0].Drain(t.Context()))
	f.runners[0].Close()
	f.members.views["1"] = []string{"1"}
	repeat, err := f.call(1, "key", "{}", operation)
	f.is.NoErr(err)
	f.is.True(repeat.Replayed)
}
