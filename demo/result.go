package demo

import "time"

// Result is the outcome of one scenario.
type Result struct {
	Scenario string
	// Answers and Tokens count what was checked.
	Answers int
	Tokens  int
	// Failures lists what was wrong.
	Failures []string
	// Resumes counts reconnections by the client.
	Resumes int
	// LongestGap is the longest wait between two tokens at a caller.
	LongestTokenInterval time.Duration
}

// Passed reports whether nothing was wrong.
func (r Result) Passed() bool { return len(r.Failures) == 0 && r.Answers > 0 }
