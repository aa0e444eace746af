package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteTable prints the closing table.
func WriteTable(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "scenario\tanswers\ttokens\tresumes\tlongest gap\tresult")
	for _, result := range results {
		verdict := "ok"
		if !result.Passed() {
			verdict = "FAILED"
		}
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%s\t%s\n", result.Scenario, result.Answers, result.Tokens,
			result.Resumes, result.LongestTokenInterval.Round(time.Millisecond), verdict)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, result := range results {
		for _, failure := range result.Failures {
			_, _ = fmt.Fprintf(w, "%s: %s\n", result.Scenario, failure)
		}
	}
	return nil
}
