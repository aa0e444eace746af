package ctl_test

import (
	"flag"
	"testing"
)

// update rewrites the recorded session.
var update = flag.Bool("update", false, "rewrite docs/operations/example-session.md")

func TestMain(m *testing.M) {
	flag.Parse()
	m.Run()
}
