package event

import "github.com/rs/zerolog"

// Events of the software versions that services had lately, numbered from 7075.
var (
	ServedVersionsNotRead    = Definition{7075, "served_versions_not_read", zerolog.InfoLevel, "the software versions that services had lately could not be read from the store at the start; they are read again, and until then streams of unknown version are rejected", "check the platform"}
	ServedVersionsNotWritten = Definition{7076, "served_versions_not_written", zerolog.InfoLevel, "the software versions that services had lately could not be written to the store; they are written again", "check the platform"}
)

var versionEvents = []Definition{ServedVersionsNotRead, ServedVersionsNotWritten}
