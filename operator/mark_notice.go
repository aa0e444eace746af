package operator

import (
	"strconv"
	"strings"

	"github.com/wisteriahaven/wisteriahaven/dump"
)

// Announcer tells the other instances of the data centre about local marks.
type Announcer interface {
	// Announce spreads a mark until it expires.
	Announce(mark dump.LocalDrain)
	// Withdraw ends a mark.
	Withdraw(mark dump.LocalDrain)
}

// maxNoteBytes is the length of a note that a notice between instances holds.
const maxNoteBytes = 60

// MarkNote describes a mark in one short line, from which ParseMarkNote makes
// the mark again. It is empty for a mark that can't be told so: one that lifts
// a drain, or one with a long id.
func FormatNoticeReason(mark dump.LocalDrain) string {
	note := "drain " + mark.CommandID + " " + strconv.FormatUint(mark.ReadRevision, 10) + " " + mark.Operator
	if mark.Undrain || len(note) > maxNoteBytes || len(strings.Fields(note)) != 4 {
		return ""
	}
	return note
}

// ParseMarkNote fills in a mark from its note and reports whether it is one.
func ParseNoticeReason(note string, mark *dump.LocalDrain) bool {
	fields := strings.Fields(note)
	if len(fields) != 4 || fields[0] != "drain" {
		return false
	}
	revision, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		return false
	}
	mark.CommandID, mark.ReadRevision, mark.Operator = fields[1], revision, fields[3]
	return true
}
