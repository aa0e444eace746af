package fault

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Markdown renders the catalogue as docs/operations/errors.md.
func Markdown() string {
	var page strings.Builder
	page.WriteString("# Error codes\n\n")
	page.WriteString("Printed by `wisteriahaven errors`. Every failed request carries one of these codes in\n")
	page.WriteString("`error.code`, every refused command in `failure.code`.\n\n")
	page.WriteString("| code | status | meaning | what to do |\n| --- | --- | --- | --- |\n")
	for _, code := range slices.Sorted(maps.Keys(definitions)) {
		definition := definitions[code]
		cells := []string{"`" + string(code) + "`", strconv.Itoa(definition.Status), definition.Meaning, definition.Action}
		page.WriteString("| " + strings.Join(cells, " | ") + " |\n")
	}
	return page.String()
}
