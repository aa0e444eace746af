package command

import (
	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/estate"
)

// Source is what a question is answered from.
type Source struct {
	// Configuration is the configuration in force at the instance that
	// answers.
	Configuration *estate.Configuration
	// Status is the state of the instances that answered.
	Status dump.Estate
	// History holds the latest applied commands, newest first.
	History []configstore.AppliedCommand
}
