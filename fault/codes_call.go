package fault

import "net/http"

// Failures of calls to plain services.
const (
	CallNotRun         Code = "call_not_run"
	CallOutcomeUnknown Code = "call_outcome_unknown"
	CallRefusedHere    Code = "call_refused_here"
	CallKeyMissing     Code = "call_key_missing"
	CallKeyReused      Code = "call_key_reused"
	CallFailed         Code = "call_failed"
	RequestQuarantined Code = "request_quarantined"
	RetryBudgetEmpty   Code = "retry_budget_empty"
	AnswerCrossed      Code = "answer_crossed"
	CallAnswerLost     Code = "call_answer_lost"
	RequestSuspected   Code = "request_suspected"
)

var callDefinitions = map[Code]Definition{
	CallNotRun:         {http.StatusServiceUnavailable, "the call was not run and nothing was ever sent for its key", "send it again"},
	CallOutcomeUnknown: {http.StatusConflict, "the call was sent and its outcome is not known", "check the backend service; repeating the key is safe"},
	CallRefusedHere:    {http.StatusServiceUnavailable, "this submission was not sent; earlier ones of the key could not be read", "repeat the key later"},
	CallKeyMissing:     {http.StatusBadRequest, "a non-idempotent call needs an Idempotency-Key", "send a key"},
	CallKeyReused:      {http.StatusUnprocessableEntity, "the key was used before with another request", "use a new key"},
	CallFailed:         {http.StatusBadGateway, "an idempotent call failed on every try", "retry later"},
	RequestQuarantined: {http.StatusUnprocessableEntity, "the request ended several backend servers and is quarantined", "change the request, or ask an operator to release it"},
	AnswerCrossed:      {http.StatusBadGateway, "the backend server answered another request", "check the backend server"},
	CallAnswerLost:     {http.StatusBadGateway, "the connection broke before the call's answer", "repeat the call with the same key"},
	RequestSuspected:   {http.StatusServiceUnavailable, "the request may have ended several backend servers and was not cleared in time", "send it again after the given time"},
	RetryBudgetEmpty:   {http.StatusServiceUnavailable, "the retry budget is used up", "retry later"},
}
