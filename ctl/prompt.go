package ctl

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// promptHelp is printed when the prompt starts.
const promptHelp = "help lists the commands; history lists the lines entered, !n repeats line n, !! the last line; exit ends the prompt."

// Prompt reads commands line by line and runs them, until the end of the input,
// "exit" or "quit".
func (s *Session) Prompt(ctx context.Context, input io.Reader) int {
	_, _ = fmt.Fprintln(s.options.Writer, promptHelp)
	var history []string
	lines := bufio.NewScanner(input)
	for {
		_, _ = fmt.Fprint(s.options.Writer, "wisteriahaven> ")
		if !lines.Scan() {
			_, _ = fmt.Fprintln(s.options.Writer)
			return ExitOK
		}
		line, known := expandHistory(strings.TrimSpace(lines.Text()), history)
		switch {
		case !known:
			_, _ = fmt.Fprintln(s.options.ErrorWriter, "no such line in the history")
		case line == "":
		case line == "exit" || line == "quit":
			return ExitOK
		case line == "history":
			for i, entry := range history {
				_, _ = fmt.Fprintf(s.options.Writer, "%4d  %s\n", i+1, entry)
			}
		default:
			history = append(history, line)
			s.Run(ctx, line)
		}
	}
}

// expandHistory replaces !n and !! by a line of the history. It reports false
// if there is no such line.
func expandHistory(line string, history []string) (string, bool) {
	number, isReference := strings.CutPrefix(line, "!")
	if !isReference {
		return line, true
	}
	index := len(history)
	if number != "!" {
		parsed, err := strconv.Atoi(number)
		if err != nil {
			return "", false
		}
		index = parsed
	}
	if index < 1 || index > len(history) {
		return "", false
	}
	return history[index-1], true
}
