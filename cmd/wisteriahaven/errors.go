package main

import (
	"fmt"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

// errorsCommand prints the catalogue of error codes.
type errorsCommand struct{}

func (c *errorsCommand) run() int {
	fmt.Print(fault.Markdown())
	return 0
}
