package fault

import "net/http"

// Failures of generations.
const (
	CursorInvalid        Code = "cursor_invalid"
	CursorMismatch       Code = "cursor_mismatch"
	GenerationMismatch   Code = "generation_mismatch"
	GenerationIncomplete Code = "generation_incomplete"
	EngineUnreachable    Code = "engine_unreachable"
	EngineProtocol       Code = "engine_protocol"
	EngineStreamUnknown  Code = "engine_stream_unknown"
	CallerTooSlow        Code = "caller_too_slow"
	CallerDisconnected   Code = "caller_gone"
)

var generationDefinitions = map[Code]Definition{
	CursorInvalid:        {http.StatusBadRequest, "the cursor is malformed, forged or signed with an unknown key", "send the last event id unchanged"},
	CursorMismatch:       {http.StatusConflict, "the cursor belongs to another request", "send the cursor with the body it was issued for"},
	GenerationMismatch:   {http.StatusConflict, "the replayed answer differs from the delivered part", "ask again with on_mismatch restart"},
	GenerationIncomplete: {http.StatusBadGateway, "the answer could not be completed before its deadline", "reconnect with the last cursor"},
	EngineUnreachable:    {http.StatusBadGateway, "the engine did not accept the connection", "check the backend server"},
	EngineProtocol:       {http.StatusBadGateway, "the engine broke the stream protocol", "check the engine's version"},
	EngineStreamUnknown:  {http.StatusNotFound, "the engine does not hold the stream", "none: the generation continues elsewhere"},
	CallerDisconnected:   {http.StatusRequestTimeout, "the caller's connection ended", "reconnect with the last cursor"},
	CallerTooSlow:        {http.StatusRequestTimeout, "the caller read too slowly", "reconnect with the last cursor"},
}
