package event

import "github.com/rs/zerolog"

// Definition describes one numbered event.
type Definition struct {
	// Number identifies the event.
	Number int
	// Name is a short identifier in snake case.
	Name string
	// Level is the severity at which it is logged.
	Level zerolog.Level
	// Meaning states in one sentence what happened.
	Meaning string
	// Action states what an operator should do, "none" when nothing.
	Action string
}
