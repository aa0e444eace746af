package command

import (
	"github.com/wisteriahaven/wisteriahaven/configstore"
	"github.com/wisteriahaven/wisteriahaven/dump"
	"github.com/wisteriahaven/wisteriahaven/estate"
)

// Source holds the data from which Query answers a query.
type Source struct {
	// Configuration is the in-force configuration of this instance.
	Configuration *estate.Configuration
	// Status is the state of the instances that answered.
	Status dump.Estate
	// History holds the latest applied commands, newest first.
	History []configstore.AppliedCommand
}
