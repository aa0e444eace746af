package operator

import (
	"strconv"
	"strings"

	"github.com/wisteriahaven/wisteriahaven/dump"
)

// Announcer sends local drains to the peers in the data centre.
type Announcer interface {
	// Announce sends a local drain, which peers apply until it expires.
	Announce(localDrain dump.LocalDrain)
	// Withdraw ends a local drain before it expires.
	Withdraw(localDrain dump.LocalDrain)
}

// maxNoticeReasonBytes bounds the reason in a notice between instances.
const maxNoticeReasonBytes = 60

// FormatNoticeReason encodes a local drain as the reason of a notice, which ParseNoticeReason
// decodes. It returns "" for a local drain that can't be encoded: one that lifts
// a drain, one that is too long, or one whose id or operator name is not a word.
func FormatNoticeReason(localDrain dump.LocalDrain) string {
	encoded := "drain " + localDrain.CommandID + " " + strconv.FormatUint(localDrain.ReadRevision, 10) + " " + localDrain.Operator
	if localDrain.Undrain || len(encoded) > maxNoticeReasonBytes || len(strings.Fields(encoded)) != 4 {
		return ""
	}
	return encoded
}

// ParseNoticeReason sets the fields of a local drain that FormatNoticeReason encodes from the
// reason of a notice, and reports whether the reason encodes a local drain.
func ParseNoticeReason(encoded string, localDrain *dump.LocalDrain) bool {
	fields := strings.Fields(encoded)
	if len(fields) != 4 || fields[0] != "drain" {
		return false
	}
	revision, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		return false
	}
	localDrain.CommandID, localDrain.ReadRevision, localDrain.Operator = fields[1], revision, fields[3]
	return true
}
