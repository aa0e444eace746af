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

// localDrainFixture holds two executors of a data centre over one store, whose
// outages make the first set local drains.
type localDrainFixture struct {
	store       *faultyStore
	source      *fixedSource
	localDrains *operator.LocalDrains
	now         time.Time
	executor    *operator.Executor
	other       *operator.Executor
}

func newLocalDrainFixture(t *testing.T) *localDrainFixture {
	t.Helper()
	o := &localDrainFixture{store: newFaultyStore(), source: &fixedSource{}, localDrains: operator.NewLocalDrains(), now: time.Unix(1000, 0)}
	initial, err := estate.Parse("", []byte(smallEstate))
	if err != nil {
		t.Fatal(err)
	}
	if initial.Revision, err = configstore.Commit(t.Context(), o.store, &estate.Configuration{}, &initial, "initial"); err != nil {
		t.Fatal(err)
	}
	o.source.configuration = &initial
	now := func() time.Time { return o.now }
	o.executor = newExecutor(o.store, o.source, o.localDrains, now)
	o.other = newExecutor(o.store, o.source, operator.NewLocalDrains(), now)
	return o
}

func (o *localDrainFixture) run(t *testing.T, executor *operator.Executor, id, text string) operatorapi.Response {
	t.Helper()
	return executor.Execute(t.Context(), chief, operatorapi.Request{ID: id, Command: text})
}

// write makes one attempt to write the local drains.
func (o *localDrainFixture) write(t *testing.T) {
	t.Helper()
	writeLocalDrainsOnce(t.Context(), o.store, o.source, o.localDrains, func() time.Time { return o.now })
}

// writeLocalDrainsOnce makes one attempt to write an instance's local drains.
func writeLocalDrainsOnce(ctx context.Context, store *faultyStore, source *fixedSource, localDrains *operator.LocalDrains, now func() time.Time) {
	tries := 0
	executor := newExecutorPausing(store, source, localDrains, now, func(context.Context, time.Duration) bool {
		tries++
		return tries == 1
	})
	executor.WriteLocalDrains(ctx)
}

// catchUp puts the newest configuration in force.
func (o *localDrainFixture) catchUp(t *testing.T) {
	t.Helper()
	snapshot, err := operator.NewStoredConfigurations(o.store).Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	o.source.configuration = snapshot.Configuration
}

func (o *localDrainFixture) drains(t *testing.T) []estate.Drain {
	t.Helper()
	snapshot, err := operator.NewStoredConfigurations(o.store).Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return snapshot.Configuration.Drains
}

var drainB1 = estate.Drain{Kind: estate.DrainBackendServer, Name: "b1"}

