package forward

// silenceEvidence is what shows that a stream may leave its silent server; empty when it stays there.
type silenceEvidence string

const (
	// evidenceRefused means that nothing listens at the server's address.
	evidenceRefused silenceEvidence = "refused"
	// evidenceOtherProcess means that another process has the server's address or id.
	evidenceOtherProcess silenceEvidence = "other_process"
	// evidenceUnreachable means that the server's machine answers no connection attempt, and most servers of its service in
	// the data centre fell silent in the same moment.
	evidenceUnreachable silenceEvidence = "unreachable"
	// evidenceServerSilent means that the server has sent nothing for longer than a sound one pauses.
	evidenceServerSilent silenceEvidence = "server_silent"
	// evidenceStreamSilent means that the server answers, but has not sent on this stream for too long.
	evidenceStreamSilent silenceEvidence = "stream_silent"
	// evidenceAnswerLost means that the server has produced events which did not arrive.
	evidenceAnswerLost silenceEvidence = "answer_lost"
	// evidencePartialHead means that the server answers, but does not end the head of the answer.
	evidencePartialHead silenceEvidence = "partial_head"
)
