package operator_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/operatorapi"
)

// TestARepeatNeverDeniesAnEarlierSubmission repeats a command whose first
// submission still lands later: no repeat may say that nothing was applied.
func TestARepeatNeverDeniesAnEarlierSubmission(t *testing.T) {
	repeat := func(t *testing.T, o *outage, text string) operatorapi.Outcome {
		t.Helper()
		return o.executor.Execute(t.Context(), chief, operatorapi.Request{ID: "c1", Command: text, Repeat: true}).Outcome
	}
	t.Run("the platform can't be read", func(t *testing.T) {
		is := is.New(t)
		o := newOutage(t)
		o.store.beforeHead = func() headFault { return writeDelayed }
		is.Equal(o.run(t, o.executor, "c1", "drain backend-server b1").Outcome, operatorapi.Unknown)
		o.store.outage = true
		is.Equal(repeat(t, o, "drain backend-server b1"), operatorapi.Unknown)
		o.store.outage = false
		o.store.land()
		is.Equal(repeat(t, o, "drain backend-server b1"), operatorapi.Applied)
		is.Equal(o.drains(t), []estate.Drain{drainB1})
	})
	t.Run("a local drain is refused by what is in force here", func(t *testing.T) {
		is := is.New(t)
		o := newOutage(t)
		o.store.beforeHead = func() headFault { return writeDelayed }
		is.Equal(o.run(t, o.executor, "c1", "drain backend-server b1 --local").Outcome, operatorapi.Unknown)
		o.store.outage = true
		o.source.configuration = nil
		is.Equal(repeat(t, o, "drain backend-server b1 --local"), operatorapi.Unknown)
		o.store.outage = false
		o.store.land()
		is.Equal(o.drains(t), []estate.Drain{drainB1})
	})
	t.Run("the platform refuses the write", func(t *testing.T) {
		is := is.New(t)
		o := newOutage(t)
		o.store.beforeHead = func() headFault { return writeDelayed }
		is.Equal(o.run(t, o.executor, "c1", "drain backend-server b1").Outcome, operatorapi.Unknown)
		o.store.beforeHead = func() headFault { return writeRefused }
		is.Equal(repeat(t, o, "drain backend-server b1"), operatorapi.Unknown)
		o.store.land()
		is.Equal(o.drains(t), []estate.Drain{drainB1})
	})
	t.Run("a mark is still to be written", func(t *testing.T) {
		is := is.New(t)
		o := newOutage(t)
		o.store.outage = true
		is.Equal(o.run(t, o.executor, "c1", "drain backend-server b1 --local").Outcome, operatorapi.AppliedLocally)
		o.store.outage = false
		o.store.beforeHead = func() headFault {
			o.store.beforeHead = func() headFault { return headWritten }
			is.Equal(o.run(t, o.other, "c2", "set client-account/account/weight 7").Outcome, operatorapi.Applied)
			return headWritten
		}
		is.Equal(repeat(t, o, "drain backend-server b1 --local"), operatorapi.Unknown)
		o.write(t)
		is.Equal(o.drains(t), []estate.Drain{drainB1})
	})
}
