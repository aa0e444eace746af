package command

import "github.com/wisteriahaven/wisteriahaven/dump"

// Result is the answer to a question.
type Result struct {
	Table *Table `json:"table,omitempty"`
	// Text is the answer of help.
	Text string `json:"text,omitempty"`
	// Missing lists the instances that did not answer, where the answer
	// depends on them.
	Missing []dump.Missing `json:"missing,omitempty"`
}
