package command

import "strings"

// SourceText returns the command's text as written in the script, padded to the
// same line and column, so that errors about it report the position in the
// script.
func (c *Command) SourceText(script string) string {
	end := c.Pos.Offset
	for _, token := range c.Tokens {
		if !strings.HasPrefix(token.Value, "#") && strings.TrimSpace(token.Value) != "" {
			end = max(end, token.Pos.Offset+len(token.Value))
		}
	}
	return strings.Repeat("\n", c.Pos.Line-1) + strings.Repeat(" ", c.Pos.Column-1) + script[c.Pos.Offset:end]
}
