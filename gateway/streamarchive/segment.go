package streamarchive

import (
	"context"
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/streamversion"
)

// Segment holds the records that one instance has gathered over some seconds.
type Segment struct {
	// Writer is the name of the instance, Slot the number of the object that holds the segment.
	Writer string
	Slot   int
	// WrittenAt is the time of the last write by the writer's clock.
	WrittenAt time.Time
	Records   []streamversion.Record
}

// Store keeps segments. Errors are *fault.Error.
type Store interface {
	// WriteSegment writes a segment in place of the one with the same writer and slot.
	WriteSegment(ctx context.Context, segment Segment) error
	// Segments returns all segments; those that can't be read are left out.
	Segments(ctx context.Context) ([]Segment, error)
}
