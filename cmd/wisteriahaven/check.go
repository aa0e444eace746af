package main

import (
	"os"

	"github.com/wisteriahaven/wisteriahaven/ctl"
)

// checkCommand validates files of settings or of an estate.
type checkCommand struct {
	Files []string `arg:"positional,required" help:"files of settings or of an estate"`
}

func (c *checkCommand) run() int { return ctl.Check(c.Files, os.Stdout, os.Stderr) }
