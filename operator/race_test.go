package operator_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/wisteriahaven/wisteriahaven/command"
	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
	"github.com/wisteriahaven/wisteriahaven/operator"
	"github.com/wisteriahaven/wisteriahaven/operatorapi"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

const smallEstate = `{
	"regions": [{"name": "north"}, {"name": "south"}],
	"data_centres": [{"name": "n1", "region": "north"}, {"name": "s1", "region": "south"}],
	"firms": [{"name": "firm", "home_region": "north"}],
	"client_accounts": [{"name": "account", "firm": "firm", "weight": 1, "limits": {},
		"key_hashes": ["8bb635f9e2cd1905aaead26c930dc565b7f7b2dc498bac0e3b3a7f4fb7c4082f"]}],
	"models": [{"name": "m", "versions": ["1"], "default_version": "1"}],
	"services": [{"name": "s", "kind": "generation", "models": ["m"], "deadline": "1m", "recovery": {"objective": "cost"}}],
	"rules": [{"name": "all"}],
	"backend_servers": [
		{"name": "b1", "address": "127.0.0.1:1", "data_centre": "n1", "service": "s", "model": "m", "version": "1", "slots": 1},
		{"name": "b2", "address": "127.0.0.1:2", "data_centre": "s1", "service": "s", "model": "m", "version": "1", "slots": 1},
	],
}`

// alone is the operator.Peers of a single instance.
type alone struct{}

func (alone) Dumps(context.Context, string, int) dump.Estate         { return dump.Estate{} }
func (alone) DumpsAbout(context.Context, string, string) dump.Estate { return dump.Estate{} }
func (alone) Revisions(context.Context, string) []operatorapi.InstanceRevision {
	return nil
}
func (alone) Dump(context.Context, string, string) (dump.Instance, error) {
	return dump.Instance{}, nil
}
func (alone) Command(context.Context, string, string, operatorapi.Request) (int, []operatorapi.InstanceRevision) {
	return 0, nil
}

// fixedSource is the configuration in force, as far as this instance knows.
type fixedSource struct{ configuration *estate.Configuration }

func (s *fixedSource) Current() *estate.Configuration { return s.configuration }

func newExecutor(store *faultyStore, source *fixedSource, marks *operator.LocalDrains, now func() time.Time) *operator.Executor {
	return newExecutorPausing(store, source, marks, now, func(ctx context.Context, _ time.Duration) bool { return ctx.Err() == nil })
}

func newExecutorPausing(store *faultyStore, source *fixedSource, marks *operator.LocalDrains, now func() time.Time, pause func(context.Context, time.Duration) bool) *operator.Executor {
	return operator.NewExecutor(operator.Options{
		Instance:       "i1",
		DataCentre:     "n1",
		Configurations: operator.NewStoredConfigurations(store),
		Current:        source,
		Peers:          alone{},
		LocalDrains:    marks,
		Logger:         zerolog.Nop(),
		Now:            now,
		Pause:          pause,
	})
}

var chief = operator.Operator{Name: "chief", Role: settings.RoleAdmit}

// submission is what an operator sent and was told.
type submission struct {
	request  operatorapi.Request
	outcomes []operatorapi.Response
}

func (s *submission) last() operatorapi.Response { return s.outcomes[len(s.outcomes)-1] }

// races drives operators against the oracle: the chain of heads that the
// platform ever held, and what the operators were told.
type races struct {
	t           *rapid.T
	store       *faultyStore
	executors   []*operator.Executor
	instances   []*racingInstance
	submissions map[string]*submission
	order       []string
	depth       int
	// checked is how many heads check has seen, previous the last of them.
	checked   int
	previous  *estate.Configuration
	appliedAt map[string]uint64
}

func (r *races) init() {
	initial, err := estate.Parse("", []byte(smallEstate))
	if err != nil {
		r.t.Fatal(err)
	}
	if _, err := configstore.Commit(r.t.Context(), r.store, &estate.Configuration{}, &initial, "initial"); err != nil {
		r.t.Fatal(err)
	}
	for range 2 {
		instance := &racingInstance{source: &fixedSource{}, marks: operator.NewLocalDrains()}
		r.instances = append(r.instances, instance)
		r.executors = append(r.executors, newExecutor(r.store, instance.source, instance.marks, time.Now))
	}
	r.store.beforeHead = r.beforeHead
	r.store.loseChunk = func() bool { return rapid.IntRange(0, 5).Draw(r.t, "chunk") == 0 }
}

