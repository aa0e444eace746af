package event

import "github.com/rs/zerolog"

// Events of the process, numbered from 1000.
var (
	ProcessStarted  = Definition{1000, "process_started", zerolog.InfoLevel, "the instance listens on its addresses", "none"}
	ProcessStopping = Definition{1001, "process_stopping", zerolog.InfoLevel, "a planned stop began: the instance is not ready", "none"}
	ProcessStopped  = Definition{1002, "process_stopped", zerolog.InfoLevel, "every request ended and the instance stopped", "none"}
	DutyPanicked    = Definition{1003, "duty_panicked", zerolog.ErrorLevel, "a duty panicked and was restarted", "report it with the stack"}
	RequestFailed   = Definition{1004, "request_failed", zerolog.WarnLevel, "a request was answered with a typed error", "look the code up in docs/operations/errors.md"}
)

var processEvents = []Definition{ProcessStarted, ProcessStopping, ProcessStopped, DutyPanicked, RequestFailed}
