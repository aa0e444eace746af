package operator_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/operator"
	"github.com/wisteriahaven/wisteriahaven/operatorapi"
)

// outage is an instance that marks while the platform is away.
type outage struct {
	store    *faultyStore
	source   *fixedSource
	marks    *operator.LocalDrains
	now      time.Time
	executor *operator.Executor
	other    *operator.Executor
}

func newOutage(t *testing.T) *outage {
	t.Helper()
	o := &outage{store: newFaultyStore(), source: &fixedSource{}, marks: operator.NewLocalDrains(), now: time.Unix(1000, 0)}
	initial, err := estate.Parse("", []byte(smallEstate))
	if err != nil {
		t.Fatal(err)
	}
	if initial.Revision, err = configstore.Commit(t.Context(), o.store, &estate.Configuration{}, &initial, "initial"); err != nil {
		t.Fatal(err)
	}
	o.source.configuration = &initial
	now := func() time.Time { return o.now }
	o.executor = newExecutor(o.store, o.source, o.marks, now)
	o.other = newExecutor(o.store, o.source, operator.NewLocalDrains(), now)
	return o
}

func (o *outage) run(t *testing.T, executor *operator.Executor, id, text string) operatorapi.Response {
	t.Helper()
	return executor.Execute(t.Context(), chief, operatorapi.Request{ID: id, Command: text})
}

// write makes one try to write the marks.
func (o *outage) write(t *testing.T) {
	t.Helper()
	writeMarksOnce(t.Context(), o.store, o.source, o.marks, func() time.Time { return o.now })
}

// writeMarksOnce makes one try to write the marks of an instance.
func writeMarksOnce(ctx context.Context, store *faultyStore, source *fixedSource, marks *operator.LocalDrains, now func() time.Time) {
	tries := 0
	executor := newExecutorPausing(store, source, marks, now, func(context.Context, time.Duration) bool {
		tries++
		return tries == 1
	})
	executor.WriteLocalDrains(ctx)
}

// catchUp brings the newest configuration into force.
func (o *outage) catchUp(t *testing.T) {
	t.Helper()
	snapshot, err := operator.NewStoredConfigurations(o.store).Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	o.source.configuration = snapshot.Configuration
}

func (o *outage) drains(t *testing.T) []estate.Drain {
	t.Helper()
	snapshot, err := operator.NewStoredConfigurations(o.store).Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return snapshot.Configuration.Drains
}

var drainB1 = estate.Drain{Kind: estate.DrainBackendServer, Name: "b1"}

func TestMarks(t *testing.T) {
	t.Run("are refused without --local", func(t *testing.T) {
		is := is.New(t)
		o := newOutage(t)
		o.store.outage = true
		is.Equal(o.run(t, o.executor, "c1", "drain backend-server b1").Outcome, operatorapi.NotApplied)
		is.Equal(len(o.marks.All()), 0)
	})
	t.Run("hold in their own data centre alone", func(t *testing.T) {
		is := is.New(t)
		o := newOutage(t)
		o.store.outage = true
		is.Equal(o.run(t, o.executor, "c1", "drain backend-server b2 --local").Outcome, operatorapi.Rejected)
		is.Equal(o.run(t, o.executor, "c2", "drain data-centre s1 --local").Outcome, operatorapi.Rejected)
		is.Equal(o.run(t, o.executor, "c3", "drain backend-server b9 --local").Outcome, operatorapi.Rejected)
	})
	t.Run("take effect at once and expire", func(t *testing.T) {
		is := is.New(t)
		o := newOutage(t)
		effective := operator.NewEffectiveSource(o.source, o.marks, func() time.Time { return o.now })
		is.Equal(effective.Current(), o.source.configuration)
		o.store.outage = true
		is.Equal(o.run(t, o.executor, "c1", "drain backend-server b1 --local").Outcome, operatorapi.AppliedLocally)
		is.Equal(o.run(t, o.executor, "c1", "drain backend-server b1 --local").Expires, o.now.Add(operator.LocalDrainLifetime))
		is.Equal(effective.Current().Drains, []estate.Drain{drainB1})
		before := effective.Current()
		is.True(effective.Current() == before) // the same pointer until something changes
		is.Equal(len(o.source.configuration.Drains), 0)
		o.now = o.now.Add(operator.LocalDrainLifetime)
		is.Equal(len(effective.Current().Drains), 0)
		o.write(t)
		is.Equal(len(o.marks.All()), 0)
	})
	t.Run("are written once when the platform is back", func(t *testing.T) {
		is := is.New(t)
		o := newOutage(t)
		o.store.outage = true
		is.Equal(o.run(t, o.executor, "c1", "drain backend-server b1 --local").Outcome, operatorapi.AppliedLocally)
		o.write(t)
		is.Equal(len(o.marks.All()), 1)
		o.store.outage = false
		o.write(t)
		o.write(t)
		is.Equal(o.drains(t), []estate.Drain{drainB1})
		// The written revision is not in force here yet: the mark still holds.
		effective := operator.NewEffectiveSource(o.source, o.marks, func() time.Time { return o.now })
		is.Equal(effective.Current().Drains, []estate.Drain{drainB1})
		o.catchUp(t)
		o.write(t)
		is.Equal(len(o.marks.All()), 0)
		is.Equal(effective.Current().Drains, []estate.Drain{drainB1})
		repeated := o.run(t, o.executor, "c1", "drain backend-server b1 --local")
		is.Equal(repeated.Outcome, operatorapi.Applied)
		is.True(repeated.Repeated)
	})
	t.Run("end when a newer revision disagrees", func(t *testing.T) {
		is := is.New(t)
		o := newOutage(t)
		o.store.outage = true
		is.Equal(o.run(t, o.executor, "c1", "drain backend-server b1 --local").Outcome, operatorapi.AppliedLocally)
		o.store.outage = false
		is.Equal(o.run(t, o.other, "c2", "drain backend-server b1").Outcome, operatorapi.Applied)
		is.Equal(o.run(t, o.other, "c3", "undrain backend-server b1").Outcome, operatorapi.Applied)
		o.write(t)
		is.Equal(len(o.drains(t)), 0) // the newer undrain stands
		is.Equal(len(o.marks.All()), 0)
	})
	t.Run("are told to other instances in one line", func(t *testing.T) {
		is := is.New(t)
		mark := dump.LocalDrain{Drain: drainB1, CommandID: "4042011b77c605ae", ReadRevision: 35, Operator: "leitung"}
		heard := dump.LocalDrain{Drain: drainB1}
		is.True(operator.ParseNoticeReason(operator.FormatNoticeReason(mark), &heard))
		is.Equal(heard, mark)
		mark.Undrain = true
		is.Equal(operator.FormatNoticeReason(mark), "")
		is.True(!operator.ParseNoticeReason("two deaths as the only suspect", &heard))
	})
	t.Run("survive an unrelated newer revision", func(t *testing.T) {
		is := is.New(t)
		o := newOutage(t)
		o.store.outage = true
		is.Equal(o.run(t, o.executor, "c1", "drain backend-server b1 --local").Outcome, operatorapi.AppliedLocally)
		o.store.outage = false
		is.Equal(o.run(t, o.other, "c2", "set client-account/account/weight 5").Outcome, operatorapi.Applied)
		o.write(t)
		is.Equal(o.drains(t), []estate.Drain{drainB1})
	})
}
