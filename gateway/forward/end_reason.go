package forward

// endReason is why a stream that failed at one server does not continue at another.
type endReason string

const (
	endTooLittleTime endReason = "too_little_time"
	endNotResumable  endReason = "not_resumable"
	endAttempts      endReason = "attempts"
	endUnreachable   endReason = "unreachable"
	endNotRun        endReason = "not_run"
	endSecondSends   endReason = "second_sends"
	endNoServer      endReason = "no_server"
	endDeadline      endReason = "deadline"
	endQuarantined   endReason = "quarantined"
	// endMayStillRun means that nothing shows that the silent server stopped.
	endMayStillRun endReason = "may_still_run"
)
