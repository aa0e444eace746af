package forward

import "github.com/wisteriahaven/wisteriahaven/gateway/message"

// rankUrgency returns the urgency that follows from the request's rank, none where the ranks of the service don't differ.
// begun says that a part of its stream was delivered.
func (j *job) rankUrgency(begun bool) message.Urgency {
	level, differ := j.table.Ranks(j.service).Level(j.rank, begun)
	if !differ {
		return 0
	}
	return message.MostUrgent + message.Urgency(level)
}

// urgency returns the urgency of an attempt.
func (a *streamAttempt) urgency() message.Urgency {
	r := a.run
	if urgency := r.j.rankUrgency(r.events.positionKnown); urgency != 0 {
		return urgency
	}
	if r.events.positionKnown && !a.fromCopy && !a.reconnecting && a.server.ID != r.size.CachedAt {
		// Where the prefill is repeated, the pause exceeds the target anyway.
		return message.YieldingUrgency
	}
	return 0
}
