package event

import "github.com/rs/zerolog"

// Events of operator commands, numbered from 6000.
var (
	CommandApplied    = Definition{6000, "command_applied", zerolog.InfoLevel, "an operator changed the configuration; the fields say who, what and the revisions before and after", "none"}
	CommandRefused    = Definition{6001, "command_refused", zerolog.InfoLevel, "an operator's change was refused and nothing was applied", "look the code up in docs/operations/errors.md"}
	CommandUncertain  = Definition{6002, "command_uncertain", zerolog.WarnLevel, "the platform's answer to a change was lost: it may have been applied", "repeat the command with the same id"}
	OperatorRefused   = Definition{6003, "operator_refused", zerolog.WarnLevel, "a request to the operator listener carried no known token", "check who sends it"}
	LocalDrainSet     = Definition{6004, "local_mark_set", zerolog.WarnLevel, "a drain holds in this data centre alone because the platform is away", "none: it is written when the platform is back, or expires"}
	LocalDrainWritten = Definition{6005, "local_mark_written", zerolog.InfoLevel, "a drain of this data centre alone was written to the configuration", "none"}
	LocalDrainEnded   = Definition{6006, "local_mark_dropped", zerolog.WarnLevel, "a drain of this data centre alone ended: it expired, or a newer revision disagrees", "drain again if it is still wanted"}
	QuarantineLifted  = Definition{6007, "quarantine_lifted", zerolog.InfoLevel, "an operator let a quarantined request run again; the fields say who and what", "none"}
)

var operatorEvents = []Definition{CommandApplied, CommandRefused, CommandUncertain, OperatorRefused, LocalDrainSet, LocalDrainWritten, LocalDrainEnded, QuarantineLifted}
