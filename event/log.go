package event

import "github.com/rs/zerolog"

// Log starts the log line of an event. The caller adds fields and ends it
// with Send.
func Log(logger zerolog.Logger, definition Definition) *zerolog.Event {
	return logger.WithLevel(definition.Level).Int("event", definition.Number).Str("name", definition.Name)
}
