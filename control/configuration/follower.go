// Package configuration keeps the configuration in force up to date.
package configuration

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/estate"
	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/platform"
)

// retryPause is the wait after a failed platform call.
const retryPause = 200 * time.Millisecond

// Follower watches the platform and implements serving.ConfigurationSource.
// Revisions never go back.
type Follower struct {
	store   platform.Store
	logger  zerolog.Logger
	current atomic.Pointer[estate.Configuration]
	chunks  map[string][]byte
}

// NewFollower returns a follower without a configuration.
func NewFollower(store platform.Store, logger zerolog.Logger) *Follower {
	return &Follower{store: store, logger: logger, chunks: make(map[string][]byte)}
}

// Current implements serving.ConfigurationSource.
func (f *Follower) Current() *estate.Configuration { return f.current.Load() }

// Run follows the platform until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.refresh(ctx); err != nil {
			pause(ctx)
			continue
		}
		if _, err := f.store.Watch(ctx, configstore.HeadKey, f.revision()); err != nil {
			pause(ctx)
		}
	}
}

// refresh reads the head and applies a newer revision.
func (f *Follower) refresh(ctx context.Context) error {
	object, err := f.store.Get(ctx, configstore.HeadKey)
	if err != nil {
		return err
	}
	if object.Version <= f.revision() {
		return nil
	}
	next, err := configstore.LoadHead(ctx, f.store, object, f.chunks)
	if err != nil {
		return err
	}
	f.current.Store(next)
	event.Log(f.logger, event.ConfigurationInForce).Uint64("revision", next.Revision).Send()
	return nil
}

func (f *Follower) revision() uint64 {
	if current := f.current.Load(); current != nil {
		return current.Revision
	}
	return 0
}

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryPause):
	}
}
