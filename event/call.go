package event

import "github.com/rs/zerolog"

// Events of calls and quarantines, numbered from 3000.
var (
	ClaimsUnavailable  = Definition{3000, "claims_unavailable", zerolog.WarnLevel, "a claim shard can't be read or written: its non-idempotent calls are refused", "check the platform; see docs/operations/calls.md"}
	ClaimsAvailable    = Definition{3001, "claims_available", zerolog.InfoLevel, "a claim shard can be read and written again", "none"}
	CallOutcomeUnknown = Definition{3002, "call_outcome_unknown", zerolog.WarnLevel, "a non-idempotent call was sent and its answer was lost", "check the backend server for the call's key"}
	OutcomeNotRecorded = Definition{3003, "outcome_not_recorded", zerolog.WarnLevel, "the outcome of an answered call could not be recorded: repeats with its key get the execution state unknown", "check the platform"}
	ClaimNotReleased   = Definition{3004, "claim_not_released", zerolog.WarnLevel, "a claim of a call that was never sent could not be released: repeats with its key may get the execution state unknown", "check the platform"}
	AnswerCrossed      = Definition{3005, "answer_crossed", zerolog.ErrorLevel, "a backend server's answer belongs to another request: it was discarded and its connection closed", "check the backend server and every proxy on the path to it"}
	RequestSuspected   = Definition{3010, "request_suspected", zerolog.InfoLevel, "a backend server crashed: the requests that it ran are isolated from each other when they run again", "check the backend server"}
	RequestQuarantined = Definition{3011, "request_quarantined", zerolog.ErrorLevel, "a request was the only suspect when backend servers crashed: it is refused from now on", "see docs/operations/quarantine.md"}
	QuarantineReleased = Definition{3012, "quarantine_released", zerolog.InfoLevel, "an operator released a quarantined request", "none"}
)

var callEvents = []Definition{
	ClaimsUnavailable, ClaimsAvailable, CallOutcomeUnknown, OutcomeNotRecorded, ClaimNotReleased, AnswerCrossed,
	RequestSuspected, RequestQuarantined, QuarantineReleased,
}
