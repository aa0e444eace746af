package command

import (
	"cmp"
	"slices"
	"strings"
)

// kind describes one kind of object that show lists.
type kind struct {
	name    string
	meaning string
	columns []Column
	// runtime means that the rows come from the state of the instances.
	runtime bool
	rows    func(source Source) []Row
}

// kinds lists every kind for show, help and the reference page.
var kinds = append(configurationKinds, runtimeKinds...)

func lookupKind(name string) (kind, bool) {
	for _, kind := range kinds {
		if kind.name == name {
			return kind, true
		}
	}
	return kind{}, false
}

func kindNames() string {
	names := make([]string, len(kinds))
	for i, kind := range kinds {
		names[i] = kind.name
	}
	return strings.Join(names, ", ")
}

// rowsOf converts each item to a row.
func rowsOf[T any](items []T, row func(T) Row) []Row {
	rows := make([]Row, len(items))
	for i, item := range items {
		rows[i] = row(item)
	}
	return rows
}

// sortedByName returns a copy of the items, sorted by name. Lists that the
// platform stores in several objects have no defined order.
func sortedByName[T any](items []T, name func(T) string) []T {
	sorted := slices.Clone(items)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return sorted
}
