package event

import "github.com/rs/zerolog"

// Events of orders that move a service to another software version.
var (
	RolloutSeen        = Definition{7080, "rollout_seen", zerolog.InfoLevel, "an order to move a service to another software version is in force", "none"}
	RolloutShare       = Definition{7081, "rollout_share", zerolog.InfoLevel, "the share of requests changed that go to the new version; the fields give the reason, the evidence and its age", "none"}
	RolloutDecided     = Definition{7082, "rollout_decided", zerolog.WarnLevel, "an order to move a service has its outcome; the fields give the reason and the evidence", "if it was rolled back, see docs/OPERATIONS.md"}
	RolloutWritten     = Definition{7083, "rollout_written", zerolog.InfoLevel, "this instance wrote the state of an order to the store", "none"}
	RolloutNotWritten  = Definition{7084, "rollout_not_written", zerolog.WarnLevel, "the state of an order could not be written; it is written again", "check the store if it repeats"}
	RolloutInvalid     = Definition{7085, "rollout_invalid", zerolog.WarnLevel, "an order is wrong and has no effect", "correct the named field"}
	RolloutStopped     = Definition{7086, "rollout_stopped", zerolog.WarnLevel, "a software version gets no more requests, also none of streams that it began", "none"}
	RolloutUnavailable = Definition{7087, "rollouts_unavailable", zerolog.WarnLevel, "the orders in the store could not be read", "check the store if it repeats"}
)

var rolloutEvents = []Definition{
	RolloutSeen, RolloutShare, RolloutDecided, RolloutWritten, RolloutNotWritten, RolloutInvalid, RolloutStopped, RolloutUnavailable,
}
