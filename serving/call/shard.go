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

// Limits of a shard.
const (
	shardInboxSize = 4096
	storeTimeout   = time.Second
	deleteTimeout  = 5 * time.Second
)

// shard runs the committer of one claim shard in its own goroutine.
type shard struct {
	id             claim.Shard
	store          objectstore.Store
	logger         zerolog.Logger
	committer      *claim.Committer
	inbox          chan shardInput
	pendingAnswers map[uint64]func(claim.Answer)
	nextID         uint64
	timer          *time.Timer
	failures       int
	failFast       int
}

// shardInput is an input of the committer or a request for the shard's state.
type shardInput struct {
	input claim.Input
	// answer receives the result of a claim.Submit.
	answer func(claim.Answer)
	// state, if set, receives the shard's state.
	state chan<- shardState
}

// shardState is the state of a shard in the dump.
type shardState struct {
	Shard   string `json:"shard"`
	Keys    int    `json:"keys"`
	Waiting int    `json:"waiting"`
	// Failures counts the reads and writes that failed in a row.
	Failures int `json:"failures"`
	// Depth is the number of queued inputs.
	Depth int `json:"depth"`
}

func newShard(id claim.Shard, parts Parts) *shard {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &shard{
		id:             id,
		store:          parts.Store,
		logger:         parts.Logger.With().Str("shard", id.HeadKey()).Logger(),
		committer:      claim.New(id, parts.Claim, random),
		inbox:          make(chan shardInput, shardInboxSize),
		pendingAnswers: make(map[uint64]func(claim.Answer)),
		timer:          time.NewTimer(time.Hour),
		failFast:       parts.Claim.FailFastAfter,
	}
}

// operate queues an operation. If the inbox is full, the answer is unresolved.
func (s *shard) operate(operation claim.Operation, answer func(claim.Answer)) {
	select {
	case s.inbox <- shardInput{input: claim.Submit{Operation: operation}, answer: answer}:
	default:
		answer(claim.Answer{ID: operation.ID, Result: claim.ResultUnresolved})
	}
}

// run runs the committer until the context ends.
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
		event.input = s.assignID(submit, event.answer)
	}
	s.step(ctx, event.input)
}

func (s *shard) currentState() shardState {
	return shardState{
		Shard:    s.id.HeadKey(),
		Keys:     s.committer.KeyCount(),
		Waiting:  s.committer.Waiting(),
		Failures: s.failures,
		Depth:    len(s.inbox),
	}
}

// assignID replaces the operation's id by one that is unique in the shard.
func (s *shard) assignID(submit claim.Submit, answer func(claim.Answer)) claim.Submit {
	s.nextID++
	submittedID := submit.Operation.ID
	submit.Operation.ID = s.nextID
	s.pendingAnswers[s.nextID] = func(result claim.Answer) {
		result.ID = submittedID
		answer(result)
	}
	return submit
}

func (s *shard) step(ctx context.Context, input claim.Input) {
	s.countFailure(input)
	for _, output := range s.committer.Step(time.Now(), input) {
		switch output := output.(type) {
		case claim.Read:
			go s.read(ctx, output)
		case claim.Write:
			go s.write(ctx, output)
		case claim.Delete:
			go s.deleteObject(ctx, output)
		case claim.Answer:
			s.pendingAnswers[output.ID](output)
			delete(s.pendingAnswers, output.ID)
		case claim.Wake:
			s.timer.Reset(time.Until(output.At))
		}
	}
}

// countFailure counts failed reads and writes in a row, and logs when the shard
// becomes unavailable or available again.
func (s *shard) countFailure(input claim.Input) {
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
	s.queueInput(ctx, done)
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
	s.queueInput(ctx, done)
}

// deleteObject deletes an unreferenced object, which stays after a failure.
func (s *shard) deleteObject(ctx context.Context, remove claim.Delete) {
	bounded, cancel := context.WithTimeout(ctx, deleteTimeout)
	defer cancel()
	_ = s.store.Delete(bounded, remove.Key, objectstore.Always())
}

// queueInput queues the result of a read or write, which must not be dropped.
func (s *shard) queueInput(ctx context.Context, input claim.Input) {
	select {
	case s.inbox <- shardInput{input: input}:
	case <-ctx.Done():
	}
}
