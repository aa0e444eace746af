package command

import "github.com/wisteriahaven/wisteriahaven/dump"

// Result is the result of a query or a change.
type Result struct {
	Table *Table `json:"table,omitempty"`
	// Text is the output of help.
	Text string `json:"text,omitempty"`
	// Missing lists the instances that did not answer, if the result depends
	// on them.
	Missing []dump.Missing `json:"missing,omitempty"`
}
