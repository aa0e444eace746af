package document

import (
	"strconv"
	"strings"
)

// Problem is one error in a document.
type Problem struct {
	// File names the document; empty when it did not come from a file.
	File string `json:"file,omitempty"`
	// Path is the invalid field, such as "services[0].deadline".
	Path string `json:"path"`
	// Line and Column count from one; zero when the position is not known.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Reason explains the error in one sentence.
	Reason string `json:"reason"`
}

// String formats the problem as "file:line:column: path: reason".
func (p Problem) String() string {
	var text strings.Builder
	if p.File != "" {
		text.WriteString(p.File + ":")
	}
	if p.Line > 0 {
		text.WriteString(strconv.Itoa(p.Line) + ":" + strconv.Itoa(p.Column) + ":")
	}
	if text.Len() > 0 {
		text.WriteString(" ")
	}
	if p.Path != "" {
		text.WriteString(p.Path + ": ")
	}
	text.WriteString(p.Reason)
	return text.String()
}
