package main

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wisteriahaven/wisteriahaven/event"
	"github.com/wisteriahaven/wisteriahaven/fault"
)

func TestCtlArguments(t *testing.T) {
	for given, want := range map[string]string{
		"entry --settings x":             "entry --settings x",
		"ctl show regions":               "ctl run show regions",
		"ctl --output json show regions": "ctl run --output json show regions",
		"ctl --output json watch":        "ctl --output json watch",
		"ctl --id dump drain instance a": "ctl run --id dump drain instance a",
		"ctl":                            "ctl run",
		"ctl --help":                     "ctl --help",
	} {
		t.Run(given, func(t *testing.T) {
			is := is.New(t)
			is.Equal(strings.Join(ctlArguments(strings.Fields(given)), " "), want)
		})
	}
}

func TestPagesAreCurrent(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/EVENTS.md")
	is.NoErr(err)
	is.Equal(string(page), event.Markdown()) // go run ./cmd/wisteriahaven events > docs/EVENTS.md
	page, err = os.ReadFile("../../docs/operations/errors.md")
	is.NoErr(err)
	is.Equal(string(page), fault.Markdown()) // go run ./cmd/wisteriahaven errors > docs/operations/errors.md
}
