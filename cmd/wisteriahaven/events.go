package main

import (
	"fmt"

	"github.com/wisteriahaven/wisteriahaven/event"
)

// eventsCommand prints the catalogue of log events.
type eventsCommand struct{}

func (c *eventsCommand) run() int {
	fmt.Print(event.Markdown())
	return 0
}
