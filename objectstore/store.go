package objectstore

import "context"

// MaxValueBytes is the maximum size of a value in the object API.
const MaxValueBytes = 1 << 20

// Store is the platform's object API. Errors are *fault.Error with one of the
// codes NotFound, PlatformConflict, PlatformUnavailable, PlatformRateLimited,
// PlatformAnswerLost and PlatformValueTooLarge. PlatformAnswerLost means that a
// write may have been applied.
type Store interface {
	// Get returns one object, or NotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes the value if the condition holds and returns the new version. Versions increase
	// across the whole store.
	Put(ctx context.Context, key string, value []byte, condition Condition) (uint64, error)
	// Delete removes the object if the condition holds.
	Delete(ctx context.Context, key string, condition Condition) error
	// List returns the objects under a prefix in key order.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until an object under the prefix changes after the version and returns the
	// changes in order of version. An empty result means that the wait timed out without a
	// change.
	Watch(ctx context.Context, prefix string, after uint64) ([]Change, error)
}
