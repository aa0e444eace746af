package entry

import (
	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/serving/generation"
	"github.com/wisteriahaven/wisteriahaven/transport/engine"
)

// newGenerator returns the generator of the parts, completed from the settings.
// The error has the code SettingsInvalid.
func (e *Entry) newGenerator(parts generation.Parts) (*generation.Generator, error) {
	cursors, err := cursor.NewKeys(e.settings.Keys.Cursor)
	parts.Engines = engine.NewClient()
	parts.Cursors = cursors
	parts.Metrics = e.metrics
	parts.Logger = e.logger
	parts.KeepAlive = e.settings.Intervals.KeepAlive.Std()
	parts.RetainedBytes = e.settings.Limits.RetainedBytes
	return generation.New(parts), err
}
