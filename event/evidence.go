package event

import "github.com/rs/zerolog"

// WorkPanicked is the event of a contained panic, numbered from 7070.
var WorkPanicked = Definition{7070, "work_panicked", zerolog.ErrorLevel, "an unexpected error ended one request, connection, message or check; part names which, the instance goes on", "report the stack to the developers"}

// containedEvents are the events of contained failures.
var containedEvents = []Definition{WorkPanicked}
