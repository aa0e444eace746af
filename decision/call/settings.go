package call

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/retry"
)

// Settings are the policy of a Machine.
type Settings struct {
	// ForwardTimeout is the wait for the shard's home before the claim is
	// also committed directly.
	ForwardTimeout time.Duration
	// ClaimTimeout bounds the wait for a claim.
	ClaimTimeout time.Duration
	// DispatchWindow bounds the time from the submission of a claim to the
	// sending of the call. It is far below any retention, so that no call is
	// sent after its key was forgotten.
	DispatchWindow time.Duration
	// ReleaseTimeout bounds the caller's wait for a release.
	ReleaseTimeout time.Duration
	// BackgroundTimeout bounds the work after the answer.
	BackgroundTimeout time.Duration
	// OperationTimeout bounds one try of a release or record.
	OperationTimeout time.Duration
	// MaxRoutes bounds the servers that are tried before anything was sent.
	MaxRoutes int
	// MaxAttempts bounds the attempts of an idempotent call.
	MaxAttempts int
	// Backoff is the wait between retries.
	Backoff retry.Backoff
	// RetryAfter is advised to callers that are refused.
	RetryAfter time.Duration
}

// DefaultSettings returns the policy used in production.
func DefaultSettings() Settings {
	return Settings{
		ForwardTimeout:    400 * time.Millisecond,
		ClaimTimeout:      2 * time.Second,
		DispatchWindow:    5 * time.Second,
		ReleaseTimeout:    time.Second,
		BackgroundTimeout: 30 * time.Second,
		OperationTimeout:  2 * time.Second,
		MaxRoutes:         3,
		MaxAttempts:       4,
		Backoff:           retry.Backoff{Base: 20 * time.Millisecond, Max: 500 * time.Millisecond},
		RetryAfter:        time.Second,
	}
}
