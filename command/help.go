package command

import (
	"strings"

	"github.com/wisteriahaven/wisteriahaven/fault"
)

func help(command *Command) (Result, error) {
	if command.Help.Topic == nil {
		return Result{Text: overview()}, nil
	}
	verb, known := lookupVerb(*command.Help.Topic)
	if !known {
		return Result{}, errorAt(fault.CommandSyntax, command.Pos, "unexpected \""+*command.Help.Topic+"\"; expected one of "+strings.Join(verbNames(), ", "))
	}
	return Result{Text: verb.help()}, nil
}

// overview returns the list of all commands and kinds.
func overview() string {
	var text strings.Builder
	for _, verb := range catalogue {
		for _, syntax := range verb.syntax {
			text.WriteString(syntax + "\n")
		}
		text.WriteString("    " + verb.meaning + "\n")
	}
	text.WriteString("\nkinds:\n")
	for _, kind := range kinds {
		text.WriteString("    " + kind.name + ": " + kind.meaning + "\n")
	}
	return text.String()
}

func (v verb) help() string {
	var text strings.Builder
	text.WriteString(strings.Join(v.syntax, "\n") + "\n\n" + v.meaning + "\n")
	if v.details != "" {
		text.WriteString(v.details + "\n")
	}
	text.WriteString("Role: " + string(v.role) + "\nExample: " + v.example + "\n")
	return text.String()
}
