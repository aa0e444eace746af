package ctl

import (
	"context"
	"fmt"
	"strings"

	"github.com/wisteriahaven/wisteriahaven/command"
)

// RunScript parses the whole script and then runs its commands in order. It
// stops at the first command that fails and returns its exit code.
func (s *Session) RunScript(ctx context.Context, text string) int {
	script, err := command.Parse(text)
	if err != nil {
		return s.fail(err, ExitUsage)
	}
	for _, parsed := range script.Commands {
		if s.options.Output != OutputJSON {
			_, _ = fmt.Fprintln(s.options.Writer, "> "+parsed.String())
		}
		if code := s.Run(ctx, parsed.SourceText(text)); code != ExitOK {
			return code
		}
	}
	return ExitOK
}

// Substitute replaces $name in a script by the value of each "name=value".
func Substitute(script string, definitions []string) string {
	for _, definition := range definitions {
		name, value, _ := strings.Cut(definition, "=")
		script = strings.ReplaceAll(script, "$"+name, value)
	}
	return script
}
