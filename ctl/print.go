package ctl

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/wisteriahaven/wisteriahaven/operatorapi"
)

// fail prints a failure and returns the exit code.
func (s *Session) fail(err error, code int) int {
	_, _ = fmt.Fprintln(s.options.ErrorWriter, err)
	return code
}

// print writes a response in the chosen output.
func (s *Session) print(response operatorapi.Response) {
	if s.options.Output == OutputJSON {
		WriteJSON(s.options.Writer, newJSONResponse(response))
		return
	}
	out := s.options.Writer
	if response.Failure != nil {
		printFailure(s.options.ErrorWriter, response)
		return
	}
	if line := summary(response); line != "" {
		_, _ = fmt.Fprintln(out, line)
	}
	if response.Result.Text != "" {
		_, _ = fmt.Fprint(out, response.Result.Text)
	}
	if response.Result.Table != nil {
		writeTable(out, response.Result.Table)
	}
	for _, missing := range response.Result.Missing {
		_, _ = fmt.Fprintf(out, "no answer from instance %s (%s): %s\n", missing.Instance, missing.DataCentre, missing.Reason)
	}
	printPending(out, response.Propagation)
}

// summary is the first line about a change, "" for a question.
func summary(response operatorapi.Response) string {
	switch response.Outcome {
	case operatorapi.Applied:
		repeated := ""
		if response.Repeated {
			repeated = " by an earlier submission"
		}
		return fmt.Sprintf("applied%s at revision %d, id %s%s", repeated, response.Revision, response.ID, inForce(response.Propagation))
	case operatorapi.Unchanged:
		return fmt.Sprintf("unchanged: revision %d says so already", response.Revision)
	case operatorapi.AppliedLocally:
		return fmt.Sprintf("marked in this data centre alone, not persisted, until %s, id %s", response.Expires.UTC().Format("15:04:05 MST"), response.ID)
	case operatorapi.Released:
		return "released"
	default:
		return ""
	}
}

func inForce(spread *operatorapi.Propagation) string {
	if spread == nil {
		return ""
	}
	return fmt.Sprintf("; in force on %d of %d instances", len(spread.InForce), len(spread.InForce)+len(spread.Pending))
}

func printPending(out io.Writer, spread *operatorapi.Propagation) {
	if spread == nil {
		return
	}
	for _, pending := range spread.Pending {
		reason := pending.Unreachable
		if reason == "" {
			reason = fmt.Sprintf("revision %d is in force", pending.Revision)
		}
		_, _ = fmt.Fprintf(out, "not yet on instance %s (%s): %s\n", pending.Instance, pending.DataCentre, reason)
	}
}

func printFailure(out io.Writer, response operatorapi.Response) {
	failure := response.Failure
	at := ""
	if failure.Field != "" {
		at = " at " + failure.Field
	}
	_, _ = fmt.Fprintf(out, "%s: %s%s: %s\n", response.Outcome, failure.Code, at, failure.Reason)
	for _, problem := range failure.Problems {
		_, _ = fmt.Fprintf(out, "  %s\n", problem)
	}
	if response.RepeatCommand != "" {
		_, _ = fmt.Fprintf(out, "to settle it: %s\n", response.RepeatCommand)
	} else if failure.Action != "" {
		_, _ = fmt.Fprintf(out, "what to do: %s\n", failure.Action)
	}
}

// WriteJSON writes a value as indented JSON.
func WriteJSON(out io.Writer, value any) {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}