func TestLocalDrains(t *testing.T) {
	t.Run("are refused without --local", func(t *testing.T) {
		is := is.New(t)
		o := newLocalDrainFixture(t)
		o.store.outage = true
		is.Equal(o.run(t, o.executor, "c1", "drain backend-server b1").Outcome, operatorapi.NotApplied)
		is.Equal(len(o.localDrains.All()), 0)
	})
	t.Run("are valid in their own data centre only", func(t *testing.T) {
		is := is.New(t)
		o := newLocalDrainFixture(t)
		o.store.outage = true
		is.Equal(o.run(t, o.executor, "c1", "drain backend-server b2 --local").Outcome, operatorapi.Rejected)
		is.Equal(o.run(t, o.executor, "c2", "drain data-centre s1 --local").Outcome, operatorapi.Rejected)
		is.Equal(o.run(t, o.executor, "c3", "drain backend-server b9 --local").Outcome, operatorapi.Rejected)
	})
	t.Run("take effect at once and expire", func(t *testing.T) {
		is := is.New(t)
		o := newLocalDrainFixture(t)
		effective := operator.NewEffectiveSource(o.source, o.localDrains, func() time.Time { return o.now })
		is.Equal(effective.Current(), o.source.configuration)
		o.store.outage = true
		is.Equal(o.run(t, o.executor, "c1", "drain backend-server b1 --local").Outcome, operatorapi.AppliedLocally)
		is.Equal(o.run(t, o.executor, "c1", "drain backend-server b1 --local").Expires, o.now.Add(operator.LocalDrainLifetime))
		is.Equal(effective.Current().Drains, []estate.Drain{drainB1})
		before := effective.Current()
		is.True(effective.Current() == before) // the same pointer until a change
		is.Equal(len(o.source.configuration.Drains), 0)
		o.now = o.now.Add(operator.LocalDrainLifetime)
		is.Equal(len(effective.Current().Drains), 0)
		o.write(t)
		is.Equal(len(o.localDrains.All()), 0)
	})
	t.Run("are written once when the platform is available again", func(t *testing.T) {
		is := is.New(t)
		o := newLocalDrainFixture(t)
		o.store.outage = true
		is.Equal(o.run(t, o.executor, "c1", "drain backend-server b1 --local").Outcome, operatorapi.AppliedLocally)
		o.write(t)
		is.Equal(len(o.localDrains.All()), 1)
		o.store.outage = false
		o.write(t)
		o.write(t)
		is.Equal(o.drains(t), []estate.Drain{drainB1})
		// The written revision is not in force here yet: the local drain remains.
		effective := operator.NewEffectiveSource(o.source, o.localDrains, func() time.Time { return o.now })
		is.Equal(effective.Current().Drains, []estate.Drain{drainB1})
		o.catchUp(t)
		o.write(t)
		is.Equal(len(o.localDrains.All()), 0)
		is.Equal(effective.Current().Drains, []estate.Drain{drainB1})
		repeated := o.run(t, o.executor, "c1", "drain backend-server b1 --local")
		is.Equal(repeated.Outcome, operatorapi.Applied)
		is.True(repeated.Repeated)
	})
	t.Run("end when a newer revision conflicts", func(t *testing.T) {
		is := is.New(t)
		o := newLocalDrainFixture(t)
		o.store.outage = true
		is.Equal(o.run(t, o.executor, "c1", "drain backend-server b1 --local").Outcome, operatorapi.AppliedLocally)
		o.store.outage = false
		is.Equal(o.run(t, o.other, "c2", "drain backend-server b1").Outcome, operatorapi.Applied)
		is.Equal(o.run(t, o.other, "c3", "undrain backend-server b1").Outcome, operatorapi.Applied)
		o.write(t)
		is.Equal(len(o.drains(t)), 0) // the newer undrain takes precedence
		is.Equal(len(o.localDrains.All()), 0)
	})
	t.Run("are encoded in a notice's reason", func(t *testing.T) {
		is := is.New(t)
		localDrain := dump.LocalDrain{Drain: drainB1, CommandID: "4042011b77c605ae", ReadRevision: 35, Operator: "leitung"}
		decoded := dump.LocalDrain{Drain: drainB1}
		is.True(operator.ParseNoticeReason(operator.FormatNoticeReason(localDrain), &decoded))
		is.Equal(decoded, localDrain)
		localDrain.Undrain = true
		is.Equal(operator.FormatNoticeReason(localDrain), "")
		is.True(!operator.ParseNoticeReason("two deaths as the only suspect", &decoded))
	})
	t.Run("survive an unrelated newer revision", func(t *testing.T) {
		is := is.New(t)
		o := newLocalDrainFixture(t)
		o.store.outage = true
		is.Equal(o.run(t, o.executor, "c1", "drain backend-server b1 --local").Outcome, operatorapi.AppliedLocally)
		o.store.outage = false
		is.Equal(o.run(t, o.other, "c2", "set client-account/account/weight 5").Outcome, operatorapi.Applied)
		o.write(t)
		is.Equal(o.drains(t), []estate.Drain{drainB1})
	})
}
