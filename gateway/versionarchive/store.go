package versionarchive

import (
	"context"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
)

// Store keeps histories of versions, with times by the local clock. Errors are *fault.Error.
type Store interface {
	// WriteVersions writes the versions that a data centre knows in place of those that it wrote before.
	WriteVersions(ctx context.Context, dataCentre string, served []streamversion.Served) error
	// Versions returns those of all data centres; what can't be read is left out.
	Versions(ctx context.Context) ([]streamversion.Served, error)
}
