package demo

import "time"

// Result is the outcome of one scenario.
type Result struct {
	Scenario string
	// Answers and Tokens count the answers and calls, and the tokens received.
	Answers int
	Tokens  int
	// Failures describes each failed check.
	Failures []string
	// Resumes counts the reconnections of the clients.
	Resumes int
	// LongestTokenInterval is the longest token interval that a caller saw.
	LongestTokenInterval time.Duration
}

// Passed reports whether there were answers and no check failed.
func (r Result) Passed() bool { return len(r.Failures) == 0 && r.Answers > 0 }
