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

// noPeers is the operator.Peers of a single instance.
type noPeers struct{}

func (noPeers) Dumps(context.Context, string, int) dump.Estate         { return dump.Estate{} }
func (noPeers) DumpsAbout(context.Context, string, string) dump.Estate { return dump.Estate{} }
func (noPeers) Revisions(context.Context, string) []operatorapi.InstanceRevision {
	return nil
}
func (noPeers) Dump(context.Context, string, string) (dump.Instance, error) {
	return dump.Instance{}, nil
}
func (noPeers) Command(context.Context, string, string, operatorapi.Request) (int, []operatorapi.InstanceRevision) {
	return 0, nil
}

// fixedSource provides the in-force configuration of an instance.
type fixedSource struct{ configuration *estate.Configuration }

func (s *fixedSource) Current() *estate.Configuration { return s.configuration }

func newExecutor(store *faultyStore, source *fixedSource, localDrains *operator.LocalDrains, now func() time.Time) *operator.Executor {
	return newExecutorPausing(store, source, localDrains, now, func(ctx context.Context, _ time.Duration) bool { return ctx.Err() == nil })
}

func newExecutorPausing(store *faultyStore, source *fixedSource, localDrains *operator.LocalDrains, now func() time.Time, pause func(context.Context, time.Duration) bool) *operator.Executor {
	return operator.NewExecutor(operator.Options{
		Instance:       "i1",
		DataCentre:     "n1",
		Configurations: operator.NewStoredConfigurations(store),
		Current:        source,
		Peers:          noPeers{},
		LocalDrains:    localDrains,
		Logger:         zerolog.Nop(),
		Now:            now,
		Pause:          pause,
	})
}

var chief = operator.Operator{Name: "chief", Role: settings.RoleAdmit}

// submission is a command that an operator sent and the responses to it.
type submission struct {
	request   operatorapi.Request
	responses []operatorapi.Response
}

func (s *submission) last() operatorapi.Response { return s.responses[len(s.responses)-1] }

// raceModel runs the commands of concurrent operators and compares the responses
// with the oracle: the sequence of all heads that the platform held.
type raceModel struct {
	t           *rapid.T
	store       *faultyStore
	executors   []*operator.Executor
	instances   []*instanceState
	submissions map[string]*submission
	order       []string
	submitDepth int
	// checked is how many heads check has compared; previous is the
	// configuration of the last of them.
	checked   int
	previous  *estate.Configuration
	appliedAt map[string]uint64
}

func (r *raceModel) init() {
	initial, err := estate.Parse("", []byte(smallEstate))
	if err != nil {
		r.t.Fatal(err)
	}
	if _, err := configstore.Commit(r.t.Context(), r.store, &estate.Configuration{}, &initial, "initial"); err != nil {
		r.t.Fatal(err)
	}
	for range 2 {
		instance := &instanceState{source: &fixedSource{}, localDrains: operator.NewLocalDrains()}
		r.instances = append(r.instances, instance)
		r.executors = append(r.executors, newExecutor(r.store, instance.source, instance.localDrains, time.Now))
	}
	r.store.beforeHead = r.beforeHead
	r.store.loseChunk = func() bool { return rapid.IntRange(0, 5).Draw(r.t, "chunk") == 0 }
}

// beforeHead may run a concurrent command of another operator and draws the
// fault of the write.
func (r *raceModel) beforeHead() headFault {
	if r.submitDepth == 1 && rapid.IntRange(0, 2).Draw(r.t, "race") == 0 {
		r.submitNew()
	}
	return rapid.SampledFrom([]headFault{headWritten, headWritten, answerLost, writeLost, writeDelayed, writeRefused}).Draw(r.t, "head")
}

var commandTexts = []string{
	"drain backend-server b1", "undrain backend-server b1", "drain data-centre s1", "undrain data-centre s1",
	"set client-account/account/weight 2", "set client-account/account/weight 3",
	"shift 20% of model m from north to south", "shift 0 of model m from north to south",
	"set client-account/account/weight 0", // invalid
	"drain backend-server b1 --local", "undrain backend-server b1 --local",
}

func (r *raceModel) submitNew() {
	id := "c" + strconv.Itoa(len(r.order))
	request := operatorapi.Request{ID: id, Command: rapid.SampledFrom(commandTexts).Draw(r.t, "command")}
	if len(r.store.heads) > 0 && rapid.Bool().Draw(r.t, "read") {
		request.ReadRevision = rapid.SampledFrom(r.store.heads).Draw(r.t, "revision").Version
	}
	r.submissions[id] = &submission{request: request}
	r.order = append(r.order, id)
	r.submit(id)
}

func (r *raceModel) submit(id string) {
	r.submitDepth++
	defer func() { r.submitDepth-- }()
	executor := rapid.SampledFrom(r.executors).Draw(r.t, "instance")
	response := executor.Execute(r.t.Context(), chief, r.submissions[id].request)
	r.submissions[id].responses = append(r.submissions[id].responses, response)
}

// unresolved returns the commands that an operator would repeat.
func (r *raceModel) unresolved() []string {
	var ids []string
	for _, id := range r.order {
		outcomes := r.submissions[id].responses
		if len(outcomes) == 0 {
			continue
		}
		if last := r.submissions[id].last().Outcome; last == operatorapi.Unknown || last == operatorapi.AppliedLocally {
			ids = append(ids, id)
		}
	}
	return ids
}

func (r *raceModel) repeat() {
	if len(r.order) == 0 {
		r.t.Skip("nothing to repeat")
	}
	candidates := r.unresolved()
	if len(candidates) == 0 || rapid.IntRange(0, 3).Draw(r.t, "any") == 0 {
		candidates = r.order
	}
	id := rapid.SampledFrom(candidates).Draw(r.t, "id")
	r.submissions[id].request.Repeat = true
	r.submit(id)
}