// beforeHead lets another operator come in between and picks the fault.
func (r *races) beforeHead() headFault {
	if r.depth == 1 && rapid.IntRange(0, 2).Draw(r.t, "race") == 0 {
		r.submitNew()
	}
	return rapid.SampledFrom([]headFault{headWritten, headWritten, answerLost, writeLost, writeDelayed, writeRefused}).Draw(r.t, "head")
}

var texts = []string{
	"drain backend-server b1", "undrain backend-server b1", "drain data-centre s1", "undrain data-centre s1",
	"set client-account/account/weight 2", "set client-account/account/weight 3",
	"shift 20% of model m from north to south", "shift 0 of model m from north to south",
	"set client-account/account/weight 0", // invalid
	"drain backend-server b1 --local", "undrain backend-server b1 --local",
}

func (r *races) submitNew() {
	id := "c" + strconv.Itoa(len(r.order))
	request := operatorapi.Request{ID: id, Command: rapid.SampledFrom(texts).Draw(r.t, "command")}
	if len(r.store.heads) > 0 && rapid.Bool().Draw(r.t, "read") {
		request.ReadRevision = rapid.SampledFrom(r.store.heads).Draw(r.t, "revision").Version
	}
	r.submissions[id] = &submission{request: request}
	r.order = append(r.order, id)
	r.submit(id)
}

func (r *races) submit(id string) {
	r.depth++
	defer func() { r.depth-- }()
	executor := rapid.SampledFrom(r.executors).Draw(r.t, "instance")
	response := executor.Execute(r.t.Context(), chief, r.submissions[id].request)
	r.submissions[id].outcomes = append(r.submissions[id].outcomes, response)
}

// unsettled returns the commands that an operator would repeat.
func (r *races) unsettled() []string {
	var ids []string
	for _, id := range r.order {
		outcomes := r.submissions[id].outcomes
		if len(outcomes) == 0 {
			continue
		}
		if last := r.submissions[id].last().Outcome; last == operatorapi.Unknown || last == operatorapi.AppliedLocally {
			ids = append(ids, id)
		}
	}
	return ids
}

func (r *races) repeat() {
	if len(r.order) == 0 {
		r.t.Skip("nothing to repeat")
	}
	candidates := r.unsettled()
	if len(candidates) == 0 || rapid.IntRange(0, 3).Draw(r.t, "any") == 0 {
		candidates = r.order
	}
	id := rapid.SampledFrom(candidates).Draw(r.t, "id")
	r.submissions[id].request.Repeat = true
	r.submit(id)
}

// racingInstance is what one instance knows besides the platform.
type racingInstance struct {
	source *fixedSource
	marks  *operator.LocalDrains
}

// catchUp brings the newest configuration into force on one instance.
func (r *races) catchUp() {
	if !r.store.outage {
		rapid.SampledFrom(r.instances).Draw(r.t, "instance").source.configuration = r.latest()
	}
}

