package event

import (
	"slices"
	"strconv"
	"strings"
)

// Catalogue returns every event in the order of its number.
func Catalogue() []Definition {
	all := slices.Concat(processEvents, generationEvents, callEvents, routingEvents, controlEvents, ordersEvents, operatorEvents, forwardingEvents, versionEvents, admissionEvents, serverLoadEvents, rolloutEvents, containedEvents)
	slices.SortFunc(all, func(a, b Definition) int { return a.Number - b.Number })
	return all
}

// Markdown renders the catalogue as docs/EVENTS.md.
func Markdown() string {
	var page strings.Builder
	page.WriteString("# Log events\n\n")
	page.WriteString("Printed by `wisteriahaven events`. Every log line carries `event` and `name`.\n\n")
	page.WriteString("| event | name | level | meaning | what to do |\n| --- | --- | --- | --- | --- |\n")
	for _, definition := range Catalogue() {
		cells := []string{strconv.Itoa(definition.Number), "`" + definition.Name + "`", definition.Level.String(), definition.Meaning, definition.Action}
		page.WriteString("| " + strings.Join(cells, " | ") + " |\n")
	}
	return page.String()
}
