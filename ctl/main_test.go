package ctl_test

import (
	"flag"
	"testing"
)

// update writes the recorded session again.
var update = flag.Bool("update", false, "write docs/operations/example-session.md again")

func TestMain(m *testing.M) {
	flag.Parse()
	m.Run()
}
