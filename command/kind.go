package command

import (
	"cmp"
	"slices"
	"strings"
)

// kind is one kind of object that show lists.
type kind struct {
	name    string
	meaning string
	columns []Column
	// running means that the rows come from the instances.
	running bool
	rows    func(source Source) []Row
}

// kinds is the one table of kinds.
var kinds = append(declaredKinds, runningKinds...)

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

// rowsOf makes a row of each item.
func rowsOf[T any](items []T, row func(T) Row) []Row {
	rows := make([]Row, len(items))
	for i, item := range items {
		rows[i] = row(item)
	}
	return rows
}

// byName returns the items in order of name. Lists that the platform keeps in
// several objects have no order of their own.
func byName[T any](items []T, name func(T) string) []T {
	sorted := slices.Clone(items)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return sorted
}
