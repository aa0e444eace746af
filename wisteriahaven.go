// Package wisteriahaven is the library that embeds an entry instance in a
// program. It runs no backend servers and no platform.
package wisteriahaven

import (
	"github.com/rs/zerolog"

	"github.com/wisteriahaven/wisteriahaven/entry"
	"github.com/wisteriahaven/wisteriahaven/settings"
)

// Entry is one entry instance.
type Entry = entry.Entry

// NewEntry builds an entry instance from its bootstrap settings. It logs
// nothing; use NewEntryWithLogger to see its events.
func NewEntry(s settings.Settings) *Entry {
	return entry.New(s, zerolog.Nop())
}

// NewEntryWithLogger builds an entry instance that logs its events to the logger.
func NewEntryWithLogger(s settings.Settings, logger zerolog.Logger) *Entry {
	return entry.New(s, logger)
}
