package call

import (
	"context"
	"sync"

	"github.com/wisteriahaven/wisteriahaven/decision/claim"
)

// shards holds the claim shards that this instance has used.
type shards struct {
	parts  Parts
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu   sync.Mutex
	byID map[claim.Shard]*shard
}

func newShards(parts Parts) *shards {
	ctx, cancel := context.WithCancel(context.Background())
	return &shards{parts: parts, ctx: ctx, cancel: cancel, byID: make(map[claim.Shard]*shard)}
}

// get returns the shard, which runs until close.
func (s *shards) get(id claim.Shard) *shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.byID[id]
	if !ok {
		found = newShard(id, s.parts)
		s.byID[id] = found
		s.wait.Go(func() { found.run(s.ctx) })
	}
	return found
}

// states returns the state of every shard that answers in time.
func (s *shards) states(ctx context.Context) []shardState {
	s.mu.Lock()
	all := make([]*shard, 0, len(s.byID))
	for _, open := range s.byID {
		all = append(all, open)
	}
	s.mu.Unlock()
	var states []shardState
	for _, open := range all {
		answer := make(chan shardState, 1)
		select {
		case open.inbox <- shardInput{state: answer}:
		default:
			continue
		}
		select {
		case state := <-answer:
			states = append(states, state)
		case <-ctx.Done():
			return states
		case <-s.ctx.Done():
			return states
		}
	}
	return states
}

func (s *shards) close() {
	s.cancel()
	s.wait.Wait()
}
