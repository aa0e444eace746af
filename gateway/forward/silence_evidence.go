package forward

// silenceEvidence is what showed that a stream should leave its silent server; empty when it stays there.
type silenceEvidence string

const (
	// evidenceUnprobed means that the server was not probed, because another one holds a copy.
	evidenceUnprobed silenceEvidence = "unprobed"
	// evidenceNoAnswer means that a probe got no answer.
	evidenceNoAnswer silenceEvidence = "no_answer"
	// evidenceLongSilence means that the stream was silent for too long.
	evidenceLongSilence silenceEvidence = "long_silence"
	// evidenceAnswerLost means that the server has produced events which did not arrive.
	evidenceAnswerLost silenceEvidence = "answer_lost"
	// evidencePartialHead means that the head of the answer did not end.
	evidencePartialHead silenceEvidence = "partial_head"
)
