package command

import "strings"

// Reference returns docs/COMMANDS.md, made from the tables of commands and
// kinds and from the grammar.
func Reference() string {
	var text strings.Builder
	text.WriteString("# Commands\n\nMade by `wisteriahaven ctl reference` from the grammar; a test keeps both equal.\n")
	text.WriteString("Commands stand one a line or are joined by `;`; `#` starts a comment.\n")
	for _, verb := range catalogue {
		text.WriteString("\n## " + verb.name + "\n\n```\n" + strings.Join(verb.syntax, "\n") + "\n```\n\n" + verb.meaning + "\n")
		if verb.details != "" {
			text.WriteString(verb.details + "\n")
		}
		text.WriteString("\nRole: `" + string(verb.role) + "`. Example: `" + verb.example + "`\n")
	}
	text.WriteString("\n## Kinds\n\n| kind | what it lists | columns |\n| --- | --- | --- |\n")
	for _, kind := range kinds {
		text.WriteString("| " + kind.name + " | " + kind.meaning + " | " + columnText(kind.columns) + " |\n")
	}
	text.WriteString("\n## Grammar\n\n```ebnf\n" + grammar.String() + "\n```\n")
	return text.String()
}

func columnText(list []Column) string {
	texts := make([]string, len(list))
	for i, column := range list {
		texts[i] = column.Name
		if column.Unit != "" {
			texts[i] += " (" + column.Unit + ")"
		}
	}
	return strings.Join(texts, ", ")
}
