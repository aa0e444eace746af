package generation

import (
	"time"

	"github.com/wisteriahaven/wisteriahaven/decision/cursor"
	"github.com/wisteriahaven/wisteriahaven/fault"
	"github.com/wisteriahaven/wisteriahaven/rollinghash"
)

// start begins a new generation or resumes one at a cursor.
func (m *Machine) start(now time.Duration, in Start) {
	if m.phase != phaseNew {
		return
	}
	m.phase = phaseRunning
	m.lastDeliveredAt = now
	if in.Cursor != nil {
		if failure := m.checkCursor(in); failure != nil {
			m.fail(failure)
			return
		}
		m.resumeAtCursor(in)
	}
	m.startMissingAttempts(now)
}

// checkCursor compares the cursor with the request and with the delivered text
// that the caller sent.
func (m *Machine) checkCursor(in Start) *fault.Error {
	if in.Cursor.Request != m.config.Request || in.Cursor.Model != m.config.Model {
		return fault.New(fault.CursorMismatch, "the cursor belongs to another request")
	}
	if in.Delivered == nil {
		return nil
	}
	if len(in.Delivered) != in.Cursor.Offset || rollinghash.Of(in.Delivered) != in.Cursor.Hash {
		failure := fault.New(fault.CursorMismatch, "the delivered text is not the text up to the cursor")
		failure.Field = "delivered"
		return failure
	}
	return nil
}

// resumeAtCursor adopts the position of a cursor.
func (m *Machine) resumeAtCursor(in Start) {
	position := in.Cursor
	anchor := offsetHash{offset: position.AnchorOffset, hash: position.AnchorHash}
	m.answer = resumedAnswer(position.Offset, position.Hash, anchor, in.Delivered)
	m.version, m.seed = position.Version, position.Seed
	m.pinned = true
	m.fromCursor = true
	m.mayHaveRun = true
	m.interrupted = true
	m.lastAttempt = position.Attempt
	m.source = sourceOf(position)
	m.recordDecision("resume", "the caller reconnected with a cursor", position.Server)
}

func sourceOf(position *cursor.Position) Stream {
	return Stream{Server: position.Server, ID: position.StreamID, BootID: position.BootID}
}