// latest returns the newest configuration in the platform.
func (r *races) latest() *estate.Configuration {
	snapshot, err := configstore.LoadSnapshot(r.t.Context(), chunksOf{r.store}, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	return snapshot.Configuration
}

// writeMarks lets one instance write its local marks.
func (r *races) writeMarks() {
	instance := rapid.SampledFrom(r.instances).Draw(r.t, "instance")
	r.store.writingMarks = true
	defer func() { r.store.writingMarks = false }()
	writeMarksOnce(r.t.Context(), r.store, instance.source, instance.marks, time.Now)
}

// markedAt returns the newest revision at which a command was marked.
func (s *submission) markedAt() uint64 {
	var revision uint64
	for _, response := range s.outcomes {
		if response.Outcome == operatorapi.AppliedLocally {
			revision = max(revision, response.ReadRevision)
		}
	}
	return revision
}

// checkMark demands that nothing decided about a mark's object between the mark
// and its writing.
func (r *races) checkMark(is *is.I, id string, writtenAt uint64) {
	mark := r.submissions[id]
	marked, err := command.ParseOne(mark.request.Command)
	is.NoErr(err)
	for _, object := range r.store.heads {
		if object.Version <= mark.markedAt() || object.Version >= writtenAt {
			continue
		}
		head, err := configstore.DecodeHead(object.Value)
		is.NoErr(err)
		newer, err := command.ParseOne(r.submissions[head.ID].request.Command)
		is.NoErr(err)
		is.True(newer.Drain == nil || newer.Drain.Object() != marked.Drain.Object()) // a newer decision stands
	}
}

// check compares the chain of heads with what the operators were told.
func (r *races) check() {
	is := is.NewRelaxed(r.t)
	for _, object := range r.store.heads[r.checked:] {
		head, err := configstore.DecodeHead(object.Value)
		is.NoErr(err)
		_, twice := r.appliedAt[head.ID]
		is.True(!twice) // a command is applied at most once
		r.appliedAt[head.ID] = object.Version
		current, err := configstore.LoadHead(r.t.Context(), chunksOf{r.store}, object, nil)
		is.NoErr(err) // a revision is whole
		if r.checked > 0 {
			r.checkStep(is, head.ID, r.previous, current)
		}
		r.previous = current
		r.checked++
	}
	for _, id := range r.order {
		r.checkOutcome(is, id, r.appliedAt)
	}
}

// checkStep demands that a revision is its predecessor changed by its command
// alone.
func (r *races) checkStep(is *is.I, id string, previous, current *estate.Configuration) {
	request := r.submissions[id].request
	parsed, err := command.ParseOne(request.Command)
	is.NoErr(err)
	want, err := command.Change(parsed, previous, nil)
	is.NoErr(err)
	is.True(command.Equal(want, current))         // the command's change and nothing else
	is.True(current.Revision > previous.Revision) // revisions grow
	if r.store.ofMark[current.Revision] {
		r.checkMark(is, id, current.Revision)
	} else if request.ReadRevision != 0 {
		is.Equal(previous.Revision, request.ReadRevision) // conditional on the revision read
	}
}

// checkOutcome demands that what an operator was told is true. An unknown
// outcome says nothing.
func (r *races) checkOutcome(is *is.I, id string, appliedAt map[string]uint64) {
	submitted := r.submissions[id]
	revision, applied := appliedAt[id]
	for _, response := range submitted.outcomes {
		if response.Outcome == operatorapi.Applied {
			is.True(applied)                      // applied is true
			is.Equal(response.Revision, revision) // and names the revision
		}
	}
	if len(submitted.outcomes) == 0 {
		return
	}
	switch submitted.last().Outcome {
	case operatorapi.Conflict:
		is.True(!applied) // a conflict applied nothing
		is.True(submitted.last().ReadRevision != submitted.last().Revision)
	case operatorapi.NotApplied, operatorapi.Rejected, operatorapi.Unchanged:
		is.True(!applied) // a refusal applied nothing
	case operatorapi.Unknown:
		is.True(submitted.last().RepeatCommand != "") // the command that settles it
	}
}

// chunksOf reads through an outage.
type chunksOf struct{ *faultyStore }

func (s chunksOf) Get(_ context.Context, key string) (objectstore.Object, error) {
	return s.objects[key], nil
}

func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &races{t: t, store: newFaultyStore(), submissions: make(map[string]*submission), appliedAt: make(map[string]uint64)}
		r.init()
		t.Repeat(map[string]func(*rapid.T){
			"submit":   func(t *rapid.T) { r.t = t; r.submitNew() },
			"repeat":   func(t *rapid.T) { r.t = t; r.repeat() },
			"recover":  func(*rapid.T) { r.store.outage = false },
			"catch up": func(t *rapid.T) { r.t = t; r.catchUp() },
			"marks":    func(t *rapid.T) { r.t = t; r.writeMarks() },
			"land":     func(*rapid.T) { r.store.land() },
			"outage":   func(*rapid.T) { r.store.outage = true },
			"":         func(t *rapid.T) { r.t = t; r.check() },
		})
	})
}
