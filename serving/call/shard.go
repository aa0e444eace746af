package call

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/objectstore"
)

// Bounds of a shard's duty.
const (
	shardInbox    = 4096
	storeTimeout  = time.Second
	deleteTimeout = 5 * time.Second
)

// shard runs the committer of one claim shard in a goroutine of its own.
type shard struct {
	name      claim.Shard
	store     objectstore.Store
	logger    zerolog.Logger
	committer *claim.Committer
	inbox     chan shardInput
	answers   map[uint64]func(claim.Answer)
	nextID    uint64
	timer     *time.Timer
	failures  int
	failFast  int
}

// shardInput is one event for the shard.
type shardInput struct {
	input claim.Input
	// answer is set with a claim.Submit.
	answer func(claim.Answer)
	// state asks for the shard's state.
	state chan<- shardState
}

// shardState is the state of a shard for the dump.
type shardState struct {
	Shard   string `json:"shard"`
	Keys    int    `json:"keys"`
	Waiting int    `json:"waiting"`
	// Failures counts the reads and writes that failed in a row.
	Failures int `json:"failures"`
	Depth    int `json:"depth"`
}

func newShard(name claim.Shard, parts Parts) *shard {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &shard{
		name:      name,
		store:     parts.Store,
		logger:    parts.Logger.With().Str("shard", name.HeadKey()).Logger(),
		committer: claim.New(name, parts.Claim, random),
		inbox:     make(chan shardInput, shardInbox),
		answers:   make(map[uint64]func(claim.Answer)),
		timer:     time.NewTimer(time.Hour),
		failFast:  parts.Claim.FailFastAfter,
	}
}

// operate hands in an operation. A full inbox answers it as unresolved.
func (s *shard) operate(operation claim.Operation, answer func(claim.Answer)) {
	select {
	case s.inbox <- shardInput{input: claim.Submit{Operation: operation}, answer: answer}:
	default:
		answer(claim.Answer{ID: operation.ID, Result: claim.ResultUnresolved})
	}
}

// run drives the committer until the context ends.
func (s *shard) run(ctx context.Context) {
	defer s.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-s.inbox:
			s.handle(ctx, event)
		case <-s.timer.C:
			s.step(ctx, claim.Tick{})
		}
	}
}

func (s *shard) handle(ctx context.Context, event shardInput) {
	if event.state != nil {
		event.state <- s.currentState()
		return
	}
	if submit, ok := event.input.(claim.Submit); ok {
		event.input = s.remember(submit, event.answer)
	}
	s.step(ctx, event.input)
}

func (s *shard) currentState() shardState {
	return shardState{
		Shard:    s.name.HeadKey(),
		Keys:     s.committer.KeyCount(),
		Waiting:  s.committer.Waiting(),
		Failures: s.failures,
		Depth:    len(s.inbox),
	}
}

// remember gives the operation an id of the shard's own.
func (s *shard) remember(submit claim.Submit, answer func(claim.Answer)) claim.Submit {
	s.nextID++
	callersID := submit.Operation.ID
	submit.Operation.ID = s.nextID
	s.answers[s.nextID] = func(result claim.Answer) {
		result.ID = callersID
		answer(result)
	}
	return submit
}

func (s *shard) step(ctx context.Context, input claim.Input) {
	s.watch(input)
	for _, output := range s.committer.Step(time.Now(), input) {
		switch output := output.(type) {
		case claim.Read:
			go s.read(ctx, output)
		case claim.Write:
			go s.write(ctx, output)
		case claim.Delete:
			go s.remove(ctx, output)
		case claim.Answer:
			s.answers[output.ID](output)
			delete(s.answers, output.ID)
		case claim.Wake:
			s.timer.Reset(time.Until(output.At))
		}
	}
}

// watch logs when the shard becomes unavailable and available.
func (s *shard) watch(input claim.Input) {
	var status claim.Status
	switch input := input.(type) {
	case claim.ReadDone:
		status = input.Status
	case claim.WriteDone:
		status = input.Status
	default:
		return
	}
	if status == claim.StatusFailed {
		s.failures++
		if s.failures == s.failFast {
			event.Log(s.logger, event.ClaimsUnavailable).Send()
		}
		return
	}
	if s.failures >= s.failFast {
		event.Log(s.logger, event.ClaimsAvailable).Send()
	}
	s.failures = 0
}

func (s *shard) read(ctx context.Context, read claim.Read) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	object, err := s.store.Get(bounded, read.Key)
	done := claim.ReadDone{Ticket: read.Ticket, Value: object.Value, Version: object.Version}
	switch {
	case err == nil:
	case fault.HasCode(err, fault.NotFound):
		done.Status = claim.StatusAbsent
	default:
		done.Status = claim.StatusFailed
	}
	s.deliver(ctx, done)
}

func (s *shard) write(ctx context.Context, write claim.Write) {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	condition := objectstore.IfVersion(write.Version)
	if write.Absent {
		condition = objectstore.IfAbsent()
	}
	version, err := s.store.Put(bounded, write.Key, write.Value, condition)
	done := claim.WriteDone{Ticket: write.Ticket, Version: version}
	switch {
	case err == nil:
	case fault.HasCode(err, fault.PlatformConflict):
		done.Status = claim.StatusConflict
	default:
		done.Status = claim.StatusFailed
	}
	s.deliver(ctx, done)
}

// remove deletes an object that nothing refers to. A failure leaves it behind.
func (s *shard) remove(ctx context.Context, remove claim.Delete) {
	bounded, cancel := context.WithTimeout(ctx, deleteTimeout)
	defer cancel()
	_ = s.store.Delete(bounded, remove.Key, objectstore.Always())
}

// deliver hands in the result of a read or write, which must not be dropped.
func (s *shard) deliver(ctx context.Context, input claim.Input) {
	select {
	case s.inbox <- shardInput{input: input}:
	case <-ctx.Done():
	}
}