// instanceState is the state that one instance keeps outside the platform.
type instanceState struct {
	source      *fixedSource
	localDrains *operator.LocalDrains
}

// catchUp puts the newest configuration in force on one instance.
func (r *raceModel) catchUp() {
	if !r.store.outage {
		rapid.SampledFrom(r.instances).Draw(r.t, "instance").source.configuration = r.latest()
	}
}

// latest returns the newest configuration in the platform.
func (r *raceModel) latest() *estate.Configuration {
	snapshot, err := configstore.LoadSnapshot(r.t.Context(), chunksOf{r.store}, nil)
	if err != nil {
		r.t.Fatal(err)
	}
	return snapshot.Configuration
}

// writeLocalDrains makes one instance write its local drains.
func (r *raceModel) writeLocalDrains() {
	instance := rapid.SampledFrom(r.instances).Draw(r.t, "instance")
	r.store.writingLocalDrains = true
	defer func() { r.store.writingLocalDrains = false }()
	writeLocalDrainsOnce(r.t.Context(), r.store, instance.source, instance.localDrains, time.Now)
}

// localDrainRevision returns the newest revision at which a local drain was set.
func (s *submission) localDrainRevision() uint64 {
	var revision uint64
	for _, response := range s.responses {
		if response.Outcome == operatorapi.AppliedLocally {
			revision = max(revision, response.ReadRevision)
		}
	}
	return revision
}

// checkLocalDrain fails if another command affected the object of a local drain
// after it was set and before it was written.
func (r *raceModel) checkLocalDrain(is *is.I, id string, writtenAt uint64) {
	local := r.submissions[id]
	localCommand, err := command.ParseOne(local.request.Command)
	is.NoErr(err)
	for _, object := range r.store.heads {
		if object.Version <= local.localDrainRevision() || object.Version >= writtenAt {
			continue
		}
		head, err := configstore.DecodeHead(object.Value)
		is.NoErr(err)
		newer, err := command.ParseOne(r.submissions[head.ID].request.Command)
		is.NoErr(err)
		is.True(newer.Drain == nil || newer.Drain.Object() != localCommand.Drain.Object()) // a newer command takes precedence
	}
}

// check compares the new heads with the responses to the operators.
func (r *raceModel) check() {
	is := is.NewRelaxed(r.t)
	for _, object := range r.store.heads[r.checked:] {
		head, err := configstore.DecodeHead(object.Value)
		is.NoErr(err)
		_, alreadyApplied := r.appliedAt[head.ID]
		is.True(!alreadyApplied) // a command is applied at most once
		r.appliedAt[head.ID] = object.Version
		current, err := configstore.LoadHead(r.t.Context(), chunksOf{r.store}, object, nil)
		is.NoErr(err) // a revision is complete
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

// checkStep fails if a revision differs from its predecessor by more or less
// than the change of its command.
func (r *raceModel) checkStep(is *is.I, id string, previous, current *estate.Configuration) {
	request := r.submissions[id].request
	parsed, err := command.ParseOne(request.Command)
	is.NoErr(err)
	want, err := command.Change(parsed, previous, nil)
	is.NoErr(err)
	is.True(command.Equal(want, current))         // the command's change and nothing else
	is.True(current.Revision > previous.Revision) // revisions increase
	if r.store.ofLocalDrain[current.Revision] {
		r.checkLocalDrain(is, id, current.Revision)
	} else if request.ReadRevision != 0 {
		is.Equal(previous.Revision, request.ReadRevision) // conditional on the revision read
	}
}

// checkOutcome fails if a response contradicts the heads; Unknown asserts nothing.
func (r *raceModel) checkOutcome(is *is.I, id string, appliedAt map[string]uint64) {
	submitted := r.submissions[id]
	revision, applied := appliedAt[id]
	for _, response := range submitted.responses {
		if response.Outcome == operatorapi.Applied {
			is.True(applied)                      // the change is in the configuration
			is.Equal(response.Revision, revision) // at the reported revision
		}
	}
	if len(submitted.responses) == 0 {
		return
	}
	switch submitted.last().Outcome {
	case operatorapi.Conflict:
		is.True(!applied) // a conflict applied nothing
		is.True(submitted.last().ReadRevision != submitted.last().Revision)
	case operatorapi.NotApplied, operatorapi.Rejected, operatorapi.Unchanged:
		is.True(!applied) // a refusal applied nothing
	case operatorapi.Unknown:
		is.True(submitted.last().RepeatCommand != "") // the command that determines the outcome
	}
}

// chunksOf reads the store even during an outage.
type chunksOf struct{ *faultyStore }

func (s chunksOf) Get(_ context.Context, key string) (objectstore.Object, error) {
	return s.objects[key], nil
}

func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &raceModel{t: t, store: newFaultyStore(), submissions: make(map[string]*submission), appliedAt: make(map[string]uint64)}
		r.init()
		t.Repeat(map[string]func(*rapid.T){
			"submit":   func(t *rapid.T) { r.t = t; r.submitNew() },
			"repeat":   func(t *rapid.T) { r.t = t; r.repeat() },
			"recover":  func(*rapid.T) { r.store.outage = false },
			"catch up": func(t *rapid.T) { r.t = t; r.catchUp() },
			"marks":    func(t *rapid.T) { r.t = t; r.writeLocalDrains() },
			"land":     func(*rapid.T) { r.store.deliverDelayed() },
			"outage":   func(*rapid.T) { r.store.outage = true },
			"":         func(t *rapid.T) { r.t = t; r.check() },
		})
	})
}
