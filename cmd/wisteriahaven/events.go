package main

import (
	"fmt"

	"github.com/wisteriahaven/wisteriahaven/event"
)

// eventsCommand prints the log catalogue.
type eventsCommand struct{}

func (c *eventsCommand) run() int {
	fmt.Print(event.Markdown())
	return 0
}
